// The servers' side of ServerHome: its connections, and what they tell of servers.
#include "nutmegtide/proxy/serverhome.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto OpeningTime = 300ms; // before a server that accepts no connection counts as silent
constexpr auto ProbeTime = 300ms; // between tries to connect to a server that wasn't reached
constexpr auto SilentTime = 300ms; // without any answer, before a server counts as silent
constexpr int SlowFactor = 4; // usual times of a statement that a slow server may be silent for
constexpr auto IdleTimeout = 2s; // that an idle connection is kept

} // namespace

// Opens a connection where more lanes wait for one than are being opened.
void ServerHome::openAnother(const ServerId &id, TimePoint now)
{
    Server &server = m_servers.at(id);
    int statements = 0;
    int proofs = 0;
    for (const auto &[ticket, key] : server.waiting) {
        const Lane &lane = m_lanes.at(key);
        if (lane.connection == 0)
            ++(isProof(lane) ? proofs : statements);
    }
    // Proofs follow each other quickly on one connection.
    const int wanted = std::min(statements, maxRunning(server) - server.running)
            + std::min(proofs, 1);
    if (!server.isKnown || server.opening >= wanted || server.connectionLimitUntil > now)
        return;
    openConnection(id, now);
}

void ServerHome::openConnection(const ServerId &id, TimePoint now)
{
    Server &server = m_servers.at(id);
    const ConnectionKey key = ++m_lastConnection;
    Connection &connection = m_connections[key];
    connection.server = id;
    connection.usedAt = now;
    server.connections.insert(key);
    ++server.opening;
    m_delegate.open(key, server.record.announcement);
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
    makeIdle(key, now);
}

// Puts a connection among the idle ones and serves who waits.
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
        // Those who wait get a connection that is given back, or are refused in time.
        m_servers.at(server).connectionLimitUntil = now + ConnectionLimitPause;
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
    // A server whose slots are all busy lets new connections wait.
    if (!connection.isOpen && loss == Loss::Silent && now - server.heardAt < OpeningTime) {
        server.connectionLimitUntil = now + ConnectionLimitPause;
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
    if (ranInSlot) {
        measured.ran = now - lane.sentAt;
        server.averageTime.note(measured.ran);
    }
    if (reply.fault == StatementFault::UnknownStatement)
        connection.image.forgetPrepared();
    lane.state = reply.state;
    m_delegate.reply(laneKey, measured);
    const ServerId id = lane.server;
    advance(laneKey, now);
    serve(id, now);
}

void ServerHome::noteSent(Server &server, Lane &lane, TimePoint now)
{
    if (lane.takesSlot)
        ++server.running;
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

// Those who wait for a connection are refused, and until one stands all who come.
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
        if (connection.isOpen && !connection.isUsed && idleTime > IdleTimeout)
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

// This process has stood still or is slow, and so can't tell whether a server is silent.
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

// Looks whether unreachable servers are back, and whether others have fallen silent.
void ServerHome::probeServers(TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        if (server.isUnreachable && server.isKnown && server.opening == 0 && server.probeAt <= now) {
            server.probeAt = now + ProbeTime;
            openConnection(id, now);
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
