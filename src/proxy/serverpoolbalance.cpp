// Part of ServerPool that spreads the reads of balanced services.
#include "nutmegtide/proxy/serverpool.h"

#include <cmath>
#include <numeric>

namespace nutmegtide {

namespace {

// Prices of a read, in response time. A byte between failure domains costs more than the time that
// it takes; a primary's slots are needed for writes.
constexpr Duration OtherDomainPrice = 12ms;
constexpr Duration PrimaryPrice = 15ms;
// Of a replica that probably lacks the required position.
constexpr Duration BehindPrice = 200ms;

constexpr Duration MaxWait = 10s; // homes refuse statements long before

constexpr Duration BusyWait = 30ms; // of a server that refuses statements, if it isn't known

// With 1 s, 300 entry VMs forgot a slow server between two of its answers.
constexpr std::chrono::duration<double> TimeHalfLife {5}; // of a server's response time
constexpr std::chrono::duration<double> FailureHalfLife {5};
constexpr auto RecentAnswer = 1s;
constexpr double OutcomeWeight = 1.0 / 8; // of the newest outcome

double remaining(Duration age, std::chrono::duration<double> halfLife)
{
    return std::exp2(-(std::chrono::duration<double>(age) / halfLife));
}

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

} // namespace

bool ServerPool::isBalanced(const PooledServer &state) const
{
    return m_balanced.count(state.record.announcement.service) != 0;
}

Duration ServerPool::usualTime(const ServiceName &service, TimePoint now) const
{
    Duration sum {};
    int count = 0;
    for (const ServerId &server : listOf(service)) {
        const PooledServer &state = m_servers.at(server);
        if (now - state.timedAt > RecentAnswer)
            continue;
        sum += state.averageTime.value();
        ++count;
    }
    return count == 0 ? AverageTime::InitialValue : sum / count;
}

ServerEstimate ServerPool::estimateOf(const PooledServer &state, const ReadNeed &need,
                                      Duration usualTime, TimePoint now) const
{
    const ServerAnnouncement &announcement = state.record.announcement;
    ServerEstimate estimate;
    estimate.server = announcement.server;
    estimate.slots = announcement.slots;
    // A slow server gets few reads, so it can hardly show that it is fast again. Replies to proofs
    // and confirmations don't say how long a statement takes.
    const Duration slower = state.averageTime.value() - usualTime;
    estimate.responseTime = usualTime
            + scaled(slower, remaining(now - state.timedAt, TimeHalfLife));
    estimate.underWay = state.running + static_cast<int>(state.waiting.size());
    estimate.wait = LoadBalancer::waitAfter(state.reportedWait, now - state.reportedAt);
    estimate.failureShare = state.failureShare
            * remaining(now - state.failureNotedAt, FailureHalfLife);
    if (announcement.failureDomain != m_own)
        estimate.price += OtherDomainPrice;
    if (announcement.isPrimary)
        estimate.price += PrimaryPrice;
    else if (!state.lag.probablyHolds(need, now, m_usualLag.value(now)))
        estimate.price += BehindPrice;
    return estimate;
}

bool ServerPool::isBehind(const PooledServer &state, const ReadNeed &need, TimePoint now)
{
    return !state.record.announcement.isPrimary && state.lag.hasLackedLately(need, now);
}

std::vector<ServerEstimate> ServerPool::readerEstimates(const ServiceName &service,
                                                        const ReadNeed &need,
                                                        const std::set<ServerId> &tried,
                                                        TimePoint now) const
{
    const Duration usual = usualTime(service, now);
    std::vector<ServerEstimate> estimates;
    for (const ServerId &server : listOf(service)) {
        const PooledServer &state = m_servers.at(server);
        if (!mayRead(state, tried, now))
            continue;
        if (!isBehind(state, need, now))
            estimates.push_back(estimateOf(state, need, usual, now));
    }
    return estimates;
}

std::optional<ServerId> ServerPool::drawReader(const ServiceName &service, const ReadNeed &need,
                                               const std::set<ServerId> &tried, TimePoint now)
{
    const std::vector<ServerEstimate> estimates = readerEstimates(service, need, tried, now);
    if (estimates.empty())
        return std::nullopt;
    const std::vector<double> weights = LoadBalancer::weightsOf(estimates);
    noteShares(estimates, weights, now);
    const ServerId drawn = estimates[m_balancer.draw(weights)].server;
    countRead(drawn);
    return drawn;
}

void ServerPool::noteShares(const std::vector<ServerEstimate> &estimates,
                            const std::vector<double> &weights, TimePoint now)
{
    const std::vector<double> fair = LoadBalancer::fairWeightsOf(estimates);
    const double weightSum = std::accumulate(weights.begin(), weights.end(), 0.0);
    const double fairSum = std::accumulate(fair.begin(), fair.end(), 0.0);
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        PooledServer &state = m_servers.at(estimates[i].server);
        const auto isLow = state.readShare.note(weights[i] / weightSum, fair[i] / fairSum, now);
        if (isLow)
            m_shareChanges.push_back(
                    {estimates[i].server, state.record.announcement.service, *isLow});
    }
}

void ServerPool::countRead(const ServerId &server)
{
    const ServerAnnouncement &announcement = m_servers.at(server).record.announcement;
    if (announcement.isPrimary)
        ++m_readCounts.primary;
    else if (announcement.failureDomain == m_own)
        ++m_readCounts.ownDomain;
    else
        ++m_readCounts.otherDomain;
}

// A refusal comes sooner than an answer, and would make the server look fast.
bool ServerPool::noteBalancedAnswer(const ServerId &server, Duration time, const ServerReply &reply,
                                    TimePoint now)
{
    PooledServer &state = m_servers.at(server);
    const bool isBusy = reply.fault == StatementFault::Busy;
    const bool isPossible = reply.wait >= Duration() && reply.wait <= MaxWait;
    if (isPossible) {
        state.reportedWait = isBusy ? std::max(reply.wait, BusyWait) : reply.wait;
        state.reportedAt = now;
    }
    if (!reply.fault) {
        state.averageTime.note(time);
        state.timedAt = now;
    }
    if (!reply.fault || reply.fault == StatementFault::Failed)
        noteOutcome(state, reply.fault.has_value(), now);
    state.failingSince.reset();
    state.avoidUntil = {};
    return isPossible;
}

void ServerPool::noteOutcome(PooledServer &state, bool isFailed, TimePoint now) const
{
    const double before = state.failureShare
            * remaining(now - state.failureNotedAt, FailureHalfLife);
    state.failureShare = before + ((isFailed ? 1 : 0) - before) * OutcomeWeight;
    state.failureNotedAt = now;
}

} // namespace nutmegtide
