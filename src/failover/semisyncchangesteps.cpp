// The steps of SemiSyncChange before the promotion order: probe, hold and catch up.
#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto ProbeTime = 400ms; // to wait for the answers of all servers
constexpr auto LastAnswerTime = 120ms; // to wait for the last answer after all others
constexpr auto HoldTime = 600ms;
constexpr auto CatchUpTime = 1500ms; // before a graceful move is handled like a lost primary
constexpr auto QueryInterval = 60ms; // between queries while waiting for an answer
constexpr auto ReserveTime = 3s;
// The platform accepts an order within 12 s or never, and then takes the time of a promotion.
constexpr auto MaxOrderDelay = 14s;

} // namespace

void SemiSyncChange::probe(TimePoint now)
{
    m_progress.clear();
    m_demoted.clear();
    m_isGraceful = false;
    for (const ChangeServer &server : m_servers) {
        m_progress[server.server] = {};
        m_progress[server.server].isUnreachable = server.isDeparted;
        if (!server.isDeparted)
            m_actions.emplace_back(QueryStatus {server.server});
    }
    enter(Step::Probing, now, ProbeTime);
}

// Returns the reachable primary of the highest term. A former primary that hasn't yet noticed that
// it was replaced has a lower term than another server.
std::optional<ServerId> SemiSyncChange::reachablePrimary() const
{
    std::optional<ServerId> primary;
    Term highest = 0;
    for (const auto &[server, progress] : m_progress) {
        highest = std::max(highest, progress.status.term);
        const bool isHigher = !primary
                || progress.status.term > m_progress.at(*primary).status.term;
        if (progress.isAnswered && progress.status.isPrimary && isHigher)
            primary = server;
    }
    if (primary && m_progress.at(*primary).status.term < highest)
        return std::nullopt;
    return primary;
}

std::optional<ServerId> SemiSyncChange::bestReplica(const ServerId &primary) const
{
    std::optional<ServerId> best;
    for (const auto &[server, progress] : m_progress) {
        const bool isCandidate = progress.isAnswered && server != primary && !isLeaving(server)
                && progress.status.heldTerm == 0;
        if (!isCandidate)
            continue;
        if (!best || progress.status.received > m_progress.at(*best).status.received)
            best = server;
    }
    return best;
}

// Shortens the wait for the last answer when all other servers have answered and none of them
// leads: the last server is probably the lost primary.
void SemiSyncChange::shortenProbe(TimePoint now)
{
    std::size_t answered = 0;
    for (const auto &[server, progress] : m_progress)
        answered += progress.isAnswered ? 1 : 0;
    if (answered + 1 < m_servers.size() || reachablePrimary())
        return;
    m_deadline = std::min(m_deadline, now + LastAnswerTime);
    m_wakeAt = m_deadline;
}

void SemiSyncChange::evaluateProbe(TimePoint now)
{
    for (const auto &[server, progress] : m_progress)
        m_term = std::max({m_term, progress.status.term + 1, progress.status.heldTerm + 1});
    const std::optional<ServerId> primary = reachablePrimary();
    const bool isAnyHeld = std::any_of(m_progress.begin(), m_progress.end(), [](const auto &item) {
        return item.second.status.heldTerm != 0;
    });
    // Ordered beside an open order for another server, it could depose that one and its commits.
    const bool isToStay = primary && (m_reason == ChangeReason::Lost || *primary != m_from);
    if (isToStay && (isOnlyOpenOrder(*primary) || now - m_orderedAt >= MaxOrderDelay)) {
        m_chosen = *primary;
        m_result = *primary;
        if (!isAnyHeld && m_openOrders.empty())
            return finish("the primary answers");
        m_why = "the primary answers, but an earlier order may still be carried out";
        return reserve(now);
    }
    // An overloaded server may be the primary, so it must not be treated as lost.
    for (const auto &[server, progress] : m_progress) {
        if (!primary && progress.isOverloaded)
            return retryLater(server.text() + " accepts no further connections", now);
    }
    if (primary && canMoveGracefully(*primary, isAnyHeld))
        return holdForMove(now);
    holdForLost(now);
}

// An open order for the server that would be chosen, or for the present primary, is harmless
// whenever it is carried out: the chosen server has all commits while the others are held, and the
// primary leads already.
bool SemiSyncChange::canMoveGracefully(const ServerId &primary, bool isAnyHeld) const
{
    if (!isAnyHeld && m_openOrders.empty())
        return true;
    const std::optional<ServerId> best = bestReplica(primary);
    return best
            && std::all_of(m_openOrders.begin(), m_openOrders.end(), [&](const ServerId &ordered) {
                   return ordered == *best || ordered == primary;
               });
}

void SemiSyncChange::hold(const ServerId &server)
{
    m_progress[server].isAnswered = false;
    m_actions.emplace_back(HoldServer {server, m_term});
}

void SemiSyncChange::holdForMove(TimePoint now)
{
    const ServerId primary = *reachablePrimary();
    const std::optional<ServerId> chosen = bestReplica(primary);
    const bool isEveryoneReached = std::all_of(m_progress.begin(), m_progress.end(),
                                               [](const auto &item) {
                                                   return item.second.isAnswered;
                                               });
    if (!chosen)
        return retryLater("no replica can take over", now);
    if (hasDepartures() && now < m_coverUntil)
        return retryLater("no replica is known to have all that a departed one received", now);
    if (!isEveryoneReached)
        return holdForLost(now);
    m_isGraceful = true;
    m_chosen = *chosen;
    for (const auto &[server, progress] : m_progress) {
        if (server != primary && server != m_chosen)
            hold(server);
    }
    m_holdingSince = now;
    enter(Step::Holding, now, HoldTime);
    evaluateHolds(now);
}

void SemiSyncChange::holdForLost(TimePoint now)
{
    const Missing unreached = missing(&SemiSyncChange::isAnswering);
    const bool isEveryoneReached = unreached.present + unreached.departed == 0;
    if (!isSafeWithout(unreached))
        return retryLater(describeMissing(unreached), now);
    m_isGraceful = false;
    m_chosen = ServerId();
    const std::optional<ServerId> primary = reachablePrimary();
    // At least all servers but one must be fenced. If the primary answers but another server
    // doesn't, the primary is demoted in place of the missing one.
    for (auto &[server, progress] : m_progress) {
        if (!progress.isAnswered)
            continue;
        if (server != primary) {
            hold(server);
            continue;
        }
        if (isEveryoneReached)
            continue;
        progress.isAnswered = false;
        m_demoted.insert(server);
        m_actions.emplace_back(DemoteServer {server, m_term});
    }
    m_holdingSince = now;
    enter(Step::Holding, now, HoldTime);
}

bool SemiSyncChange::isFenced(const ServerId &server) const
{
    const ServerProgress &progress = m_progress.at(server);
    if (!progress.isAnswered)
        return false;
    return m_demoted.count(server) != 0 ? !progress.status.isPrimary
                                        : progress.status.heldTerm >= m_term;
}

// Of two servers with equal positions, prefers one that still exists, then one that isn't leaving,
// then one whose promotion may still be carried out anyway.
bool SemiSyncChange::isPreferred(const ServerId &server, const ServerId &other) const
{
    if (isDeparted(server) != isDeparted(other))
        return isDeparted(other);
    if (isLeaving(server) != isLeaving(other))
        return isLeaving(other);
    return m_openOrders.count(server) > m_openOrders.count(other);
}

void SemiSyncChange::evaluateHolds(TimePoint now)
{
    std::size_t fenced = 0;
    LogPosition highest;
    for (const auto &[server, progress] : m_progress) {
        if (!isFenced(server))
            continue;
        ++fenced;
        highest = std::max(highest, progress.status.received);
    }
    if (m_isGraceful) {
        if (fenced + 2 < groupSize())
            return;
        m_target = highest;
        enter(Step::CatchingUp, now, CatchUpTime);
        return evaluateCatchingUp(now);
    }
    Missing unfenced = missing(&SemiSyncChange::isFenced);
    unfenced.present += m_unknownSuccessors.size();
    if (!isSafeWithout(unfenced))
        return;
    m_chosen = ServerId();
    for (const auto &[server, progress] : m_progress) {
        const bool isHighest = isFenced(server) && progress.status.received == highest;
        if (isHighest && (m_chosen.isEmpty() || isPreferred(server, m_chosen)))
            m_chosen = server;
    }
    if (isDeparted(m_chosen))
        return retryLater(m_chosen.text() + " has departed with the latest commits", now);
    if (!mustWaitForOrders(m_chosen))
        return reserve(now);
    for (const ServerId &ordered : m_openOrders) {
        if (!isOnlyOpenOrder(ordered) || !hasAllAcknowledged(ordered))
            continue;
        m_chosen = ordered;
        return reserve(now);
    }
    if (hasEveryServerResponded())
        retryLater("the promotion of another server may still be carried out", now);
}

// Returns whether the server has received as much as all fenced servers but one, and no server is
// missing besides. Each acknowledged commit is on two servers, so on one of these.
bool SemiSyncChange::hasAllAcknowledged(const ServerId &server) const
{
    if (m_progress.count(server) == 0 || !isFenced(server))
        return false;
    const LogPosition position = m_progress.at(server).status.received;
    std::size_t covered = 0;
    for (const auto &[other, progress] : m_progress)
        covered += isFenced(other) && progress.status.received <= position ? 1 : 0;
    return covered + 1 >= groupSize();
}

// An older order that takes effect after the holds began would end them.
bool SemiSyncChange::mustWaitForOrders(const ServerId &chosen) const
{
    return !isOnlyOpenOrder(chosen) && m_holdingSince - m_orderedAt < MaxOrderDelay;
}

void SemiSyncChange::evaluateCatchingUp(TimePoint now)
{
    ServerProgress &chosen = m_progress[m_chosen];
    if (chosen.isAnswered && chosen.status.received >= m_target)
        return reserve(now);
    chosen.isAnswered = false;
    m_wakeAt = std::min(m_deadline, now + QueryInterval);
}

void SemiSyncChange::reserve(TimePoint now)
{
    enter(Step::Reserving, now, ReserveTime);
    m_actions.emplace_back(ReserveToken {m_chosen});
}

} // namespace nutmegtide
