// The part of ControlNode that communicates with other control VMs and with entry VMs.
#include "site/controlnode.h"
#include "site/eventloop.h"
#include "site/textcompression.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto MaintainInterval = 200ms;
constexpr auto StartInterval = 20ms; // MaintainInterval until the control log's servers are known
constexpr auto ServicesInterval = 500ms; // between two configurations that are read
constexpr auto StartTime = 3s; // the time limit for StartInterval
constexpr auto BroadcastInterval = 2s; // between broadcasts of the whole registry
constexpr auto ForgottenAfter = 60s; // departed servers are removed after this
constexpr auto KnownTime = 10s; // a control VM not heard for this long is no longer counted
constexpr auto FollowerTime = 1s; // an entry VM counts for this long after its last request
constexpr auto HomeTime = 3s; // an entry VM stays a home for this long after its last request
constexpr auto OtherCountTime = 7s; // validity of another control VM's count of entry VMs
// Of a large directory, unchanged records are repeated for their sequence numbers, since a newer
// announcement clears what an entry VM has noted against a server.
constexpr auto RepeatInterval = 2s;
constexpr std::size_t MostRepeated = 128; // records in one answer
// Each new list of homes and of recorded servers is sent to all entry VMs as a whole, so a list of
// many servers changes less often: for each further 256 servers after 200 ms more.
constexpr std::size_t ServersPerListInterval = 256;
constexpr auto LongestListInterval = 2s;
constexpr std::size_t CompressFrom = 2048; // bytes; smaller configurations aren't compressed

// Returns the services that the configuration names; nullopt for one that can't be read.
std::optional<std::set<ServiceName>> servicesOf(const std::string &text)
{
    try {
        return readConfiguration(text).serviceNames();
    } catch (const RouteTableError &) {
        return std::nullopt; // it was checked when it was accepted, perhaps by another version
    }
}

// Returns the requesting entry VM where it accepts lanes. Throws EndpointError.
std::optional<HomeCandidate> homeOf(const wire::Header &from, const std::string &lanes)
{
    if (lanes.empty())
        return std::nullopt;
    return HomeCandidate {VmName(from.vm), FailureDomain(from.failureDomain), parseEndpoint(lanes)};
}

} // namespace

wire::FollowReply ControlNode::answerFollow(const wire::Header &from,
                                            const wire::FollowRequest &request)
{
    if (!request.folder.empty())
        registerControlVm(parseEndpoint(from.vm), FailureDomain(from.failureDomain), request.folder);
    std::vector<wire::PrimaryComplaint> complaints = request.complaints;
    for (wire::PrimaryComplaint &complaint : complaints)
        complaint.complainer = from.vm;
    receiveComplaints(complaints);
    wire::FollowReply reply;
    reply.proofs = answerProofs(request.agedServices);
    reply.isCurrent = isConnected();
    reply.isMember = reply.isCurrent && hearsLeader();
    reply.leader = leaderName().text();
    const auto recorded = knownRecordedServers(reply.isCurrent);
    if (recorded)
        putRecordedServers(*recorded, request, reply);
    putOpenChanges(request, reply);
    const std::optional<HomeCandidate> home = homeOf(from, request.lanes);
    const std::lock_guard lock(m_mutex);
    Follower unlisted;
    Follower &follower = request.folder.empty() ? m_followers[from.vm] : unlisted;
    follower.askedAt = EventLoop::now();
    follower.home = home;
    reply.entryCount = entryCount();
    reply.homesVersion = m_homes.version();
    if (reply.homesVersion != request.homesVersion) {
        reply.__isset.homes = true;
        reply.homes = toWire(m_homes.homes());
    }
    if (m_revision > static_cast<Revision>(request.revision)) {
        reply.__isset.configuration = true;
        // Compressed on the first request, since many revisions are never requested during a start.
        if (m_compressed.empty() && m_configuration.size() >= CompressFrom)
            m_compressed = compress(m_configuration);
        reply.configuration.revision = static_cast<std::int64_t>(m_revision);
        reply.configuration.isCompressed = !m_compressed.empty();
        reply.configuration.text = m_compressed.empty() ? m_configuration : m_compressed;
    }
    const ServerRegistry::Changes updates = updatesFor(request, follower);
    reply.directoryVersion = m_versionBase + static_cast<std::int64_t>(updates.version);
    if (reply.directoryVersion != request.directoryVersion || !updates.records.empty()) {
        reply.__isset.servers = true;
        reply.servers.reserve(updates.records.size());
        for (const ServerRecord &record : updates.records)
            reply.servers.push_back(toWire(record, EventLoop::now()));
    }
    for (const auto &[peers, domain] : m_seedDomains) {
        wire::ControlVm control;
        control.peers = toString(peers);
        control.failureDomain = domain.text();
        reply.controls.push_back(control);
    }
    return reply;
}

ServerRegistry::Changes ControlNode::updatesFor(const wire::FollowRequest &request,
                                                Follower &follower)
{
    const std::int64_t asked = request.directoryVersion - m_versionBase;
    const bool isOfThisRun = asked > 0 && asked <= static_cast<std::int64_t>(m_registry.version());
    const std::uint64_t known = isOfThisRun ? static_cast<std::uint64_t>(asked) : 0;
    if (m_registry.size() <= MostDirectoryChanges) {
        if (known == m_registry.version())
            return {{}, known};
        return {m_registry.all(), m_registry.version()};
    }
    ServerRegistry::Changes changes = m_registry.changedSince(known, MostDirectoryChanges);
    const TimePoint now = EventLoop::now();
    const bool isFromEntry = request.folder.empty();
    if (!isFromEntry || now - follower.repeatedAt < RepeatInterval)
        return changes;
    follower.repeatedAt = now;
    const auto repeated = m_registry.recordsAfter(follower.repeatedUpTo, MostRepeated);
    follower.repeatedUpTo = repeated.empty() ? ServerId() : repeated.back().announcement.server;
    changes.records.insert(changes.records.end(), repeated.begin(), repeated.end());
    return changes;
}

// Returns the servers that the control log's rosters name: from the own copy of the log where that
// is current, otherwise as a member told them last. An outdated set does no harm.
std::shared_ptr<const RecordedServers> ControlNode::knownRecordedServers(bool isCurrent)
{
    if (!m_settings.promotions || !isCurrent)
        return nullptr;
    const bool isOwnCopyUsed = hearsLeader();
    const std::lock_guard lock(m_mutex);
    if (!isOwnCopyUsed)
        return m_followedRecorded;
    // Read before the servers, so that a change between the two is taken into account next time.
    const std::uint64_t version = m_roster.version();
    const TimePoint now = EventLoop::now();
    const bool isChanged = m_ownRecordedVersion != version;
    // The whole set is sent when it changes, so a large one changes less often. An outdated one
    // does no harm.
    if (isChanged && now - m_ownRecordedAt >= listInterval()) {
        m_ownRecordedAt = now;
        m_ownRecorded = std::make_shared<const RecordedServers>(
                recordedServers(m_roster.presentServers(m_registry.services())));
        m_ownRecordedVersion = version;
    }
    return m_ownRecorded;
}

std::vector<wire::AgedProof> ControlNode::answerProofs(const std::vector<std::string> &services)
{
    const TimePoint now = EventLoop::now();
    const std::vector<ServiceName> named(services.begin(), services.end());
    m_proofs.want(named, now);
    return toWire(m_proofs.proofs(named, now));
}

int ControlNode::ownFollowers() const
{
    const TimePoint now = EventLoop::now();
    const auto count = std::count_if(m_followers.begin(), m_followers.end(), [now](const auto &one) {
        return now - one.second.askedAt < FollowerTime;
    });
    return static_cast<int>(count);
}

int ControlNode::entryCount() const
{
    int count = ownFollowers();
    for (const auto &[peer, other] : m_otherFollowers)
        count += EventLoop::now() - other.receivedAt < OtherCountTime ? other.count : 0;
    return count;
}

void ControlNode::receiveUpdates(const wire::Header &from, const wire::SiteNews &news)
{
    registerControlVm(parseEndpoint(from.vm), FailureDomain(from.failureDomain), news.folder);
    const ReceivedServers received = fromWire(news.servers, EventLoop::now());
    logRefusedServers(received, from.vm);
    {
        const std::lock_guard lock(m_mutex);
        m_otherFollowers[parseEndpoint(from.vm)] = {news.followers, EventLoop::now(),
                                                    fromWire(news.homes)};
        learn(received.records, from.vm);
    }
    receiveComplaints(news.complaints);
}

// The leader acts on complaints; other control VMs forward them to the leader.
void ControlNode::receiveComplaints(const std::vector<wire::PrimaryComplaint> &complaints)
{
    if (complaints.empty())
        return;
    if (m_log.isLeader()) {
        for (const wire::PrimaryComplaint &complaint : complaints) {
            if (m_changes)
                m_changes->complain({complaint.complainer, ServiceName(complaint.serviceName),
                                     ServerId(complaint.server),
                                     std::chrono::milliseconds(complaint.sinceMilliseconds)});
        }
        return;
    }
    const std::string leader = leaderName().text();
    const std::lock_guard lock(m_mutex);
    for (const auto &[peer, updateSender] : m_updateSenders) {
        if (toString(peer) == leader)
            updateSender->put(complaints);
    }
}

void ControlNode::applyView(const ControlView &view)
{
    for (const ControlLocation &control : view.controls) {
        if (control.peers != m_settings.listen.peers)
            registerControlVm(control.peers, control.failureDomain, {});
    }
    if (view.configuration)
        setConfiguration(view.revision, *view.configuration);
    const std::lock_guard lock(m_mutex);
    m_followedLeader = view.leader;
    if (view.recorded)
        m_followedRecorded = std::make_shared<const RecordedServers>(*view.recorded);
    else if (!view.knowsRecorded)
        m_followedRecorded.reset();
    if (!view.servers)
        return;
    learn(*view.servers, view.leader ? toString(*view.leader) : "followed");
}

void ControlNode::learn(const std::vector<ServerRecord> &records, const std::string &source)
{
    for (const ServerRecord &record : records) {
        const ServerAnnouncement &announcement = record.announcement;
        const bool isNew = m_registry.find(announcement.server) == nullptr;
        const bool isChanged = m_registry.merge(record, EventLoop::now());
        if (!isNew || !isChanged)
            continue;
        log(LogLevel::Info, "server_learned",
            {{"server", announcement.server.text()},
             {"service", announcement.service.text()},
             {"source", source},
             {"primary", announcement.isPrimary ? "yes" : "no"},
             {"gone", record.isGone ? "yes" : "no"}});
    }
}

void ControlNode::setConfiguration(Revision revision, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    if (revision <= m_revision)
        return;
    m_revision = revision;
    m_configuration = text;
    m_compressed.clear();
}

// Reads the newest configuration alone, and not on the control log's thread: after a start that one
// applies all the configurations of the log.
void ControlNode::readServices()
{
    const TimePoint now = EventLoop::now();
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        if (m_servicesRevision == m_revision || now - m_servicesReadAt < ServicesInterval)
            return;
        m_servicesRevision = m_revision;
        m_servicesReadAt = now;
        text = m_configuration;
    }
    const std::optional<std::set<ServiceName>> services = servicesOf(text);
    if (!services)
        return;
    const std::lock_guard lock(m_mutex);
    m_registry.addServices(*services, now);
    m_ownRecordedVersion.reset();
}

void ControlNode::importRoster()
{
    const std::uint64_t version = m_roster.version();
    const TimePoint now = EventLoop::now();
    {
        const std::lock_guard lock(m_mutex);
        const bool isLarge = m_registry.size() > MostDirectoryChanges;
        // An unchanged roster is merged again from time to time, since the registry forgets
        // departed servers.
        if (isLarge && version == m_importedRosterVersion
            && now - m_rosterImportedAt < BroadcastInterval)
            return;
        m_importedRosterVersion = version;
        m_rosterImportedAt = now;
    }
    const std::vector<ServerAnnouncement> known = m_roster.announcements();
    m_hasRoster = !known.empty();
    std::vector<ServerRecord> unheard;
    const std::lock_guard lock(m_mutex);
    for (const ServerAnnouncement &announcement : known) {
        const bool isDeparted = m_roster.departedOf(announcement.service).count(announcement.server)
                != 0;
        if (isDeparted || m_registry.find(announcement.server) == nullptr)
            unheard.push_back({announcement, isDeparted});
    }
    learn(unheard, "roster");
}

void ControlNode::registerControlVm(const Endpoint &peers, const FailureDomain &domain,
                                    const std::string &folder)
{
    const VmName vm(toString(peers));
    VmRecord record;
    record.vm = vm;
    record.failureDomain = domain;
    record.peers = peers;
    record.isControl = true;
    m_directory.put(record);
    const std::lock_guard lock(m_mutex);
    FailureDomain &known = m_seedDomains[peers];
    if (!domain.isEmpty())
        known = domain;
    const TimePoint now = EventLoop::now();
    if (folder.empty()) {
        m_heardAt.emplace(peers, now);
        return;
    }
    m_heardAt[peers] = now;
    m_memberPlanner.heard({{vm, folder}, known, Clock::now()});
}

void ControlNode::broadcast(const ServerRecord &record)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[peer, updateSender] : m_updateSenders)
        updateSender->put(std::vector<wire::ServerRecord> {toWire(record, EventLoop::now())});
}

// Entry VMs that start at the same time wait for the contents of the control log, which are known
// once there is a leader.
bool ControlNode::isStarting() const
{
    return EventLoop::now() - m_startedAt < StartTime && !(isConnected() && m_hasRoster);
}

void ControlNode::maintain()
{
    TimePoint broadcastAt {};
    while (!m_isStopping) {
        m_signal.restUntil(Clock::now() + (isStarting() ? StartInterval : MaintainInterval));
        maintainPeers();
        maintainMembers();
        if (!isStarting())
            readServices();
        importRoster();
        maintainHomes();
        if (Clock::now() < broadcastAt)
            continue;
        broadcastAt = Clock::now() + BroadcastInterval;
        const std::lock_guard lock(m_mutex);
        m_registry.forget(ForgottenAfter, EventLoop::now());
        std::vector<wire::ServerRecord> records;
        for (const ServerRecord &record : m_registry.all())
            records.push_back(toWire(record, EventLoop::now()));
        std::erase_if(m_followers, [](const auto &one) {
            return EventLoop::now() - one.second.askedAt >= HomeTime;
        });
        const int followers = ownFollowers();
        const std::vector<wire::HomeVm> homes = toWire(ownHomes());
        for (const auto &[peer, updateSender] : m_updateSenders) {
            updateSender->setFollowers(followers, homes);
            updateSender->putAll(records);
        }
    }
}

Duration ControlNode::listInterval() const
{
    if (m_registry.size() <= MostDirectoryChanges)
        return {};
    const auto steps = static_cast<Duration::rep>(m_registry.size() / ServersPerListInterval);
    return std::min<Duration>(MaintainInterval * steps, LongestListInterval);
}

std::vector<HomeCandidate> ControlNode::ownHomes() const
{
    const TimePoint now = EventLoop::now();
    std::vector<HomeCandidate> homes;
    for (const auto &[vm, follower] : m_followers) {
        if (follower.home && now - follower.askedAt < HomeTime)
            homes.push_back(*follower.home);
    }
    return homes;
}

// Assigns the homes again. Changes among the entry VMs that poll this VM are sent to the other
// control VMs at once.
void ControlNode::maintainHomes()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = EventLoop::now();
    const std::vector<HomeCandidate> own = ownHomes();
    std::vector<HomeCandidate> candidates = own;
    for (const auto &[peer, other] : m_otherFollowers) {
        if (now - other.receivedAt < OtherCountTime)
            candidates.insert(candidates.end(), other.homes.begin(), other.homes.end());
    }
    const bool isChanged = m_homesRegistryVersion != m_registry.version()
            || candidates != m_homeCandidates;
    if (isChanged && now - m_homesAssignedAt >= listInterval()) {
        m_homesAssignedAt = now;
        m_homes.assign(m_registry.present(), candidates);
        m_homesRegistryVersion = m_registry.version();
        m_homeCandidates = std::move(candidates);
    }
    if (own == m_sentHomes)
        return;
    m_sentHomes = own;
    for (const auto &[peer, updateSender] : m_updateSenders) {
        updateSender->setFollowers(ownFollowers(), toWire(own));
        updateSender->put(std::vector<wire::ServerRecord>());
    }
}

// Creates an UpdateSender for each known control VM, and removes those of forgotten ones.
void ControlNode::maintainPeers()
{
    const bool isFollowing = !hearsLeader();
    m_follower.setPaused(!isFollowing);
    const RaftStatus status = m_log.status();
    std::set<Endpoint> members;
    for (const ControlMember &member : status.members)
        members.insert(parseEndpoint(member.vm.text()));
    for (const Endpoint &member : members) {
        if (!m_directory.find(VmName(toString(member))))
            registerControlVm(member, {}, {});
    }
    std::vector<std::unique_ptr<UpdateSender>> closed;
    const std::lock_guard lock(m_mutex);
    m_isFollowerConnected = m_isFollowerConnected && isFollowing;
    const TimePoint now = EventLoop::now();
    for (auto heard = m_heardAt.begin(); heard != m_heardAt.end();) {
        const Endpoint peer = heard->first;
        const bool isSelf = peer == m_settings.listen.peers;
        const bool isForgotten = now - heard->second > KnownTime && members.count(peer) == 0;
        if (isForgotten && !isSelf) {
            closed.push_back(std::move(m_updateSenders[peer]));
            m_updateSenders.erase(peer);
            m_seedDomains.erase(peer);
            m_otherFollowers.erase(peer);
            heard = m_heardAt.erase(heard);
            continue;
        }
        if (!isSelf && m_updateSenders.count(peer) == 0)
            m_updateSenders[peer] = std::make_unique<UpdateSender>(peer, m_peers, m_log.folder());
        ++heard;
    }
    if (m_seedDomains.count(m_settings.listen.peers) == 0
        || m_seedDomains[m_settings.listen.peers].isEmpty()) {
        m_seedDomains[m_settings.listen.peers] = m_identity.failureDomain;
        m_heardAt[m_settings.listen.peers] = now;
    }
}

void ControlNode::maintainMembers()
{
    if (!m_log.isLeader())
        return;
    const RaftStatus status = m_log.status();
    std::optional<ControlMemberChange> change;
    {
        const std::lock_guard lock(m_mutex);
        change = m_memberPlanner.next(status.members, status.heard, m_identity.vm, Clock::now());
    }
    if (!change)
        return;
    try {
        if (const auto *added = std::get_if<AddControlMember>(&*change)) {
            m_log.addMember(added->member);
            log(LogLevel::Info, "control_member_added", {{"member", added->member.vm.text()}});
        } else {
            const auto &removed = std::get<RemoveControlMember>(*change);
            m_log.removeMember(removed.vm);
            log(LogLevel::Info, "control_member_removed",
                {{"member", removed.vm.text()}, {"reason", removed.reason}});
        }
    } catch (const NotLeaderError &) {
        return; // leadership was lost; the next leader decides
    } catch (const MembershipError &) {
        return; // the previous membership change is in progress; decided again later
    } catch (const ProposalUnknownError &fault) {
        log(LogLevel::Warning, "control_member_change_unknown", {{"reason", fault.what()}});
    }
}

} // namespace nutmegtide
