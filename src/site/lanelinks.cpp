#include "site/lanelinks.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto TickInterval = 50ms;
constexpr auto ProbeDelay = 100ms; // silence of a home with unanswered commands before a probe
constexpr auto AnswerTime = 250ms; // a probed home that doesn't answer within this is lost
constexpr auto StallThreshold = 150ms; // after a longer gap between ticks, silence proves nothing
constexpr auto ReconnectTime = 500ms; // between connections to one home
constexpr auto SilentHomeRetryTime = 3s; // before a silent home is tried again; it may be slow
constexpr auto BypassTime = 2s; // a server is used directly this long after its home failed
constexpr std::size_t MostConnectedAhead = 256; // servers; with more, no connections ahead of use

} // namespace

LaneLinks::LaneLinks(EventLoop &loop, const std::string &self, FailureDomain own,
                     ServerEvents &events, OnEvidence onEvidence, OnHome onHome)
    : m_loop(loop)
    , m_self(self)
    , m_own(std::move(own))
    , m_events(events)
    , m_onEvidence(std::move(onEvidence))
    , m_onHome(std::move(onHome))
    , m_direct(makeServerLinks(loop, self, events))
{ }

void LaneLinks::setHomes(ServerHomes homes)
{
    m_homesByServer = std::move(homes);
    m_allHomes.clear();
    for (auto &[server, lanes] : m_homesByServer) {
        lanes = homesInOrderFor(m_self, std::move(lanes));
        m_allHomes.insert(lanes.begin(), lanes.end());
    }
    m_dueAt = EventLoop::now();
    updateHomeDomains();
}

void LaneLinks::setServers(const std::vector<ServerRecord> &records)
{
    m_domainOf.clear();
    for (const ServerRecord &record : records)
        m_domainOf[record.announcement.server] = record.announcement.failureDomain;
    updateHomeDomains();
}

// A home is in the failure domain of its servers.
void LaneLinks::updateHomeDomains()
{
    m_domainOfHome.clear();
    m_remoteHomes.clear();
    for (const auto &[server, homes] : m_homesByServer) {
        const auto domain = m_domainOf.find(server);
        if (domain == m_domainOf.end())
            continue;
        for (const Endpoint &at : homes)
            m_domainOfHome.try_emplace(at, domain->second);
        if (domain->second != m_own)
            m_remoteHomes.insert(homes.begin(), homes.end());
    }
}

bool LaneLinks::isUsable(const Endpoint &at) const
{
    const auto home = m_homes.find(at);
    return home != m_homes.end() && home->second.isReachable && !home->second.isLeaving;
}

bool LaneLinks::isHomeBypassed(const ServerId &server, TimePoint now) const
{
    const auto doubted = m_directUntil.find(server);
    return doubted != m_directUntil.end() && doubted->second > now;
}

// Connects to the homes in order until one is usable. Returns the usable one, if any.
std::optional<Endpoint> LaneLinks::findUsableHome(const std::vector<Endpoint> &homes, TimePoint now)
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
    if (m_homesByServer.size() > MostConnectedAhead)
        return;
    if (m_usesAllHomes) {
        for (const Endpoint &at : m_allHomes)
            connect(at, now);
        return;
    }
    for (const auto &[server, homes] : m_homesByServer)
        findUsableHome(homes, now);
}

// Returns the homes in the order in which they are tried. All entry VMs use one home of a server
// for a workspace, so that its connections aren't spread over all of them. Without a workspace each
// entry VM has an order of its own.
std::vector<Endpoint> LaneLinks::homesFor(const WorkspaceName &workspace,
                                          const std::vector<Endpoint> &homes)
{
    return workspace.isEmpty() ? homes : homesInOrderFor(workspace.text(), homes);
}

void LaneLinks::open(ConnectionKey connection, const ServerAnnouncement &server,
                     const WorkspaceName &workspace)
{
    const TimePoint now = EventLoop::now();
    const auto named = m_homesByServer.find(server.server);
    std::optional<Endpoint> home;
    if (named != m_homesByServer.end())
        home = findUsableHome(homesFor(workspace, named->second), now);
    if (!home || isHomeBypassed(server.server, now))
        return m_direct->open(connection, server, workspace);
    m_lanes[connection] = {*home, {server.server, workspace}, 0};
    m_homes.at(*home).lanes.insert(connection);
    // A lane is created by its first command, so it is open at once.
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
    const ServerHome::LaneTarget target = std::exchange(lane->second.unannouncedTarget, {});
    request.server = target.server.text();
    if (!target.workspace.isEmpty())
        request.__set_workspace(target.workspace.text());
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

std::optional<Endpoint> LaneLinks::homeOf(ConnectionKey connection) const
{
    const auto lane = m_lanes.find(connection);
    return lane == m_lanes.end() ? std::nullopt : std::optional(lane->second.home);
}

std::optional<Endpoint> LaneLinks::nextHomeOf(const ServerId &server,
                                              const WorkspaceName &workspace, TimePoint now) const
{
    const auto named = m_homesByServer.find(server);
    if (named == m_homesByServer.end() || isHomeBypassed(server, now))
        return std::nullopt;
    for (const Endpoint &at : homesFor(workspace, named->second)) {
        if (isUsable(at))
            return at;
    }
    return std::nullopt;
}

void LaneLinks::bypassHome(const ServerId &server)
{
    m_directUntil[server] = EventLoop::now() + BypassTime;
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
        if (end == StreamSocket::End::Unreachable)
            return disconnect(at, "refused", ReconnectTime);
        // A reset says nothing about the home, which is needed again at once.
        const bool hasAnswered = m_homes.at(at).isReachable;
        disconnect(at, "closed", hasAnswered ? Duration() : Duration(ReconnectTime));
    };
    home.socket = std::make_unique<StreamSocket>(m_loop.base(), at, std::move(handlers));
    outgoing(at).failureDomain = m_own.text();
    sendProbe(at, home, now);
}

void LaneLinks::sendProbe(const Endpoint &at, Home &home, TimePoint now)
{
    home.isProbed = true;
    home.probedAt = now;
    outgoing(at).isQuestion = true;
}

bool LaneLinks::read(const Endpoint &at, std::string_view bytes)
{
    Home &home = m_homes.at(at);
    home.heardAt = EventLoop::now();
    home.isProbed = false;
    if (m_remoteHomes.count(at) != 0)
        m_reach.noteAlive(home.heardAt);
    if (!home.isReachable) {
        home.isReachable = true;
        m_onHome(at, true, "it answers");
    }
    try {
        home.frames.append(bytes);
        while (const auto frame = home.frames.next(m_expander)) {
            handleFrame(at, *frame);
            if (home.socket == nullptr)
                return false;
        }
    } catch (const MessageError &fault) {
        disconnect(at, fault.what(), ReconnectTime);
        return false;
    }
    return true;
}

void LaneLinks::handleFrame(const Endpoint &at, const wire::LaneFrame &frame)
{
    if (frame.isLeaving)
        retireLanes(at);
    if (frame.isReachDoubted) {
        m_reach.noteWarning(EventLoop::now());
        m_dueAt = EventLoop::now();
    }
    for (const wire::LaneEvidence &message : frame.evidence) {
        const ServerEvidence evidence = evidenceOf(message);
        // A server that doesn't answer its home may answer this VM.
        if (evidence == ServerEvidence::Silent)
            bypassHome(ServerId(message.server));
        m_onEvidence(ServerId(message.server), evidence);
    }
    for (const wire::Loan &loan : frame.loans)
        handleLoan(at, loan);
    for (const wire::LaneReply &reply : frame.replies)
        handleReply(reply);
}

// Commands in progress go on, but new transactions on these lanes could be cut off when the home
// ends.
void LaneLinks::retireLanes(const Endpoint &at)
{
    Home &home = m_homes.at(at);
    home.isLeaving = true;
    m_loop.post([this, lanes = home.lanes] {
        for (const ConnectionKey key : lanes)
            m_events.connectionClosingSoon(key);
    });
}

void LaneLinks::handleReply(const wire::LaneReply &message)
{
    const auto key = static_cast<ConnectionKey>(message.lane);
    const auto lane = m_lanes.find(key);
    if (lane == m_lanes.end())
        return; // already closed here
    Home &home = m_homes.at(lane->second.home);
    if (message.isLost) {
        home.unanswered -= lane->second.unanswered;
        home.lanes.erase(key);
        m_lanes.erase(lane);
        return m_events.connectionLost(key, Loss::Closed);
    }
    --lane->second.unanswered;
    --home.unanswered;
    m_events.replyReceived(key, fromWire(message));
}

void LaneLinks::disconnect(const Endpoint &at, const std::string &why, Duration pause)
{
    Home &home = m_homes.at(at);
    if (home.socket == nullptr)
        return;
    m_loop.destroyLater(std::move(home.socket));
    const std::set<ConnectionKey> lanes = std::move(home.lanes);
    const bool wasReachable = home.isReachable;
    home = {};
    home.connectAt = EventLoop::now() + pause;
    for (const ConnectionKey key : lanes)
        m_lanes.erase(key);
    if (wasReachable)
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
    if (now - std::exchange(m_tickedAt, now) > StallThreshold)
        restartAnswerTimeouts(now);
    connectAhead(now);
    checkHomes(now);
    checkReach(now);
    std::erase_if(m_directUntil, [now](const auto &item) { return item.second <= now; });
}

// This process was stalled, so answers may have arrived that it hasn't read yet.
void LaneLinks::restartAnswerTimeouts(TimePoint now)
{
    m_reach.restartTimeouts(now);
    for (auto &[at, home] : m_homes)
        home.probedAt = home.heardAt = now;
}

// Closes homes that are silent or no longer assigned, and probes those with overdue answers.
void LaneLinks::checkHomes(TimePoint now)
{
    std::vector<Endpoint> unwanted;
    std::vector<Endpoint> silent;
    for (auto &[at, home] : m_homes) {
        const bool isOwed = home.unanswered > 0;
        if (home.socket == nullptr) {
            continue;
        } else if (m_allHomes.count(at) == 0 && m_unlistedLenders.count(at) == 0
                   && home.lanes.empty()) {
            unwanted.push_back(at);
        } else if (home.isProbed && now - home.probedAt > AnswerTime
                   && (isOwed || !home.isReachable)) {
            silent.push_back(at);
        } else if (!home.isProbed && isOwed && now - home.heardAt > ProbeDelay) {
            sendProbe(at, home, now);
            if (m_remoteHomes.count(at) != 0)
                m_reach.noteOverdueAnswer(now);
        }
    }
    for (const Endpoint &at : unwanted)
        disconnect(at, "no longer a home", ReconnectTime);
    for (const Endpoint &at : silent)
        disconnect(at, "silent", SilentHomeRetryTime);
    std::erase_if(m_homes, [this](const auto &item) {
        return item.second.socket == nullptr && m_allHomes.count(item.first) == 0;
    });
}

void LaneLinks::flush()
{
    for (const Endpoint &at : std::exchange(m_unsent, {})) {
        const auto home = m_homes.find(at);
        if (home == m_homes.end() || home->second.socket == nullptr)
            continue;
        const auto way = m_remoteHomes.count(at) != 0 ? FrameWriter::Way::LeavesDomain
                                                      : FrameWriter::Way::StaysInDomain;
        home->second.socket->send(m_writer.write(std::exchange(home->second.outgoing, {}), way));
    }
}

} // namespace nutmegtide
