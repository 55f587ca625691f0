#include "nutmegtide/fleet/groupstate.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// Within one term a log only grows, so the higher position is the later one.
void advance(LogPosition &known, const LogPosition &reported, bool isSameTerm)
{
    known = isSameTerm ? std::max(known, reported) : reported;
}

} // namespace

bool GroupState::observe(const Announcement &announcement, TimePoint now)
{
    const auto found = m_servers.find(announcement.server);
    if (found == m_servers.end()) {
        m_servers[announcement.server] = {announcement, now, false, announcement.term};
        return true;
    }
    GroupServer &server = found->second;
    if (announcement.incarnation < server.announcement.incarnation)
        return false;
    const bool isSameRun = announcement.incarnation == server.announcement.incarnation;
    if (isSameRun && announcement.term < server.announcement.term)
        return false;
    const bool isSameTerm = isSameRun && announcement.term == server.announcement.term;
    const LogPosition last = server.announcement.last;
    const LogPosition durable = server.announcement.durable;
    server = {announcement, now, false, announcement.term};
    if (isSameTerm) {
        server.announcement.last = std::max(last, announcement.last);
        server.announcement.durable = std::max(durable, announcement.durable);
    }
    return true;
}

bool GroupState::observePosition(const ServerId &server, const PositionReply &reply, TimePoint now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || reply.term < found->second.announcement.term)
        return false;
    Announcement &announcement = found->second.announcement;
    const bool isSameTerm = reply.term == announcement.term;
    announcement.term = reply.term;
    announcement.role = reply.role;
    advance(announcement.last, reply.last, isSameTerm);
    advance(announcement.durable, reply.durable, isSameTerm);
    found->second.heardAt = now;
    found->second.isRefusing = false;
    return true;
}

void GroupState::observeRefusal(const ServerId &server)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.isRefusing = true;
}

void GroupState::resume(TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        server.heardAt = now;
        server.isRefusing = false;
    }
}

std::vector<ServerId> GroupState::forgetSilent(Duration silence, TimePoint now)
{
    std::vector<ServerId> forgotten;
    for (const auto &[id, server] : m_servers) {
        if (now - server.heardAt > silence)
            forgotten.push_back(id);
    }
    for (const ServerId &id : forgotten)
        m_servers.erase(id);
    return forgotten;
}

bool GroupState::isLeading(const ServerId &id, const GroupServer &server) const
{
    if (server.announcement.role != ServerRole::Primary)
        return false;
    const std::vector<ServerId> &voters = server.announcement.voters;
    if (server.votersTerm != server.announcement.term || voters.empty())
        return true;
    const auto fenced = std::count_if(voters.begin(), voters.end(), [&](const ServerId &voter) {
        const GroupServer *known = find(voter);
        return voter != id && known && known->announcement.term > server.announcement.term;
    });
    return voters.size() - static_cast<std::size_t>(fenced) > voters.size() / 2;
}

Term GroupState::term() const
{
    if (const auto id = primary())
        return m_servers.at(*id).announcement.term;
    Term highest = 0;
    for (const auto &[id, server] : m_servers)
        highest = std::max(highest, server.announcement.term);
    return highest;
}

std::optional<ServerId> GroupState::primary() const
{
    std::optional<ServerId> leader;
    for (const auto &[id, server] : m_servers) {
        const bool isHigher = !leader
                || m_servers.at(*leader).announcement.term < server.announcement.term;
        if (isHigher && isLeading(id, server))
            leader = id;
    }
    return leader;
}

std::vector<ServerId> GroupState::voters() const
{
    const std::optional<ServerId> id = primary();
    if (!id)
        return {};
    const GroupServer &server = m_servers.at(*id);
    return server.votersTerm == term() ? server.announcement.voters : std::vector<ServerId>();
}

bool GroupState::isSuspect(const ServerId &server, Duration silence, TimePoint now) const
{
    const GroupServer *known = find(server);
    return !known || known->isRefusing || now - known->heardAt > silence;
}

const GroupServer *GroupState::find(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace nutmegtide
