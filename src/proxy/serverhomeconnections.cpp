// Server side of ServerHome: its connections, and what it learns about servers from them.
#include "nutmegtide/proxy/serverhome.h"

#include <algorithm>
#include <limits>

namespace nutmegtide {

namespace {

// A connection attempt without an answer for so long shows that the server is silent.
constexpr auto OpeningTime = 300ms;
// Interval of connection attempts to an unreachable server.
constexpr auto ProbeTime = 300ms;
// A server without any reply for so long counts as silent.
constexpr auto SilentTime = 300ms;
// The same for a slow server, as a multiple of its average response time.
constexpr int SlowFactor = 4;
constexpr auto IdleTimeout = 2s; // for an unused server connection
// The same for one of a workspace, which is expensive to open again. It gives way when the home's
// share is used up.
constexpr auto WorkspaceIdleTimeout = 20s;
// Part of a server's connections that is left to control VMs and to direct connections of entry VMs
// whose home is lost.
constexpr int ReserveParts = 8;
constexpr int MinReserve = 3; // connections

} // namespace

// A server that had no connection left is given another one to open after each pause, until this
// home's share is reached again.
std::size_t ServerHome::maxConnections(const Server &server, TimePoint now) const
{
    const std::size_t share = connectionShare(server);
    if (!server.heldAtRefusal)
        return share;
    const auto pauses = static_cast<std::size_t>((now - server.refusedAt) / ConnectionLimitPause);
    return std::min(share, *server.heldAtRefusal + pauses);
}

void ServerHome::noteConnectionLimit(Server &server, TimePoint now)
{
    server.heldAtRefusal = server.connections.size();
    server.refusedAt = now;
}

std::size_t ServerHome::connectionShare(const Server &server) const
{
    const auto limit = m_connectionLimits.find(server.record.announcement.service);
    if (limit == m_connectionLimits.end() || limit->second == 0)
        return std::numeric_limits<std::size_t>::max();
    const int shared = limit->second - std::max(MinReserve, limit->second / ReserveParts);
    const int share = shared / homeCount(server.record.announcement.server);
    return static_cast<std::size_t>(std::max(share, maxRunning(server)));
}

ConnectionKey ServerHome::idleFor(const Server &server, const Lane &lane) const
{
    const auto found = std::find_if(server.idle.rbegin(), server.idle.rend(), [&](auto key) {
        return isProof(lane) || m_connections.at(key).workspace == lane.workspace;
    });
    return found == server.idle.rend() ? 0 : *found;
}

// Opens connections for the lanes that wait for one, in the order in which they are served, as long
// as a slot is free for the statements that run on them.
void ServerHome::openWanted(const ServerId &id, TimePoint now)
{
    Server &server = m_servers.at(id);
    if (!server.isKnown || server.queue.isEmpty())
        return;
    std::map<WorkspaceName, int> opening;
    for (const ConnectionKey key : server.connections) {
        if (!m_connections.at(key).isOpen)
            ++opening[m_connections.at(key).workspace];
    }
    // One connection is enough for all proofs, since each is short.
    bool isProofServed = server.opening > 0;
    int freeSlots = maxRunning(server) - server.running;
    for (const HomeQueue::Item &item : server.queue.items()) {
        const Lane &lane = m_lanes.at(server.waiting.at(item.ticket));
        if (lane.connection != 0)
            continue;
        if (isProof(lane) ? std::exchange(isProofServed, true) : --freeSlots < 0)
            continue;
        if (opening[lane.workspace]-- > 0)
            continue;
        if (!makeRoom(server, now))
            return;
        openConnection(id, lane.workspace, now);
    }
}

bool ServerHome::makeRoom(Server &server, TimePoint now)
{
    if (server.connections.size() < maxConnections(server, now))
        return true;
    if (server.idle.empty())
        return false;
    const ConnectionKey oldest = server.idle.front();
    m_delegate.close(oldest);
    forget(oldest);
    return true;
}

void ServerHome::openConnection(const ServerId &id, const WorkspaceName &workspace, TimePoint now)
{
    Server &server = m_servers.at(id);
    const ConnectionKey key = ++m_lastConnection;
    Connection &connection = m_connections[key];
    connection.server = id;
    connection.workspace = workspace;
    connection.usedAt = now;
    server.connections.insert(key);
    ++server.opening;
    m_delegate.open(key, server.record.announcement, workspace);
}

void ServerHome::opened(ConnectionKey key, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    found->second.isOpen = true;
    Server &server = m_servers.at(found->second.server);
    --server.opening;
    server.isUnreachable = false;
    m_vouches.opened(key, {found->second.server, server.record.announcement.service}, now);
    makeIdle(key, now);
}

// Returns a connection to the idle ones and serves the waiting lanes.
void ServerHome::makeIdle(ConnectionKey key, TimePoint now)
{
    Connection &connection = m_connections.at(key);
    connection.isUsed = false;
    connection.usedAt = now;
    const ServerId server = connection.server;
    m_servers.at(server).idle.push_back(key);
    serve(server, now);
}

void ServerHome::forget(ConnectionKey key)
{
    const Connection connection = m_connections.at(key);
    m_connections.erase(key);
    m_vouches.closed(key);
    Server &server = m_servers.at(connection.server);
    server.connections.erase(key);
    std::erase(server.idle, key);
    if (!connection.isOpen)
        --server.opening;
}

void ServerHome::refused(ConnectionKey key, StatementFault fault, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    const ServerId server = found->second.server;
    m_delegate.close(key);
    forget(key);
    if (isCapacityRefusal(fault)) {
        // Waiting lanes get a connection that is returned, or are refused at their deadline.
        noteConnectionLimit(m_servers.at(server), now);
        return;
    }
    noteUnreachable(server,
                    fault == StatementFault::Misrouted ? ServerEvidence::WrongAddress
                                                       : ServerEvidence::Refuses,
                    now);
}

void ServerHome::lost(ConnectionKey key, Loss loss, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    const Connection connection = found->second;
    forget(key);
    Server &server = m_servers.at(connection.server);
    // A server whose slots are all busy doesn't accept new connections until one is free.
    if (!connection.isOpen && loss == Loss::Silent && now - server.heardAt < OpeningTime) {
        noteConnectionLimit(server, now);
        return;
    }
    if (!connection.isOpen) {
        return noteUnreachable(connection.server,
                               loss == Loss::Silent ? ServerEvidence::Silent
                                                    : ServerEvidence::Refuses,
                               now);
    }
    if (!connection.isUsed)
        return;
    Lane &lane = m_lanes.at(connection.lane);
    if (lane.ticket != 0)
        leaveQueue(lane);
    noteUnanswered(lane);
    m_lanes.erase(connection.lane);
    m_delegate.laneLost(connection.lane);
    serve(connection.server, now);
}

void ServerHome::replied(ConnectionKey key, const ServerReply &reply, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    Connection &connection = found->second;
    connection.usedAt = now;
    const bool isExpected = connection.isUsed
            && (connection.restoring > 0 || m_lanes.at(connection.lane).isAnswerDue);
    const bool isFailedRestore = connection.restoring > 0 && reply.fault;
    if (!isExpected || isFailedRestore) {
        m_delegate.close(key);
        return lost(key, Loss::Closed, now);
    }
    Server &server = m_servers.at(connection.server);
    server.heardAt = now;
    if (connection.restoring > 0) {
        --connection.restoring;
        server.silentSince = now;
        return;
    }
    const LaneKey laneKey = connection.lane;
    Lane &lane = m_lanes.at(laneKey);
    const bool ranInSlot = lane.takesSlot;
    noteUnanswered(lane);
    server.silentSince = server.unanswered > 0 ? std::optional(now) : std::nullopt;
    ServerReply measured = reply;
    measured.isVouched = m_vouches.takeReply(key, lane.sentAt, now);
    if (ranInSlot) {
        measured.ran = now - lane.sentAt;
        if (!isBalanced(server) || reply.fault != StatementFault::Busy)
            server.averageTime.note(measured.ran);
        if (isBalanced(server) && takeSlotReply(laneKey, lane, reply, now))
            return;
        lane.sent.reset();
    }
    if (reply.fault == StatementFault::UnknownStatement)
        connection.image.forgetPrepared();
    lane.state = reply.state;
    sendReply(laneKey, lane, measured, now);
    const ServerId id = lane.server;
    advance(laneKey, now);
    serve(id, now);
}

void ServerHome::noteSent(Server &server, Lane &lane, TimePoint now)
{
    if (lane.takesSlot) {
        ++server.running;
        server.limiter.noteSent();
    }
    ++server.unanswered;
    if (!server.silentSince)
        server.silentSince = now;
}

void ServerHome::noteUnanswered(Lane &lane)
{
    Server &server = m_servers.at(lane.server);
    if (std::exchange(lane.takesSlot, false))
        --server.running;
    if (std::exchange(lane.isAnswerDue, false))
        --server.unanswered;
}

void ServerHome::reportToUsers(const ServerId &id, ServerEvidence evidence)
{
    std::set<std::uint64_t> links;
    for (const auto &[key, lane] : m_lanes) {
        if (lane.server == id)
            links.insert(key.link);
    }
    for (const std::uint64_t link : links)
        m_delegate.reportEvidence(link, id, evidence);
}

// Refuses the lanes that wait for a connection. Until a connection is opened, new ones are refused
// too.
void ServerHome::noteUnreachable(const ServerId &id, ServerEvidence evidence, TimePoint now)
{
    Server &server = m_servers.at(id);
    server.isUnreachable = true;
    server.probeAt = now + ProbeTime;
    reportToUsers(id, evidence);
    std::vector<LaneKey> lanes;
    for (const auto &[ticket, key] : server.waiting) {
        if (m_lanes.at(key).connection == 0)
            lanes.push_back(key);
    }
    for (const LaneKey &key : lanes) {
        Lane &lane = m_lanes.at(key);
        leaveQueue(lane);
        refuseNext(key, lane, now);
    }
}

void ServerHome::closeUnused(TimePoint now)
{
    std::vector<ConnectionKey> silent;
    std::vector<ConnectionKey> unused;
    for (const auto &[key, connection] : m_connections) {
        const Duration idleTime = now - connection.usedAt;
        if (!connection.isOpen && idleTime > OpeningTime)
            silent.push_back(key);
        const bool isKept = !connection.workspace.isEmpty()
                && m_homeCounts.count(connection.server) != 0;
        const Duration timeout = isKept ? Duration(WorkspaceIdleTimeout) : Duration(IdleTimeout);
        if (connection.isOpen && !connection.isUsed && idleTime > timeout)
            unused.push_back(key);
    }
    for (const ConnectionKey key : unused) {
        m_delegate.close(key);
        forget(key);
    }
    for (const ConnectionKey key : silent) {
        m_delegate.close(key);
        lost(key, Loss::Silent, now);
    }
}

// Called when this process was stalled or is slow, so that it can't tell whether a server is
// silent.
void ServerHome::restartSilenceTimers(TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        if (server.silentSince)
            server.silentSince = now;
    }
    for (auto &[key, connection] : m_connections) {
        if (!connection.isOpen)
            connection.usedAt = now;
    }
}

// Tries to connect to unreachable servers, and reports those that have become silent.
void ServerHome::probeServers(TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        if (server.isUnreachable && server.isKnown && server.opening == 0 && server.probeAt <= now) {
            server.probeAt = now + ProbeTime;
            openConnection(id, {}, now);
        }
        const Duration silenceLimit = std::max(Duration(SilentTime),
                                               server.averageTime.value() * SlowFactor);
        if (!server.silentSince || now - *server.silentSince < silenceLimit)
            continue;
        server.silentSince.reset();
        reportToUsers(id, ServerEvidence::Silent);
    }
}

} // namespace nutmegtide
