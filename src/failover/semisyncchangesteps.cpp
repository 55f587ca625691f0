// The steps of SemiSyncChange up to its order.
#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto ProbeTime = 400ms; // for the answers of all servers
constexpr auto LastAnswerTime = 120ms; // for the last answer, once all others came
constexpr auto HoldTime = 600ms;
constexpr auto CatchUpTime = 1500ms; // before a gentle move becomes a hard one
constexpr auto QueryInterval = 60ms; // while an answer is waited for
constexpr auto ReserveTime = 3s;
constexpr auto MaxOrderDelay = 12'500ms; // in which the platform carries an order out, or never

} // namespace

void SemiSyncChange::probe(TimePoint now)
{
    m_progress.clear();
    m_demoted.clear();
    m_isGraceful = false;
    for (const ChangeServer &server : m_servers) {
        m_progress[server.server] = {};
        m_actions.emplace_back(QueryStatus {server.server});
    }
    enter(Step::Probing, now, ProbeTime);
}

// The one with the highest term, where an old primary has not noticed yet that it is none.
std::optional<ServerId> SemiSyncChange::reachablePrimary() const
{
    std::optional<ServerId> primary;
    Term highest = 0;
    for (const auto &[server, progress] : m_progress) {
        highest = std::max(highest, progress.standing.term);
        const bool isHigher = !primary || progress.standing.term > m_progress.at(*primary).standing.term;
        if (progress.isAnswered && progress.standing.isPrimary && isHigher)
            primary = server;
    }
    if (primary && m_progress.at(*primary).standing.term < highest)
        return std::nullopt;
    return primary;
}

std::optional<ServerId> SemiSyncChange::bestReplica(const ServerId &primary) const
{
    std::optional<ServerId> best;
    for (const auto &[server, progress] : m_progress) {
        const bool isCandidate = progress.isAnswered && server != primary && !isLeaving(server)
                && progress.standing.heldTerm == 0;
        if (!isCandidate)
            continue;
        if (!best || progress.standing.received > m_progress.at(*best).standing.received)
            best = server;
    }
    return best;
}

// Where all but one have answered and none leads, the last one is hardly worth the whole wait.
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
        m_term = std::max({m_term, progress.standing.term + 1, progress.standing.heldTerm + 1});
    const std::optional<ServerId> primary = reachablePrimary();
    const bool isAnyHeld = std::any_of(m_progress.begin(), m_progress.end(), [](const auto &item) {
        return item.second.standing.heldTerm != 0;
    });
    const bool keepsPrimary = primary && (m_reason == ChangeReason::Lost || *primary != m_from);
    if (keepsPrimary) {
        m_chosen = *primary;
        m_result = *primary;
        if (!isAnyHeld && m_openOrders.empty())
            return finish("the primary answers");
        m_why = "the primary answers, but an earlier order may come";
        return reserve(now);
    }
    // What lives may lead: a primary isn't taken for lost because it has too much to do.
    for (const auto &[server, progress] : m_progress) {
        if (!primary && progress.isOverloaded)
            return retryLater(server.text() + " takes no further connection", now);
    }
    if (primary && canMoveGracefully(*primary, isAnyHeld))
        return holdForMove(now);
    holdForLost(now);
}

// An unanswered order for the server that would be chosen, or for the present primary, does no
// harm whenever it comes: the one holds all commits while the others are held, the other leads.
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
    const bool isEveryoneReached = std::all_of(m_progress.begin(), m_progress.end(), [](const auto &item) {
        return item.second.isAnswered;
    });
    if (!chosen)
        return retryLater("no replica can take over", now);
    if (!isEveryoneReached)
        return holdForLost(now);
    m_isGraceful = true;
    m_chosen = *chosen;
    for (const auto &[server, progress] : m_progress) {
        if (server != primary && server != m_chosen)
            hold(server);
    }
    enter(Step::Holding, now, HoldTime);
    evaluateHolds(now);
}

void SemiSyncChange::holdForLost(TimePoint now)
{
    std::size_t reached = 0;
    for (const auto &[server, progress] : m_progress)
        reached += progress.isAnswered ? 1 : 0;
    if (reached + 1 < m_servers.size())
        return retryLater("only " + std::to_string(reached) + " of "
                                  + std::to_string(m_servers.size()) + " servers answer",
                          now);
    m_isGraceful = false;
    m_chosen = ServerId();
    const std::optional<ServerId> primary = reachablePrimary();
    // Without the primary there must be all others; with it, it can stand for one of them.
    for (auto &[server, progress] : m_progress) {
        if (!progress.isAnswered)
            continue;
        if (server != primary) {
            hold(server);
            continue;
        }
        if (reached == m_servers.size())
            continue;
        progress.isAnswered = false;
        m_demoted.insert(server);
        m_actions.emplace_back(DemoteServer {server, m_term});
    }
    enter(Step::Holding, now, HoldTime);
}

bool SemiSyncChange::isFenced(const ServerId &server) const
{
    const ServerProgress &progress = m_progress.at(server);
    if (!progress.isAnswered)
        return false;
    return m_demoted.count(server) != 0 ? !progress.standing.isPrimary
                                        : progress.standing.heldTerm >= m_term;
}

// Of two servers that hold as much: one that stays, and one whose promotion may come anyway.
bool SemiSyncChange::isPreferred(const ServerId &server, const ServerId &other) const
{
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
        highest = std::max(highest, progress.standing.received);
    }
    if (m_isGraceful) {
        if (fenced + 2 < m_servers.size())
            return;
        m_target = highest;
        enter(Step::CatchingUp, now, CatchUpTime);
        return evaluateCatchingUp(now);
    }
    if (fenced + 1 < m_servers.size())
        return;
    for (const auto &[server, progress] : m_progress) {
        const bool isHighest = isFenced(server) && progress.standing.received == highest;
        if (isHighest && (m_chosen.isEmpty() || isPreferred(server, m_chosen)))
            m_chosen = server;
    }
    if (mustWaitForOrders(m_chosen, now))
        return retryLater("the promotion of another server may still be carried out", now);
    reserve(now);
}

// An older order that came between the holds and a newer order would end the holds.
bool SemiSyncChange::mustWaitForOrders(const ServerId &chosen, TimePoint now) const
{
    return !isOnlyOpenOrder(chosen) && now - m_orderedAt < MaxOrderDelay;
}

void SemiSyncChange::evaluateCatchingUp(TimePoint now)
{
    ServerProgress &chosen = m_progress[m_chosen];
    if (chosen.isAnswered && chosen.standing.received >= m_target)
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
