// Lane side of ServerHome: commands from other processes, and the order in which they are served.
#include "nutmegtide/proxy/serverhome.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto TickInterval = 50ms;
// After a longer gap between two ticks, replies may be waiting unread in this process.
constexpr auto StallThreshold = 150ms;
constexpr int ExtraStatements = 1; // sent beyond the slots, to cover the network delay to the server

bool runsInSlot(ServerCommandKind kind)
{
    return kind == ServerCommandKind::Read || kind == ServerCommandKind::Write
            || kind == ServerCommandKind::Execute || kind == ServerCommandKind::Commit;
}

ServerReply busyReply(TransactionState state)
{
    ServerReply reply;
    reply.fault = StatementFault::Busy;
    reply.detail = "the server has no slot in time";
    reply.state = state;
    return reply;
}

} // namespace

// Returns whether the lane's commands are a proof of position or a question for a commit: an empty
// transaction of an entry VM itself, which takes a connection for one exchange and no slot.
bool ServerHome::isProof(const Lane &lane)
{
    if (lane.pending.size() != 2 || lane.pending[1].kind != ServerCommandKind::Rollback)
        return false;
    const ServerCommandKind first = lane.pending[0].kind;
    return first == ServerCommandKind::Begin || first == ServerCommandKind::BeginReadOnly
            || first == ServerCommandKind::Status;
}

int ServerHome::homeCount(const ServerId &server) const
{
    const auto known = m_homeCounts.find(server);
    return known == m_homeCounts.end() ? 1 : std::max(1, known->second);
}

void ServerHome::setHomeCounts(std::map<ServerId, int> counts)
{
    m_homeCounts = std::move(counts);
    for (auto &[id, server] : m_servers)
        setBounds(server);
}

bool ServerHome::isBalanced(const Server &server) const
{
    return m_balanced.count(server.record.announcement.service) != 0;
}

bool ServerHome::isFair(const Server &server) const
{
    return !m_priorities.empty() && isBalanced(server);
}

int ServerHome::priorityOf(const WorkspaceName &workspace) const
{
    const auto known = m_priorities.find(workspace);
    return known == m_priorities.end() ? 0 : known->second;
}

void ServerHome::setBalancedServices(std::set<ServiceName> services)
{
    m_balanced = std::move(services);
    for (auto &[id, server] : m_servers)
        setBounds(server);
}

void ServerHome::setWorkspacePriorities(std::map<WorkspaceName, int> priorities)
{
    m_priorities = std::move(priorities);
    for (auto &[id, server] : m_servers)
        setBounds(server);
}

void ServerHome::setBounds(Server &server) const
{
    server.queue.setFair(isFair(server));
    const ServerAnnouncement &announcement = server.record.announcement;
    server.limiter.setBounds(announcement.slots, homeCount(announcement.server));
}

// Returns whether no further statement may be sent to the server now.
bool ServerHome::isFull(const Server &server, TimePoint now) const
{
    return isBalanced(server) ? !server.limiter.mayStart(server.running, now)
                              : server.running >= maxRunning(server);
}

// Returns how many statements this home may have running on the server. Each home rounds its share
// up, since the other homes may have nothing to send.
int ServerHome::maxRunning(const Server &server) const
{
    if (isBalanced(server))
        return server.limiter.limit();
    const int homes = homeCount(server.record.announcement.server);
    return (std::max(1, server.record.announcement.slots) + ExtraStatements + homes - 1) / homes;
}

void ServerHome::setServers(const std::vector<ServerRecord> &records, TimePoint now)
{
    std::set<ServerId> listed;
    for (const ServerRecord &record : records) {
        listed.insert(record.announcement.server);
        Server &server = m_servers[record.announcement.server];
        const bool isRestarted = server.isKnown
                && (server.record.announcement.lifetime != record.announcement.lifetime
                    || server.record.announcement.address != record.announcement.address);
        server.record = record;
        server.isKnown = true;
        setBounds(server);
        if (!isRestarted)
            continue;
        const std::vector<ConnectionKey> idle = server.idle;
        for (const ConnectionKey key : idle) {
            m_delegate.close(key);
            forget(key);
        }
    }
    for (auto &[id, server] : m_servers)
        server.isKnown = listed.count(id) != 0;
    std::erase_if(m_servers, [](const auto &item) {
        return !item.second.isKnown && item.second.connections.empty()
                && item.second.queue.isEmpty();
    });
    m_dueAt = std::min(m_dueAt, now);
}

void ServerHome::take(const LaneKey &key, const LaneTarget &target,
                      const std::vector<ServerCommand> &commands, const Urgency &urgency,
                      TimePoint now)
{
    const bool isKnown = m_lanes.count(key) != 0;
    if (!isKnown && target.server.isEmpty()) {
        // The lane was already lost here, and the process that uses it doesn't know that yet.
        for (std::size_t i = 0; i < commands.size(); ++i)
            m_delegate.reply(key, busyReply(TransactionState::Idle));
        return;
    }
    Lane &lane = m_lanes[key];
    if (!isKnown) {
        lane.server = target.server;
        lane.workspace = target.workspace;
    }
    lane.pending.insert(lane.pending.end(), commands.begin(), commands.end());
    lane.urgency = urgency;
    advance(key, now);
}

// Executes the lane's pending commands until one has to wait.
void ServerHome::advance(const LaneKey &key, TimePoint now)
{
    Lane &lane = m_lanes.at(key);
    while (!lane.isAnswerDue && lane.ticket == 0 && !lane.pending.empty()) {
        if (answerLocally(key, lane))
            continue;
        const bool needsNoSlot = lane.connection != 0 && !runsInSlot(lane.pending.front().kind);
        if (needsNoSlot)
            return sendNext(lane, now);
        wait(key, lane, now);
        serve(lane.server, now);
        return;
    }
    const bool isDone = !lane.isAnswerDue && lane.pending.empty() && lane.connection != 0
            && lane.state == TransactionState::Idle;
    if (isDone)
        makeIdle(std::exchange(lane.connection, 0), now);
}

// Answers the next command if it needs no server, and returns whether it did. Session values and
// prepared statements are set on a connection when the lane gets one for a statement.
bool ServerHome::answerLocally(const LaneKey &key, Lane &lane)
{
    const ServerCommand command = lane.pending.front();
    switch (command.kind) {
    case ServerCommandKind::SetValue:
        lane.image.setValue(command.name, command.argument);
        break;
    case ServerCommandKind::Prepare:
        lane.image.prepare(command.name, {command.preparesWrite, command.argument});
        break;
    case ServerCommandKind::Reset:
        lane.image = {};
        break;
    case ServerCommandKind::Rollback:
        if (lane.connection != 0)
            return false;
        lane.state = TransactionState::Idle;
        break;
    default:
        return false;
    }
    lane.pending.pop_front();
    ServerReply reply;
    reply.state = lane.state;
    m_delegate.reply(key, reply);
    return true;
}

void ServerHome::wait(const LaneKey &key, Lane &lane, TimePoint now)
{
    const auto found = m_servers.find(lane.server);
    if (found == m_servers.end() || !found->second.isKnown)
        return refuseNext(key, lane, now);
    Server &server = found->second;
    const bool isPastLeaveTime = server.record.isPastLeaveTime(m_leaveTime, now) && !isProof(lane);
    if (lane.connection == 0 && (server.isUnreachable || isPastLeaveTime))
        return refuseNext(key, lane, now);
    const Duration perStatement = server.averageTime.value() * homeCount(lane.server)
            / std::max(1, server.record.announcement.slots);
    Urgency urgency = lane.urgency;
    if (lane.connection != 0)
        urgency.rank = 0;
    lane.queuedAt = now;
    if (!enqueue(key, lane, urgency, perStatement, now))
        refuseForLoad(key, lane, now);
}

// Adds the lane's next statement to the queue. Returns false if it can't be sent in time.
bool ServerHome::enqueue(const LaneKey &key, Lane &lane, const Urgency &urgency,
                         Duration perStatement, TimePoint now)
{
    Server &server = m_servers.at(lane.server);
    const HomeQueue::Ticket ticket = ++m_lastTicket;
    const WorkspaceShare share {lane.workspace, priorityOf(lane.workspace)};
    const bool isQueued = server.queue.add(ticket, urgency, perStatement, now, share);
    if (isQueued) {
        lane.ticket = ticket;
        lane.waitsUntil = now + urgency.maxWait;
        server.waiting[ticket] = key;
        m_dueAt = std::min(m_dueAt, lane.waitsUntil);
    }
    refuseShed(lane.server, now);
    return isQueued;
}

void ServerHome::refuseShed(const ServerId &id, TimePoint now)
{
    Server &server = m_servers.at(id);
    for (const HomeQueue::Ticket ticket : server.queue.takeShed()) {
        const auto found = server.waiting.find(ticket);
        if (found == server.waiting.end())
            continue;
        const LaneKey key = found->second;
        server.waiting.erase(found);
        Lane &lane = m_lanes.at(key);
        lane.ticket = 0;
        ++m_shed;
        refuseForLoad(key, lane, now);
    }
}

void ServerHome::serve(const ServerId &server, TimePoint now)
{
    while (serveOne(server, now)) { }
}

// Sends the first queued statement for which a slot and a connection are available. Returns false
// if there is none.
bool ServerHome::serveOne(const ServerId &id, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return false;
    Server &server = found->second;
    const bool isServerFull = isFull(server, now);
    for (const HomeQueue::Item &item : server.queue.items()) {
        // Rank 0, which includes proofs, is at the front, or behind one statement of another rank.
        if (isServerFull && item.rank > 0) {
            if (&item == &server.queue.items().front())
                continue;
            break;
        }
        const LaneKey key = server.waiting.at(item.ticket);
        Lane &lane = m_lanes.at(key);
        if (isServerFull && !isProof(lane))
            continue;
        const ConnectionKey idle = lane.connection == 0 ? idleFor(server, lane) : 0;
        if (lane.connection == 0 && idle == 0)
            continue;
        if (item.rank > 0)
            noteQueued(lane, now - lane.queuedAt, now);
        // Proofs take no slot, and no turn from the others.
        if (item.rank > 0 || runsInSlot(lane.pending.front().kind))
            server.queue.start(lane.ticket);
        leaveQueue(lane);
        if (lane.connection == 0) {
            std::erase(server.idle, idle);
            attach(key, lane, idle, now);
        }
        sendNext(lane, now);
        return true;
    }
    openWanted(id, now);
    return false;
}

void ServerHome::attach(const LaneKey &key, Lane &lane, ConnectionKey connection, TimePoint now)
{
    Connection &held = m_connections.at(connection);
    held.lane = key;
    held.isUsed = true;
    held.usedAt = now;
    lane.connection = connection;
}

const PreparedStatement *ServerHome::preparedOf(const Lane &lane, const ServerCommand &command) const
{
    return command.kind == ServerCommandKind::Execute ? lane.image.findPrepared(command.name)
                                                      : nullptr;
}

void ServerHome::sendNext(Lane &lane, TimePoint now)
{
    Connection &held = m_connections.at(lane.connection);
    const ServerCommand sent = lane.pending.front();
    ServerCommand command = sent;
    lane.pending.pop_front();
    const bool isInTransaction = lane.state != TransactionState::Idle;
    const PreparedStatement *prepared = preparedOf(lane, command);
    std::vector<ServerCommand> commands;
    if (command.kind != ServerCommandKind::Rollback)
        commands = held.image.restore(lane.image, prepared, isInTransaction);
    // The lane's entry VM may be of a version that names statements differently.
    if (prepared != nullptr)
        command.name = prepared->serverName();
    held.restoring = static_cast<int>(commands.size());
    held.usedAt = now;
    commands.push_back(command);
    lane.isAnswerDue = true;
    lane.takesSlot = runsInSlot(command.kind);
    lane.sent = sent;
    lane.sentAt = now;
    noteSent(m_servers.at(lane.server), lane, now);
    m_delegate.send(lane.connection, commands);
}

// Answers the lane's next command with Busy, since it was not sent. A rollback that follows a
// refused begin is answered without the server.
void ServerHome::refuseNext(const LaneKey &key, Lane &lane, TimePoint now)
{
    lane.pending.pop_front();
    sendReply(key, lane, busyReply(lane.state), now);
    advance(key, now);
}

void ServerHome::refuseForLoad(const LaneKey &key, Lane &lane, TimePoint now)
{
    noteQueued(lane, lane.urgency.maxWait, now);
    refuseNext(key, lane, now);
}

void ServerHome::noteQueued(const Lane &lane, Duration waited, TimePoint now)
{
    Server &server = m_servers.at(lane.server);
    if (isBalanced(server))
        server.queueWait.note(waited, now);
}

void ServerHome::sendReply(const LaneKey &key, const Lane &lane, ServerReply reply, TimePoint now)
{
    const auto server = m_servers.find(lane.server);
    if (server != m_servers.end() && isBalanced(server->second))
        reply.wait = server->second.queueWait.value(now);
    m_delegate.reply(key, reply);
}

void ServerHome::leaveQueue(Lane &lane)
{
    Server &server = m_servers.at(lane.server);
    server.queue.remove(lane.ticket);
    server.waiting.erase(lane.ticket);
    lane.ticket = 0;
}

void ServerHome::closeLane(const LaneKey &key, TimePoint now)
{
    const auto found = m_lanes.find(key);
    if (found == m_lanes.end())
        return;
    Lane &lane = found->second;
    if (lane.ticket != 0)
        leaveQueue(lane);
    const ServerId server = lane.server;
    const ConnectionKey connection = lane.connection;
    const bool isClean = !lane.isAnswerDue && lane.state == TransactionState::Idle;
    if (connection != 0)
        noteUnanswered(lane);
    m_lanes.erase(found);
    if (connection == 0)
        return;
    if (isClean)
        return makeIdle(connection, now);
    // The server rolls back the open transaction, and the reply is discarded.
    m_delegate.close(connection);
    forget(connection);
    serve(server, now);
}

void ServerHome::linkLost(std::uint64_t link, TimePoint now)
{
    std::vector<LaneKey> lanes;
    for (auto lane = m_lanes.lower_bound({link, 0}); lane != m_lanes.end(); ++lane) {
        if (lane->first.link != link)
            break;
        lanes.push_back(lane->first);
    }
    for (const LaneKey &key : lanes)
        closeLane(key, now);
}

bool ServerHome::isInUse() const
{
    return std::any_of(m_lanes.begin(), m_lanes.end(), [](const auto &item) {
        return item.second.connection != 0 || !item.second.pending.empty();
    });
}

void ServerHome::tick(TimePoint now)
{
    if (now < m_dueAt)
        return;
    m_dueAt = now + TickInterval;
    if (now - std::exchange(m_tickedAt, now) > StallThreshold)
        restartSilenceTimers(now);
    closeUnused(now);
    probeServers(now);
    std::vector<ServerId> servers;
    for (const auto &[id, server] : m_servers)
        servers.push_back(id);
    for (const ServerId &id : servers) {
        refuseOverdue(id, now);
        serve(id, now);
        const Server &server = m_servers.at(id);
        for (const HomeQueue::Item &item : server.queue.items())
            m_dueAt = std::min(m_dueAt, item.dueAt);
        if (!server.queue.isEmpty() && server.limiter.heldUntil() > now)
            m_dueAt = std::min(m_dueAt, server.limiter.heldUntil());
    }
}

void ServerHome::refuseOverdue(const ServerId &id, TimePoint now)
{
    Server &server = m_servers.at(id);
    for (const HomeQueue::Ticket ticket : server.queue.takeOverdue(now)) {
        const LaneKey key = server.waiting.at(ticket);
        server.waiting.erase(ticket);
        Lane &lane = m_lanes.at(key);
        lane.ticket = 0;
        refuseForLoad(key, lane, now);
    }
}

} // namespace nutmegtide
