// What control does in LostCommitModel: the roster, the holds and the orders.
#include "unit/failover/lostcommitmodel.h"

#include <algorithm>

namespace nutmegtide::test {

namespace {

constexpr std::size_t Departing = 2;

} // namespace

bool LostCommitModel::mayCover(const ModelServer &server) const
{
    return server.recorded != 0 || (!m_rules.coversByRecorded && server.known != 0);
}

// Control asks the primary, then another server, and forgets the gone ids that are covered.
void LostCommitModel::cover(const LostCommitState &state, const Visitor &visit) const
{
    const bool isAnyGone = std::any_of(state.servers.begin(), state.servers.end(),
                                       [](const auto &server) { return server.ghost != 0; });
    const bool canAsk = m_rules.keepsDeparted && isAnyGone && state.primary != NoServer
            && isReached(state, state.primary) && mayCover(state.servers[state.primary]);
    if (!canAsk)
        return;
    const std::uint8_t position = state.servers[state.primary].log;
    if (state.coverPosition != position + 1) {
        LostCommitState next = state;
        next.coverPosition = static_cast<std::uint8_t>(position + 1);
        visit(next, "control asks for the position of the primary:", state.primary);
    }
    if (state.coverPosition == 0 || state.phase != ModelPhase::Idle)
        return;
    for (std::size_t at = 0; at < ModelServers; ++at) {
        const ModelServer &server = state.servers[at];
        const bool isCovering = at != state.primary && isReached(state, at) && mayCover(server)
                && server.log + 1 >= state.coverPosition;
        if (!isCovering)
            continue;
        LostCommitState next = state;
        for (ModelServer &gone : next.servers)
            gone.ghost = 0;
        next.coverPosition = 0;
        visit(next, "the gone servers are covered, as control learns from", at);
    }
}

void LostCommitModel::record(const LostCommitState &state, std::size_t at,
                             const Visitor &visit) const
{
    const ModelServer &server = state.servers[at];
    const bool isOrdered = state.phase == ModelPhase::Ordered || state.hasOpenOrders != 0;
    if (server.known == 0 || server.recorded != 0 || (m_rules.recordsWithoutOrders && isOrdered))
        return;
    LostCommitState next = state;
    next.servers[at].recorded = next.servers[at].told = 1;
    visit(next, "is recorded in the control log:", at);
}

void LostCommitModel::announce(const LostCommitState &state, std::size_t at,
                               const Visitor &visit) const
{
    const bool hasAnnouncedDeparture = at == Departing && state.isDepartureKnown != 0;
    if (!isReached(state, at) || state.servers[at].known != 0 || hasAnnouncedDeparture)
        return;
    LostCommitState next = state;
    ModelServer &server = next.servers[at];
    server.known = 1;
    // Today a server takes the place of the gone one whose address it uses.
    if (!m_rules.keepsDeparted)
        server.ghost = 0;
    if (next.phase == ModelPhase::Holding && server.member == 0) {
        server.member = 1;
        restartHolds(next);
    }
    if (next.phase == ModelPhase::Ordered && m_rules.holdsJoined)
        server.member = 1;
    visit(next, "becomes known to the control leader:", at);
}

void LostCommitModel::restartHolds(LostCommitState &state)
{
    for (ModelServer &server : state.servers)
        server.fenced = server.position = 0;
}

void LostCommitModel::endChange(LostCommitState &state)
{
    restartHolds(state);
    for (ModelServer &server : state.servers)
        server.member = 0;
    state.phase = ModelPhase::Idle;
    state.chosen = NoServer;
}

// Holds a replica, or demotes the primary. After the order this is done where the rules say so.
void LostCommitModel::fence(const LostCommitState &state, std::size_t at, const Visitor &visit) const
{
    const ModelServer &server = state.servers[at];
    const bool isAfterOrder = state.phase == ModelPhase::Ordered && m_rules.holdsJoined
            && at != state.chosen;
    if ((state.phase != ModelPhase::Holding && !isAfterOrder) || server.member == 0
        || server.fenced != 0 || !isReached(state, at))
        return;
    LostCommitState next = state;
    ModelServer &fenced = next.servers[at];
    fenced.fenced = 1;
    fenced.position = fenced.log;
    if (at != state.primary)
        fenced.held = 1;
    else if (m_bounds.restartsEndDemotions)
        next.demoted = state.primary;
    if (at == state.primary)
        next.primary = NoServer;
    visit(next, at == state.primary ? "is demoted:" : "is held:", at);
}

// Begins a change, repeats one whose order wasn't answered, or ends one.
void LostCommitModel::change(const LostCommitState &state, const Visitor &visit) const
{
    if (state.phase != ModelPhase::Holding && state.tokens < m_bounds.tokens) {
        LostCommitState next = state;
        next.phase = ModelPhase::Holding;
        next.chosen = NoServer;
        restartHolds(next);
        for (ModelServer &server : next.servers)
            server.member |= server.known | server.recorded;
        visit(next, "a change begins, or its order is to be repeated", 0);
    }
    const bool isOnlyOrder = std::all_of(state.orders.begin(), state.orders.end(),
                                         [&state](std::uint8_t order) {
                                             return order == 0 || order == state.chosen + 1;
                                         });
    const bool hasTaken = state.phase == ModelPhase::Ordered && state.chosen == state.primary
            && isReached(state, state.primary)
            && (isOnlyOrder || state.highestToken == state.tokens);
    if (!hasTaken)
        return;
    LostCommitState next = state;
    for (std::size_t at = 0; at < ModelServers; ++at) {
        if (isReached(next, at))
            next.servers[at].held = 0;
    }
    next.hasOpenOrders = 0;
    endChange(next);
    visit(next, "the change ends, and the others are resumed; primary:", state.primary);
}

// Returns whether the server may be ordered: a fenced one while all servers but one are fenced, a
// replica that has caught up while the primary answers and the others are held, or the primary
// itself to call the change off.
bool LostCommitModel::mayOrder(const LostCommitState &state, std::size_t server) const
{
    std::size_t size = 0;
    std::size_t fenced = 0;
    std::uint8_t highest = 0;
    for (const ModelServer &each : state.servers) {
        size += std::size_t(each.member) + each.ghost;
        fenced += each.fenced;
        highest = std::max(highest, each.position);
    }
    const ModelServer &chosen = state.servers[server];
    if (chosen.member == 0 || (m_rules.promotesRecorded && chosen.recorded == 0))
        return false;
    if (server == state.primary)
        return isReached(state, server);
    if (chosen.fenced != 0)
        return fenced + 1 >= size && chosen.position == highest;
    const bool isPrimaryReached = state.primary != NoServer && isReached(state, state.primary)
            && state.servers[state.primary].member != 0 && state.servers[state.primary].fenced == 0;
    return isPrimaryReached && isReached(state, server) && chosen.held == 0 && fenced + 2 >= size
            && chosen.log >= highest;
}

void LostCommitModel::order(const LostCommitState &state, std::size_t at, const Visitor &visit) const
{
    if (state.phase != ModelPhase::Holding || state.tokens == m_bounds.tokens
        || !mayOrder(state, at))
        return;
    const bool mustWait = std::any_of(state.orders.begin(), state.orders.end(),
                                      [at](std::uint8_t order) {
                                          return order != 0 && order != at + 1;
                                      });
    if (mustWait && (at != state.primary || m_rules.callsOffAfterOrders))
        return;
    LostCommitState next = state;
    next.orders[next.tokens] = static_cast<std::uint8_t>(at + 1);
    ++next.tokens;
    next.hasOpenOrders = 1;
    next.chosen = static_cast<std::uint8_t>(at);
    next.phase = ModelPhase::Ordered;
    visit(next, "the promotion is ordered of", at);
}

} // namespace nutmegtide::test
