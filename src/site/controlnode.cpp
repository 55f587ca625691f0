#include "site/controlnode.h"

#include "control/posixdisk.h"
#include "serve/peerservice.h"
#include "site/eventloop.h"
#include "site/firstmembers.h"
#include "site/textcompression.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr std::size_t EventBufferSize = 500; // events
constexpr std::size_t RememberedDecisions = 64; // older ones: by highest number
constexpr auto ProposeTimeout = 2s;
constexpr auto ReadTimeout = 1500ms;
constexpr int PeerWorkers = 4;
// Control VMs of one region have a latency of milliseconds, and all wait for a leader after a
// restart, so elections are fast.
constexpr RaftTimings LogTimings {80ms, 300ms, 550ms, 50ms};
constexpr Duration LeaderTick = 30ms; // interval of decisions on changes of primary
constexpr Duration FollowerTick = 300ms;
// Each decision goes over all servers, so beyond this number the leader takes longer intervals.
constexpr std::size_t ServersPerLeaderTick = 256;
constexpr Duration LongestLeaderTick = 150ms;

std::vector<VmName> namesOf(const std::vector<Endpoint> &endpoints)
{
    std::vector<VmName> names;
    for (const Endpoint &endpoint : endpoints)
        names.emplace_back(toString(endpoint));
    return names;
}

// At the first start the seeds create the control log. A VM that starts later, or has lost its
// data folder, waits until it is added as a member.
NodeSettings controlSettings(const NodeSettings &settings)
{
    NodeSettings result = settings;
    result.name = VmName(toString(settings.listen.peers));
    result.control.clear();
    const std::vector<VmName> seeds = namesOf(seedPeers(settings));
    const bool isSeed = std::find(seeds.begin(), seeds.end(), result.name) != seeds.end();
    PosixDisk disk(settings.dataDir + "/site");
    result.control = firstMembers(disk, settings.isFirstStart && isSeed, seeds);
    return result;
}

} // namespace

ControlNode::ControlNode(const NodeSettings &settings)
    : m_nodeName(settings.name.text())
    , m_settings(controlSettings(settings))
    , m_identity(siteIdentity(settings, m_settings.name.text()))
    , m_recorder({m_identity.vm, m_identity.failureDomain, 0}, EventBufferSize)
    , m_peers([this] { return headerOf(m_identity, m_recorder); })
    , m_ledger([this] { onLedgerChanged(); }, RememberedDecisions, highestNumberRule())
    , m_log(m_settings, m_directory, m_peers, m_recorder, LogTimings)
    , m_follower(
              m_peers,
              ControlVmSelector(settings.failureDomain, seedPeers(settings), settings.listen.peers),
              [this](const ControlView &view) { applyView(view); },
              [this](bool isConnected, const std::string &reason) {
                  const std::lock_guard lock(m_mutex);
                  m_isFollowerConnected = isConnected;
                  if (!hearsLeader())
                      log(LogLevel::Info, isConnected ? "control_regained" : "control_lost",
                          {{"reason", reason}});
              })
    , m_memberPlanner(settings.toleratedLosses)
    , m_leaderFetcher(m_peers, m_proofs, m_openChanges, [this] { return otherLeader(); })
{
    m_log.registerMachine(CommandKind::Config, m_ledger);
    m_log.registerMachine(CommandKind::Group, m_roster);
    m_handlers.raft = [this](const std::vector<wire::RaftMessage> &messages) {
        m_log.receive(messages);
    };
    m_handlers.follow = [this](const wire::Header &from, const wire::FollowRequest &request) {
        return answerFollow(from, request);
    };
    m_handlers.spreadNews = [this](const wire::Header &from, const wire::SiteNews &news) {
        receiveUpdates(from, news);
    };
    m_handlers.agedProofs = [this](const std::vector<std::string> &services) {
        return answerProofs(services);
    };
    m_handlers.openChanges = [this] { return tellOpenChanges(); };
    for (const Endpoint &seed : seedPeers(settings))
        registerControlVm(seed, {}, {});
    m_log.start();
    m_follower.setFolder(m_log.folder());
    auto service = std::make_shared<PeerService>(
            m_identity, m_recorder, [this] { return headerOf(m_identity, m_recorder); }, m_handlers);
    PeerServer::Options options;
    options.workers = PeerWorkers;
    options.limits = peerLimits(settings.connections);
    options.onLimited = peerLimitLog({m_identity.vm, m_identity.failureDomain, "control"});
    m_peerServer = std::make_unique<PeerServer>(settings.listen.peers, options, std::move(service));
    m_port = makeControlPort(settings, *this);
    startChanges();
    m_thread = std::thread([this] { maintain(); });
    m_follower.setFastPolling(false);
    m_follower.start();
    m_leaderFetcher.start();
    log(LogLevel::Info, "node_started", {{"folder", m_log.folder()}});
}

ControlNode::~ControlNode()
{
    m_isStopping = true;
    m_signal.notify();
    m_thread.join();
    m_loop.stop();
    if (m_loopThread.joinable())
        m_loopThread.join();
    m_follower.stop();
    m_leaderFetcher.stop();
    m_port.reset();
    m_peerServer->stop();
    m_updateSenders.clear();
    m_log.stop();
    log(LogLevel::Info, "node_stopped", {});
}

void ControlNode::reload(const NodeSettings &settings)
{
    for (const Endpoint &seed : seedPeers(settings))
        registerControlVm(seed, {}, {});
    m_follower.setSeeds(seedPeers(settings));
    log(LogLevel::Info, "settings_reloaded", {});
}

bool ControlNode::isMember() const
{
    const RaftStatus status = m_log.status();
    return std::any_of(status.members.begin(), status.members.end(), [&](const auto &member) {
        return member.vm == m_identity.vm
                && (member.folder.empty() || member.folder == m_log.folder());
    });
}

// A member that was removed while it was cut off still considers itself a member, but it hears no
// leader.
bool ControlNode::hearsLeader() const
{
    return isMember() && !m_log.leader().isEmpty();
}

// Whether this VM's information was recently confirmed by the leader.
bool ControlNode::isConnected() const
{
    if (hearsLeader())
        return m_log.status().isCurrent;
    const std::lock_guard lock(m_mutex);
    return m_isFollowerConnected;
}

void ControlNode::announce(const ServerAnnouncement &announcement)
{
    ServerRecord record {announcement, false};
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    bool isCounted = false;
    {
        const std::lock_guard lock(m_mutex);
        before = m_registry.version();
        isCounted = m_registry.counts(announcement);
        m_registry.merge(record, EventLoop::now());
        after = m_registry.version();
        if (isCounted)
            record = *m_registry.find(announcement.server);
    }
    if (!isCounted)
        logSetAside(announcement);
    if (before == after)
        return;
    log(LogLevel::Info, "server_announced",
        {{"server", announcement.server.text()},
         {"service", announcement.service.text()},
         {"address", toString(announcement.address)},
         {"primary", announcement.isPrimary ? "yes" : "no"},
         {"leaving", announcement.isLeaving ? "yes" : "no"},
         {"lifetime", std::to_string(announcement.lifetime)},
         {"sequence", std::to_string(announcement.sequence)}});
    broadcast(record);
}

// Anybody may announce anything, so only some lines are written.
void ControlNode::logSetAside(const ServerAnnouncement &announcement)
{
    const std::string event = "announcement_set_aside";
    std::uint64_t suppressed = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_setAsideLog.take(event, EventLoop::now(), suppressed))
            return;
    }
    log(LogLevel::Warning, event,
        {{"server", announcement.server.text()},
         {"service", announcement.service.text()},
         {"address", toString(announcement.address)},
         {"suppressed", std::to_string(suppressed)},
         {"reason", "the service isn't named, or a server of another one has this id"}});
}

void ControlNode::depart(const ServerId &server)
{
    ServerRecord record;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_registry.noteDeparture(server, EventLoop::now()))
            return;
        record = *m_registry.find(server);
    }
    log(LogLevel::Info, "server_departed", {{"server", server.text()}});
    broadcast(record);
}

SubmitAnswer ControlNode::submit(const RouteTable &routes, const std::string &text)
{
    // An equal or newer revision is already durable.
    if (routes.revision <= m_ledger.revision())
        return {SubmitOutcome::Accepted, "", std::nullopt};
    const ConfigSubmission submission {ChangeId(std::to_string(routes.revision)), routes.revision,
                                       text, "operator"};
    try {
        m_log.propose({CommandKind::Config, encode(submission)}, ProposeTimeout);
        log(LogLevel::Info, "configuration_accepted",
            {{"revision", std::to_string(routes.revision)}, {"bytes", std::to_string(text.size())}});
        return {SubmitOutcome::Accepted, "", std::nullopt};
    } catch (const NotLeaderError &fault) {
        const auto leader = refuseRead().leader;
        return {leader ? SubmitOutcome::NotLeader : SubmitOutcome::Unavailable, fault.what(),
                leader};
    } catch (const ProposalError &fault) {
        log(LogLevel::Warning, "configuration_unknown",
            {{"revision", std::to_string(routes.revision)}, {"reason", fault.what()}});
        return {SubmitOutcome::Unavailable, fault.what(), std::nullopt};
    }
}

// Proposes an entry that changes nothing. If it is committed after the request arrived, no newer
// configuration was accepted elsewhere before.
ReadAnswer ControlNode::readNewest()
{
    try {
        m_log.propose({CommandKind::Config, ""}, ReadTimeout);
    } catch (const NotLeaderError &) {
        return refuseRead();
    } catch (const ProposalError &) {
        return {};
    }
    const ConfigRevision latest = m_ledger.latest();
    if (latest.revision == 0)
        return {};
    return {SubmitOutcome::Accepted, latest.toml, std::nullopt};
}

// Returns a refusal that names the leader's listener where another VM leads.
ReadAnswer ControlNode::refuseRead() const
{
    const VmName leader = leaderName();
    if (leader.isEmpty() || leader == m_identity.vm)
        return {};
    return {SubmitOutcome::NotLeader, "", controlPortOf(leader)};
}

std::optional<Endpoint> ControlNode::controlPortOf(const VmName &vm) const
{
    return Endpoint {parseEndpoint(vm.text()).address, m_settings.listen.callers.port};
}

// Returns an empty name where no leader is known.
VmName ControlNode::leaderName() const
{
    if (hearsLeader())
        return m_log.leader();
    const std::lock_guard lock(m_mutex);
    return m_isFollowerConnected && m_followedLeader ? VmName(toString(*m_followedLeader))
                                                     : VmName();
}

std::optional<Endpoint> ControlNode::otherLeader() const
{
    const VmName leader = leaderName();
    if (leader.isEmpty() || leader == m_identity.vm)
        return std::nullopt;
    return parseEndpoint(leader.text());
}

// Records the confirmation here, because the new primary's own announcement may reach only control
// VMs that are cut off from this one.
void ControlNode::confirmPrimary(const ServiceName &service, const ServerId &server, Term term)
{
    std::vector<ServerRecord> records;
    {
        const std::lock_guard lock(m_mutex);
        m_registry.confirmPrimary(service, server, term);
        records = m_registry.presentOf(service);
    }
    for (const ServerRecord &record : records)
        broadcast(record);
}

PrimaryChangeManager::Departures ControlNode::departedServers() const
{
    PrimaryChangeManager::Departures departed = m_roster.departures();
    const std::lock_guard lock(m_mutex);
    for (const ServerRecord &record : m_registry.all()) {
        if (record.isGone)
            departed[record.announcement.server] = record.departedAfter.value_or(
                    record.announcement.sequence);
        else
            departed.erase(record.announcement.server);
    }
    return departed;
}

void ControlNode::startChanges()
{
    if (!m_settings.promotions)
        return;
    m_promoter = makePromoter(*m_settings.promotions, m_nodeName);
    m_changes = std::make_unique<PrimaryChangeManager>(
            m_loop, m_identity, m_log, *m_promoter, m_roster, [this] { return departedServers(); },
            [this](const ServerId &server) { depart(server); },
            [this](const ServiceName &service, const ServerId &server, Term term) {
                confirmPrimary(service, server, term);
            });
    m_proofCollector = std::make_unique<ProofCollector>(
            [this](ServerEvents &events) { return makeServerLinks(m_loop, "control", events); },
            m_proofs);
    m_loop.every([this] { return m_log.isLeader() ? leaderTick() : FollowerTick; },
                 [this] { tickChanges(); });
    m_loopThread = std::thread([this] { m_loop.run(); });
}

Duration ControlNode::leaderTick() const
{
    const std::lock_guard lock(m_mutex);
    const std::size_t further = std::max(m_registry.size(), ServersPerLeaderTick)
            - ServersPerLeaderTick;
    const auto steps = (further + ServersPerLeaderTick - 1) / ServersPerLeaderTick;
    return std::min(LeaderTick * static_cast<Duration::rep>(1 + steps), LongestLeaderTick);
}

void ControlNode::tickChanges()
{
    std::vector<ServerRecord> servers;
    int entries = 0;
    {
        const std::lock_guard lock(m_mutex);
        servers = m_registry.present();
        entries = entryCount();
    }
    const TimePoint now = EventLoop::now();
    m_changes->tick(servers, entries, m_log.status().isCurrent, now);
    if (m_log.isLeader())
        m_proofCollector->tick(servers, now);
    else
        m_proofCollector->closeAll();
}

void ControlNode::onLedgerChanged()
{
    const ConfigRevision latest = m_ledger.latest();
    if (latest.revision != 0)
        setConfiguration(latest.revision, latest.toml);
}

void ControlNode::log(LogLevel level, const std::string &event,
                      const std::vector<LogField> &fields) const
{
    logEvent(level, event, {m_identity.vm, m_identity.failureDomain, "control"}, fields);
}

} // namespace nutmegtide
