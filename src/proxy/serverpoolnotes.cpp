// Part of ServerPool that records replies, failures and silence of servers.
#include "nutmegtide/proxy/serverpool.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// After a failure a server gets only retried connection attempts for so long.
constexpr auto AvoidTime = 1s;
constexpr auto ReachableTime = 700ms; // a server that replied so recently is reachable
// A server that was too slow gets no reads for so long.
constexpr auto OverloadTime = 100ms;

} // namespace

void ServerPool::noteAlive(const ServerId &server, TimePoint now)
{
    m_servers.at(server).answeredAt = now;
}

void ServerPool::noteAnswer(const ServerId &server, Duration time)
{
    PooledServer &state = m_servers.at(server);
    state.averageTime.note(time);
    state.failingSince.reset();
    state.avoidUntil = {};
}

void ServerPool::noteFailure(const ServerId &server, TimePoint now)
{
    PooledServer *state = find(server);
    if (state == nullptr)
        return;
    state->avoidUntil = now + AvoidTime;
    if (!state->failingSince)
        state->failingSince = now;
    m_failing.insert(server);
}

void ServerPool::noteHeld(const ServerId &server, const LogPosition &position, const ReadNeed &need,
                          TimePoint askedAt)
{
    PooledServer &state = m_servers.at(server);
    const bool wasUnknown = state.lag.noteHeld(position, need, askedAt);
    if (wasUnknown && isBalanced(state) && !state.record.announcement.isPrimary)
        m_usualLag.noteHeld(askedAt - need.reachedAt, askedAt);
}

void ServerPool::noteMissing(const ServerId &server, const ReadNeed &need, TimePoint askedAt)
{
    PooledServer &state = m_servers.at(server);
    state.lag.noteMissing(need, askedAt);
    if (isBalanced(state) && !state.record.announcement.isPrimary)
        m_usualLag.noteMissing(askedAt - need.reachedAt, askedAt);
}

void ServerPool::noteConnectionLimit(const ServerId &server, TimePoint now)
{
    PooledServer &state = m_servers.at(server);
    state.connectionLimitUntil = now + ConnectionLimitPause;
    state.answeredAt = now;
    state.failingSince.reset();
}

void ServerPool::noteOverload(const ServerId &server, TimePoint now)
{
    PooledServer &state = m_servers.at(server);
    state.avoidUntil = now + OverloadTime;
    if (isBalanced(state))
        noteOutcome(state, true, now);
}

bool ServerPool::hasAnsweredSince(const ServerId &server, TimePoint moment) const
{
    return m_servers.at(server).answeredAt > moment;
}

void ServerPool::clearFailures()
{
    for (auto &[server, state] : m_servers) {
        state.failingSince.reset();
        state.writeUnansweredSince.reset();
        state.avoidUntil = {};
    }
}

void ServerPool::noteUnansweredWrite(const ServerId &server, TimePoint sentAt)
{
    PooledServer &state = m_servers.at(server);
    if (!state.writeUnansweredSince)
        state.writeUnansweredSince = sentAt;
    m_failing.insert(server);
}

void ServerPool::forgetRecovered()
{
    std::erase_if(m_failing, [this](const ServerId &server) {
        const PooledServer *state = find(server);
        return state == nullptr || (!state->failingSince && !state->writeUnansweredSince);
    });
}

void ServerPool::clearUnansweredWrite(const ServerId &server)
{
    m_servers.at(server).writeUnansweredSince.reset();
}

void ServerPool::noteWrongAddress(const ServerId &server)
{
    m_servers.at(server).hasWrongAddress = true;
}

void ServerPool::noteNotPrimary(const ServerId &server)
{
    m_servers.at(server).refusesWrites = true;
}

bool ServerPool::isCutOff(TimePoint now) const
{
    // A domain whose servers were not asked lately can't show failures, so two failing domains are
    // enough.
    constexpr std::size_t EnoughDomains = 2;
    std::set<FailureDomain> others;
    std::set<FailureDomain> failing;
    for (const auto &[server, state] : m_servers) {
        const FailureDomain &domain = state.record.announcement.failureDomain;
        if (state.record.isGone || domain == m_own)
            continue;
        if (now - state.answeredAt < ReachableTime)
            return false;
        others.insert(domain);
        if (state.failingSince)
            failing.insert(domain);
    }
    return !failing.empty() && failing.size() >= std::min(EnoughDomains, others.size());
}

bool ServerPool::isOwnDomain(const ServerId &server) const
{
    return m_servers.at(server).record.announcement.failureDomain == m_own;
}

} // namespace nutmegtide
