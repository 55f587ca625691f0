// Part of ServerHome that bounds what runs at a server, and handles its busy refusals.
#include "nutmegtide/proxy/serverhome.h"

#include <algorithm>
#include <utility>

namespace nutmegtide {

namespace {

constexpr int ExtraStatements = 1; // sent beyond the slots, to cover the network delay to the server

} // namespace

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

void ServerHome::setBounds(Server &server) const
{
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

bool ServerHome::takeSlotReply(const LaneKey &key, Lane &lane, const ServerReply &reply,
                               TimePoint now)
{
    Server &server = m_servers.at(lane.server);
    if (reply.fault != StatementFault::Busy) {
        server.limiter.noteAnswered(now - lane.sentAt, !server.queue.isEmpty());
        return false;
    }
    const bool isAllowed = server.limiter.takeBusy(now);
    m_dueAt = std::min(m_dueAt, server.limiter.heldUntil());
    // A statement that fails its transaction isn't repeated, whatever the fault.
    const bool isUnchanged = reply.state == lane.state;
    const bool isNewWork = lane.state == TransactionState::Idle;
    if (isNewWork && server.record.isPastLeaveTime(m_leaveTime, now))
        return false;
    if (!isAllowed || !isUnchanged || !lane.sent || lane.waitsUntil <= server.limiter.heldUntil())
        return false;
    lane.pending.push_front(*std::exchange(lane.sent, std::nullopt));
    if (!enqueue(key, lane, {0, lane.waitsUntil - now, lane.urgency.work}, {}, now)) {
        // The lane gets the refusal, so the statement may not stay pending.
        lane.pending.pop_front();
        return false;
    }
    ++m_resent;
    return true;
}

} // namespace nutmegtide
