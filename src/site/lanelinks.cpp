#include "site/lanelinks.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto TickInterval = 50ms;
constexpr auto QuietTime = 100ms; // of a home that owes an answer, before it is asked
constexpr auto AnswerTime = 250ms; // of a home that was asked, before it counts as lost
constexpr auto OwnStall = 150ms; // since the last tick, after which silence proves nothing
constexpr auto ReconnectTime = 500ms; // between connections to one home
constexpr auto SilentPause = 3s; // before a home that was silent is tried again; it may be slow
constexpr auto DoubtTime = 2s; // that a server is asked directly after its home didn't help
constexpr std::size_t FewHomes = 4; // of other failure domains, that a doubt is put to first
constexpr std::size_t WarnedHomes = 2; // of the own failure domain, which pass a warning on
constexpr std::size_t MostConnectedAhead = 256; // servers whose homes are connected before need

} // namespace

LaneLinks::LaneLinks(EventLoop &loop, const std::string &self, FailureDomain own,
                     ServerEvents &events, OnEvidence onEvidence, OnHome onHome)
    : m_loop(loop)
    , m_own(std::move(own))
    , m_events(events)
    , m_onEvidence(std::move(onEvidence))
    , m_onHome(std::move(onHome))
    , m_direct(makeServerLinks(loop, self, events))
{ }

void LaneLinks::setHomes(ServerHomes homes)
{
    m_homesOf = std::move(homes);
    m_named.clear();
    for (const auto &[server, lanes] : m_homesOf)
        m_named.insert(lanes.begin(), lanes.end());
    m_dueAt = EventLoop::now();
    findElsewhere();
}

void LaneLinks::setServers(const std::vector<ServerRecord> &records)
{
    m_domainOf.clear();
    for (const ServerRecord &record : records)
        m_domainOf[record.announcement.server] = record.announcement.failureDomain;
    findElsewhere();
}

// A home stands in the failure domain of its servers.
void LaneLinks::findElsewhere()
{
    m_elsewhere.clear();
    for (const auto &[server, homes] : m_homesOf) {
        const auto domain = m_domainOf.find(server);
        if (domain != m_domainOf.end() && domain->second != m_own)
            m_elsewhere.insert(homes.begin(), homes.end());
    }
}

// After a cut nothing speaks against the homes that were silent in it.
void LaneLinks::trustReach(TimePoint now)
{
    m_reach.noteAlive(now);
    for (const Endpoint &at : m_elsewhere) {
        const auto home = m_homes.find(at);
        if (home != m_homes.end())
            home->second.connectAt = std::min(home->second.connectAt, now);
    }
    m_dueAt = now;
}

void LaneLinks::checkReach(TimePoint now)
{
    const DomainReachability::ProbeTargets questions = m_reach.dueProbes(now);
    if (questions != DomainReachability::ProbeTargets::None) {
        m_reach.noteProbesSent(questions, question(questions, now), now);
        if (questions == DomainReachability::ProbeTargets::All)
            warnOwnDomain();
    }
    if (const auto wakeAt = m_reach.wakeAt(); wakeAt && *wakeAt > now)
        m_dueAt = std::min(m_dueAt, *wakeAt);
}

// Returns how many homes of other failure domains owe an answer now.
std::size_t LaneLinks::question(DomainReachability::ProbeTargets questions, TimePoint now)
{
    const std::size_t most = questions == DomainReachability::ProbeTargets::Few ? FewHomes
                                                                      : m_elsewhere.size();
    std::size_t count = 0;
    for (const Endpoint &at : m_elsewhere) {
        const auto home = m_homes.find(at);
        if (count == most || home == m_homes.end() || !home->second.isThere)
            continue;
        ++count;
        if (!home->second.isAsked)
            ask(at, home->second, now);
    }
    return count;
}

// Homes of the own failure domain pass the warning on to the entry VMs there.
void LaneLinks::warnOwnDomain()
{
    std::size_t count = 0;
    for (const auto &[at, home] : m_homes) {
        if (count == WarnedHomes || !home.isThere || m_elsewhere.count(at) != 0)
            continue;
        ++count;
        outgoing(at).isReachDoubted = true;
    }
}

bool LaneLinks::isUsable(const Endpoint &at) const
{
    const auto home = m_homes.find(at);
    return home != m_homes.end() && home->second.isThere && !home->second.isLeaving;
}

bool LaneLinks::isAskedDirectly(const ServerId &server, TimePoint now) const
{
    const auto doubted = m_directUntil.find(server);
    return doubted != m_directUntil.end() && doubted->second > now;
}

// Connects to the first home, and to the next one while that one can't be used. Returns the one
// that can be used.
std::optional<Endpoint> LaneLinks::reach(const std::vector<Endpoint> &homes, TimePoint now)
{
    for (const Endpoint &at : homes) {
        connect(at, now);
        if (isUsable(at))
            return at;
    }
    return std::nullopt;
}

void LaneLinks::connectAhead(TimePoint now)
{
    if (m_homesOf.size() > MostConnectedAhead)
        return;
    for (const auto &[server, homes] : m_homesOf)
        reach(homes, now);
}

void LaneLinks::open(ConnectionKey connection, const ServerAnnouncement &server)
{
    const TimePoint now = EventLoop::now();
    const auto named = m_homesOf.find(server.server);
    std::optional<Endpoint> home;
    if (named != m_homesOf.end())
        home = reach(named->second, now);
    if (!home || isAskedDirectly(server.server, now))
        return m_direct->open(connection, server);
    m_lanes[connection] = {*home, server.server, 0};
    m_homes.at(*home).lanes.insert(connection);
    // A lane begins with its first command, so it is there at once.
    m_loop.post([this, connection] {
        if (m_lanes.count(connection) != 0)
            m_events.connectionOpened(connection);
    });
}

void LaneLinks::send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
                     const Urgency &urgency)
{
    const auto lane = m_lanes.find(connection);
    if (lane == m_lanes.end())
        return m_direct->send(connection, commands);
    wire::LaneRequest request;
    request.lane = static_cast<std::int64_t>(connection);
    request.server = std::exchange(lane->second.untold, {}).text();
    for (const ServerCommand &command : commands)
        request.commands.push_back(toWire(command));
    request.rank = urgency.rank;
    request.patienceMicroseconds =
            std::chrono::duration_cast<std::chrono::microseconds>(urgency.maxWait).count();
    request.workMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(urgency.work)
                                       .count();
    Home &home = m_homes.at(lane->second.home);
    if (home.unanswered == 0)
        home.heardAt = EventLoop::now();
    home.unanswered += static_cast<int>(commands.size());
    lane->second.unanswered += static_cast<int>(commands.size());
    outgoing(lane->second.home).requests.push_back(std::move(request));
}

void LaneLinks::close(ConnectionKey connection)
{
    const auto lane = m_lanes.find(connection);
    if (lane == m_lanes.end())
        return m_direct->close(connection);
    wire::LaneRequest request;
    request.lane = static_cast<std::int64_t>(connection);
    request.isClosed = true;
    Home &home = m_homes.at(lane->second.home);
    home.unanswered -= lane->second.unanswered;
    home.lanes.erase(connection);
    outgoing(lane->second.home).requests.push_back(std::move(request));
    m_lanes.erase(lane);
}

void LaneLinks::doubtHome(const ServerId &server)
{
    m_directUntil[server] = EventLoop::now() + DoubtTime;
}

wire::LaneFrame &LaneLinks::outgoing(const Endpoint &at)
{
    m_unsent.insert(at);
    return m_homes.at(at).outgoing;
}

void LaneLinks::connect(const Endpoint &at, TimePoint now)
{
    Home &home = m_homes[at];
    if (home.socket != nullptr || now < home.connectAt)
        return;
    home.connectAt = now + ReconnectTime;
    StreamSocket::Handlers handlers;
    handlers.received = [this, at](std::string_view bytes) { return read(at, bytes); };
    handlers.ended = [this, at](StreamSocket::End end) {
        lose(at, end == StreamSocket::End::Unreachable ? "refused" : "closed", ReconnectTime);
    };
    home.socket = std::make_unique<StreamSocket>(m_loop.base(), at, std::move(handlers));
    outgoing(at).failureDomain = m_own.text();
    ask(at, home, now);
}

void LaneLinks::ask(const Endpoint &at, Home &home, TimePoint now)
{
    home.isAsked = true;
    home.askedAt = now;
    outgoing(at).isQuestion = true;
}

bool LaneLinks::read(const Endpoint &at, std::string_view bytes)
{
    Home &home = m_homes.at(at);
    home.heardAt = EventLoop::now();
    home.isAsked = false;
    if (m_elsewhere.count(at) != 0)
        m_reach.noteAlive(home.heardAt);
    if (!home.isThere) {
        home.isThere = true;
        m_onHome(at, true, "it answers");
    }
    try {
        home.frames.append(bytes);
        while (const auto frame = home.frames.next(m_expander)) {
            obey(at, *frame);
            if (home.socket == nullptr)
                return false;
        }
    } catch (const MessageError &fault) {
        lose(at, fault.what(), ReconnectTime);
        return false;
    }
    return true;
}

void LaneLinks::obey(const Endpoint &at, const wire::LaneFrame &frame)
{
    if (frame.isLeaving)
        retireLanes(at);
    if (frame.isReachDoubted) {
        m_reach.noteWarning(EventLoop::now());
        m_dueAt = EventLoop::now();
    }
    for (const wire::LaneEvidence &told : frame.evidence) {
        const ServerEvidence evidence = evidenceOf(told);
        // A server that is silent there may answer here.
        if (evidence == ServerEvidence::Silent)
            doubtHome(ServerId(told.server));
        m_onEvidence(ServerId(told.server), evidence);
    }
    for (const wire::LaneReply &reply : frame.replies)
        take(reply);
}

// What runs there goes on, but whatever began on these lanes now could be cut off by the home's end.
void LaneLinks::retireLanes(const Endpoint &at)
{
    Home &home = m_homes.at(at);
    home.isLeaving = true;
    m_loop.post([this, lanes = home.lanes] {
        for (const ConnectionKey key : lanes)
            m_events.connectionRetires(key);
    });
}

void LaneLinks::take(const wire::LaneReply &told)
{
    const auto key = static_cast<ConnectionKey>(told.lane);
    const auto lane = m_lanes.find(key);
    if (lane == m_lanes.end())
        return; // it was closed here meanwhile
    Home &home = m_homes.at(lane->second.home);
    if (told.isLost) {
        home.unanswered -= lane->second.unanswered;
        home.lanes.erase(key);
        m_lanes.erase(lane);
        return m_events.connectionLost(key, Loss::Closed);
    }
    --lane->second.unanswered;
    --home.unanswered;
    m_events.replyCame(key, fromWire(told));
}

void LaneLinks::lose(const Endpoint &at, const std::string &why, Duration pause)
{
    Home &home = m_homes.at(at);
    if (home.socket == nullptr)
        return;
    m_loop.destroyLater(std::move(home.socket));
    const std::set<ConnectionKey> lanes = std::move(home.lanes);
    const bool wasThere = home.isThere;
    home = {};
    home.connectAt = EventLoop::now() + pause;
    for (const ConnectionKey key : lanes)
        m_lanes.erase(key);
    if (wasThere)
        m_onHome(at, false, why);
    m_loop.post([this, lanes] {
        for (const ConnectionKey key : lanes)
            m_events.connectionLost(key, Loss::HomeLost);
    });
}

void LaneLinks::tick(TimePoint now)
{
    if (now < m_dueAt)
        return;
    m_dueAt = now + TickInterval;
    if (now - std::exchange(m_tickedAt, now) > OwnStall)
        forgiveSilence(now);
    connectAhead(now);
    checkHomes(now);
    checkReach(now);
    std::erase_if(m_directUntil, [now](const auto &item) { return item.second <= now; });
}

// This process stood still, so that answers may wait here unread.
void LaneLinks::forgiveSilence(TimePoint now)
{
    m_reach.restartTimeouts(now);
    for (auto &[at, home] : m_homes)
        home.askedAt = home.heardAt = now;
}

// Gives up homes that are silent or named no longer, and asks those whose answers are overdue.
void LaneLinks::checkHomes(TimePoint now)
{
    std::vector<Endpoint> unwanted;
    std::vector<Endpoint> silent;
    for (auto &[at, home] : m_homes) {
        const bool isOwed = home.unanswered > 0;
        if (home.socket == nullptr) {
            continue;
        } else if (m_named.count(at) == 0 && home.lanes.empty()) {
            unwanted.push_back(at);
        } else if (home.isAsked && now - home.askedAt > AnswerTime && (isOwed || !home.isThere)) {
            silent.push_back(at);
        } else if (!home.isAsked && isOwed && now - home.heardAt > QuietTime) {
            ask(at, home, now);
            if (m_elsewhere.count(at) != 0)
                m_reach.noteOverdueAnswer(now);
        }
    }
    for (const Endpoint &at : unwanted)
        lose(at, "no longer a home", ReconnectTime);
    for (const Endpoint &at : silent)
        lose(at, "silent", SilentPause);
    std::erase_if(m_homes, [this](const auto &item) {
        return item.second.socket == nullptr && m_named.count(item.first) == 0;
    });
}

void LaneLinks::flush()
{
    for (const Endpoint &at : std::exchange(m_unsent, {})) {
        const auto home = m_homes.find(at);
        if (home == m_homes.end() || home->second.socket == nullptr)
            continue;
        const auto way = m_elsewhere.count(at) != 0 ? FrameWriter::Way::LeavesDomain
                                                    : FrameWriter::Way::StaysInDomain;
        home->second.socket->send(m_writer.write(std::exchange(home->second.outgoing, {}), way));
    }
}

} // namespace nutmegtide
