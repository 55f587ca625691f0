#include "nutmegtide/statement/readrouter.h"

#include <algorithm>
#include <utility>

namespace nutmegtide {

namespace {

constexpr int RemainingShare = 4; // a wait takes at most a quarter of the time left

using Candidates = std::vector<const ServerSnapshot *>;

bool takesWork(const ServerSnapshot &server)
{
    return server.state == ServerState::Ready && !server.isSuspect;
}

bool isFree(const ServerSnapshot &server)
{
    return server.inFlight < server.limit;
}

// Compares the used shares of both limits without division.
bool isLessLoaded(const ServerSnapshot &left, const ServerSnapshot &right)
{
    return static_cast<long long>(left.inFlight) * std::max(right.limit, 1)
            < static_cast<long long>(right.inFlight) * std::max(left.limit, 1);
}

Candidates freshReplicas(const GroupSnapshot &group, const ReadNeed &need)
{
    Candidates found;
    for (const ServerSnapshot &server : group.servers) {
        const bool isReplica = server.role == ServerRole::Replica && server.id != group.primary;
        const bool isFresh = server.provedAge && *server.provedAge <= *need.maxAge;
        if (isReplica && isFresh && takesWork(server))
            found.push_back(&server);
    }
    return found;
}

template <typename Predicate>
Candidates filtered(const Candidates &candidates, Predicate predicate)
{
    Candidates found;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(found), predicate);
    return found;
}

// Servers with a free slot come first, and of those the ones nearby.
Candidates preferred(const Candidates &candidates, const FailureDomain &nearby)
{
    const Candidates withSlot = filtered(candidates, [](const ServerSnapshot *server) {
        return isFree(*server);
    });
    if (withSlot.empty())
        return candidates;
    const Candidates near = filtered(withSlot, [&nearby](const ServerSnapshot *server) {
        return server->failureDomain == nearby;
    });
    return near.empty() ? withSlot : near;
}

const ServerSnapshot &lessLoadedOfTwo(const Candidates &candidates, std::mt19937_64 &generator)
{
    const std::size_t first = generator() % candidates.size();
    if (candidates.size() == 1)
        return *candidates[first];
    const std::size_t step = 1 + generator() % (candidates.size() - 1);
    const std::size_t second = (first + step) % candidates.size();
    const bool isSecondBetter = isLessLoaded(*candidates[second], *candidates[first]);
    return *candidates[isSecondBetter ? second : first];
}

const ServerSnapshot &mostAdvanced(const Candidates &candidates)
{
    return **std::max_element(candidates.begin(), candidates.end(),
                              [](const ServerSnapshot *left, const ServerSnapshot *right) {
                                  return left->applied < right->applied;
                              });
}

// A token of a higher term shows that the known primary has a successor.
std::optional<ServerId> usablePrimary(const GroupSnapshot &group, const ReadNeed &need)
{
    const bool isSucceeded = need.token && need.token->term > group.term;
    if (!group.primary || !group.isLeadershipConfirmed || isSucceeded)
        return std::nullopt;
    const auto found = std::find_if(group.servers.begin(), group.servers.end(),
                                    [&group](const ServerSnapshot &server) {
                                        return server.id == *group.primary;
                                    });
    if (found == group.servers.end() || !takesWork(*found))
        return std::nullopt;
    return found->id;
}

} // namespace

Duration BoundedWait::wait(Duration remaining) const
{
    return std::max(std::min(m_limit, remaining / RemainingShare), Duration::zero());
}

ReadRouter::ReadRouter(std::unique_ptr<WaitPolicy> waitPolicy, Duration retryAfter)
    : m_waitPolicy(std::move(waitPolicy))
    , m_retryAfter(retryAfter)
{ }

ReadDecision ReadRouter::decide(const GroupSnapshot &group, const ReadNeed &need, TimePoint now,
                                std::mt19937_64 &generator) const
{
    if (need.deadline <= now)
        return RefuseRead {StatementFailure::DeadlinePassed, Duration::zero()};
    if (need.hasUnknownWrite || !need.maxAge)
        return primaryOrRefusal(group, need);
    const Candidates fresh = freshReplicas(group, need);
    const Candidates satisfying = filtered(fresh, [&need](const ServerSnapshot *server) {
        return isTokenSatisfied(server->applied, need.token);
    });
    if (!satisfying.empty()) {
        const Candidates best = preferred(satisfying, need.failureDomain);
        return ServeBy {lessLoadedOfTwo(best, generator).id};
    }
    const Duration wait = m_waitPolicy->wait(need.deadline - now);
    if (!fresh.empty() && wait > Duration::zero())
        return WaitFor {mostAdvanced(fresh).id, wait, usablePrimary(group, need)};
    return primaryOrRefusal(group, need);
}

ReadDecision ReadRouter::primaryOrRefusal(const GroupSnapshot &group, const ReadNeed &need) const
{
    if (const std::optional<ServerId> primary = usablePrimary(group, need))
        return UsePrimary {*primary, need.hasUnknownWrite};
    const bool couldUseReplica = need.maxAge && !need.hasUnknownWrite;
    return RefuseRead {couldUseReplica ? StatementFailure::NoAgedReplica
                                       : StatementFailure::NoPrimary,
                       m_retryAfter};
}

bool isTokenSatisfied(const LogPosition &applied, const std::optional<LogPosition> &token)
{
    return !token || applied >= *token;
}

} // namespace nutmegtide
