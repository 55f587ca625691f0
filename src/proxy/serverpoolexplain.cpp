// Part of ServerPool that names the reasons against readers and explains the choice of one.
#include "nutmegtide/proxy/serverpool.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <tuple>

namespace nutmegtide {

namespace {

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

AgedValue agedValue(double value, TimePoint notedAt, TimePoint now)
{
    return {value, notedAt == TimePoint() ? std::nullopt : std::optional(now - notedAt)};
}

// Sorts by rating, then by id, with the excluded candidates last.
void sortCandidates(ReaderExplanation &explanation)
{
    const double sign = explanation.isBalanced ? -1 : 1;
    const auto rank = [sign](const ReadCandidate &candidate) {
        return std::make_tuple(candidate.exclusion.has_value(), sign * candidate.rating.value_or(0),
                               candidate.server);
    };
    std::sort(explanation.candidates.begin(), explanation.candidates.end(),
              [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); });
}

} // namespace

std::string_view toString(ReadExclusion exclusion)
{
    static constexpr std::array<std::string_view, 7> Names = {"gone",          "leaving",
                                                              "failing",       "avoided",
                                                              "wrong address", "no connection left",
                                                              "behind"};
    return Names.at(static_cast<std::size_t>(exclusion));
}

std::optional<ReadExclusion> ServerPool::exclusionOf(const PooledServer &state, TimePoint now)
{
    if (state.record.isGone)
        return ReadExclusion::Gone;
    if (state.record.announcement.isLeaving)
        return ReadExclusion::Leaving;
    if (state.failingSince)
        return ReadExclusion::Failing;
    if (state.avoidUntil > now)
        return ReadExclusion::Avoided;
    if (state.hasWrongAddress)
        return ReadExclusion::WrongAddress;
    if (state.idle.empty() && state.connectionLimitUntil > now)
        return ReadExclusion::NoConnectionLeft;
    return std::nullopt;
}

ReaderExplanation ServerPool::explainReaders(const ServiceName &service, const ReadNeed &need,
                                             std::size_t most, TimePoint now) const
{
    ReaderExplanation explanation;
    explanation.isBalanced = m_balanced.count(service) != 0;
    const Duration usual = explanation.isBalanced ? usualTime(service, now) : Duration();
    for (const ServerId &server : listOf(service))
        explanation.candidates.push_back(candidateOf(m_servers.at(server), need, usual, now));
    if (explanation.isBalanced)
        explainDraw(explanation, service, need, now);
    else
        explanation.chosen = cheapestReader(service, need, {}, now);
    sortCandidates(explanation);
    if (explanation.candidates.size() > most) {
        explanation.omitted = explanation.candidates.size() - most;
        explanation.candidates.resize(most);
    }
    return explanation;
}

ReadCandidate ServerPool::candidateOf(const PooledServer &state, const ReadNeed &need,
                                      Duration usualTime, TimePoint now) const
{
    const ServerAnnouncement &announcement = state.record.announcement;
    ReadCandidate candidate;
    candidate.server = announcement.server;
    candidate.failureDomain = announcement.failureDomain;
    candidate.isPrimary = announcement.isPrimary;
    candidate.slots = announcement.slots;
    candidate.running = state.running;
    candidate.waiting = static_cast<int>(state.waiting.size());
    candidate.exclusion = exclusionOf(state, now);
    const bool isDrawn = isBalanced(state);
    // Only for balanced services is the time of the latest sample kept.
    const TimePoint timedAt = isDrawn ? state.timedAt : state.answeredAt;
    candidate.responseTime = agedValue(milliseconds(state.averageTime.value()),
                                       state.averageTime.isKnown() ? timedAt : TimePoint(), now);
    candidate.reportedWait = agedValue(milliseconds(state.reportedWait), state.reportedAt, now);
    candidate.failureShare = agedValue(state.failureShare, state.failureNotedAt, now);
    candidate.replicationLag = agedValue(milliseconds(state.lag.notedLag()), state.lag.notedAt(),
                                         now);
    if (isDrawn) {
        candidate.price = milliseconds(estimateOf(state, need, usualTime, now).price);
        if (!candidate.exclusion && isBehind(state, need, now))
            candidate.exclusion = ReadExclusion::Behind;
    } else {
        candidate.price = addPrices(0, state, need, now);
        if (!candidate.exclusion)
            candidate.rating = costOf(state, need, now);
    }
    return candidate;
}

void ServerPool::explainDraw(ReaderExplanation &explanation, const ServiceName &service,
                             const ReadNeed &need, TimePoint now) const
{
    const std::vector<ServerEstimate> estimates = readerEstimates(service, need, {}, now);
    if (estimates.empty())
        return;
    const std::vector<double> weights = LoadBalancer::weightsOf(estimates);
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::map<ServerId, double> probabilities;
    for (std::size_t i = 0; i < estimates.size(); ++i)
        probabilities[estimates[i].server] = weights[i] / sum;
    for (ReadCandidate &candidate : explanation.candidates) {
        if (const auto found = probabilities.find(candidate.server); found != probabilities.end())
            candidate.rating = found->second;
    }
    const auto heaviest = std::max_element(weights.begin(), weights.end()) - weights.begin();
    explanation.chosen = estimates[static_cast<std::size_t>(heaviest)].server;
}

} // namespace nutmegtide
