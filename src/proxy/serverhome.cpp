// Lane side of ServerHome: commands from other processes, and the order in which they are served.
#include "nutmegtide/proxy/serverhome.h"
#include "proxy/homecommands.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto TickInterval = 50ms;
// After a longer gap between two ticks, replies may be waiting unread in this process.
constexpr auto StallThreshold = 150ms;

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
    if (!server.queue.add(ticket, urgency, perStatement, now))
        return false;
    lane.ticket = ticket;
    lane.waitsUntil = now + urgency.maxWait;
    server.waiting[ticket] = key;
    m_dueAt = std::min(m_dueAt, lane.waitsUntil);
    return true;
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
        // Rank 0, which includes proofs, is at the front.
        if (isServerFull && item.rank > 0)
            break;
        const LaneKey key = server.waiting.at(item.ticket);
        Lane &lane = m_lanes.at(key);
        if (isServerFull && !isProof(lane))
            continue;
        const ConnectionKey idle = lane.connection == 0 ? idleFor(server, lane) : 0;
        if (lane.connection == 0 && idle == 0)
            continue;
        if (item.rank > 0)
            noteQueued(lane, now - lane.queuedAt, now);
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
    ServerCommand command = lane.pending.front();
    lane.pending.pop_front();
    const bool isInTransaction = lane.state != TransactionState::Idle;
    if (runsInSlot(command.kind) && isBalanced(m_servers.at(lane.server)))
        lane.sent = command;
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

std::size_t ServerHome::heldBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[key, lane] : m_lanes) {
        bytes += lane.sent ? lane.sent->argument.size() : 0;
        for (const ServerCommand &command : lane.pending)
            bytes += command.argument.size();
    }
    return bytes;
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
    // Of thousands of servers, this VM is home of a few.
    std::vector<ServerId> servers;
    for (const auto &[id, server] : m_servers) {
        if (!server.queue.isEmpty() || server.limiter.heldUntil() > now)
            servers.push_back(id);
    }
    for (const ServerId &id : servers) {
        refuseOverdue(id, now);
        serve(id, now);
        const Server &server = m_servers.at(id);
        for (const HomeQueue::Item &item : server.queue.items())
            m_dueAt = std::min(m_dueAt, item.dueAt);
        // Also with an empty queue: a statement may arrive until then.
        if (server.limiter.heldUntil() > now)
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
