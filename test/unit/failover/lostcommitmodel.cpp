#include "unit/failover/lostcommitmodel.h"

#include <algorithm>
#include <utility>

namespace nutmegtide::test {

namespace {

constexpr std::size_t Departing = 2;
constexpr std::size_t Joiner = 3;

std::uint8_t bitOf(std::size_t commit)
{
    return static_cast<std::uint8_t>(1U << commit);
}

} // namespace

LostCommitState LostCommitModel::first() const
{
    LostCommitState state;
    for (std::size_t at = 0; at < Joiner; ++at) {
        ModelServer &server = state.servers[at];
        server.exists = server.up = server.known = server.recorded = server.told = 1;
        server.vouched = m_rules.vouchesConnections ? 1 : 0;
    }
    return state;
}

void LostCommitModel::visitNext(const LostCommitState &state, const Visitor &visit) const
{
    writeAndAnswer(state, visit);
    disturb(state, visit);
    depart(state, visit);
    cover(state, visit);
    change(state, visit);
    vouch(state, visit);
    for (std::size_t at = 0; at < ModelServers; ++at) {
        receive(state, at, visit);
        announce(state, at, visit);
        record(state, at, visit);
        fence(state, at, visit);
        order(state, at, visit);
    }
    for (std::size_t token = 0; token < state.orders.size(); ++token)
        carryOut(state, token, visit);
}

// Returns whether the server is on the first primary's side of the cut; control is on the other.
bool LostCommitModel::isBeside(std::size_t server) const
{
    return server == 0 || (server == Joiner && m_bounds.isJoinerCutOff);
}

bool LostCommitModel::isReached(const LostCommitState &state, std::size_t server) const
{
    return state.servers[server].isPresent() && (state.cut != ModelCut::On || !isBeside(server));
}

bool LostCommitModel::isConnected(const LostCommitState &state, std::size_t one,
                                  std::size_t other) const
{
    return state.servers[one].isPresent() && state.servers[other].isPresent()
            && (state.cut != ModelCut::On || isBeside(one) == isBeside(other));
}

void LostCommitModel::writeAndAnswer(const LostCommitState &state, const Visitor &visit) const
{
    const bool canWrite = state.primary != NoServer && state.servers[state.primary].isPresent();
    if (canWrite && state.commits < m_bounds.commits) {
        LostCommitState next = state;
        next.writers[next.commits] = next.primary;
        if (next.servers[next.primary].vouched != 0)
            next.vouchedWriters |= bitOf(next.commits);
        next.servers[next.primary].log |= bitOf(next.commits);
        ++next.commits;
        visit(next, "the primary executes a commit:", next.primary);
    }
    for (std::size_t commit = 0; commit < state.commits; ++commit) {
        const bool isWaiting = (state.acknowledged & bitOf(commit)) != 0
                && (state.delivered & bitOf(commit)) == 0;
        if (!isWaiting || !isConfirmed(state, commit))
            continue;
        LostCommitState next = state;
        next.delivered |= bitOf(commit);
        visit(next, "a caller gets the answer of commit", commit);
    }
}

bool LostCommitModel::isConfirmed(const LostCommitState &state, std::size_t commit) const
{
    if (!m_rules.confirms)
        return true;
    const std::size_t writer = state.writers[commit];
    if (m_rules.confirmsRecordedWriter && state.servers[writer].told == 0)
        return false;
    const bool isWriterMissing = m_rules.vouchesConnections
            && (state.vouchedWriters & bitOf(commit)) == 0;
    std::size_t needed = isWriterMissing ? 2 : 1;
    for (std::size_t at = 0; at < ModelServers; ++at) {
        const ModelServer &server = state.servers[at];
        const bool isHolder = at != writer && server.isPresent() && server.told != 0
                && (server.vouched != 0 || !m_rules.vouchesConnections)
                && (server.log & bitOf(commit)) != 0;
        if (isHolder && --needed == 0)
            return true;
    }
    return false;
}

// Control tells that no change relies on holds and no order is open, and the callers' connections
// that stand at this moment count from now on.
void LostCommitModel::vouch(const LostCommitState &state, const Visitor &visit) const
{
    const bool isAnyFenced = std::any_of(state.servers.begin(), state.servers.end(),
                                         [](const auto &server) { return server.fenced != 0; });
    if (!m_rules.vouchesConnections || state.phase == ModelPhase::Ordered || isAnyFenced
        || state.hasOpenOrders != 0)
        return;
    LostCommitState next = state;
    for (ModelServer &server : next.servers)
        server.vouched = server.isPresent() ? 1 : 0;
    if (!(next == state))
        visit(next, "control vouches for the connections that stand", 0);
}

// The replica receives the first commit that it lacks, and the primary acknowledges it.
void LostCommitModel::receive(const LostCommitState &state, std::size_t at,
                              const Visitor &visit) const
{
    if (state.primary == NoServer || at == state.primary || state.servers[at].held != 0
        || !isConnected(state, at, state.primary))
        return;
    const auto missing = static_cast<unsigned>(state.servers[state.primary].log
                                               & ~state.servers[at].log);
    if (missing == 0)
        return;
    const auto commit = static_cast<std::uint8_t>(missing & (~missing + 1));
    LostCommitState next = state;
    next.servers[at].log |= commit;
    next.acknowledged |= commit;
    visit(next, "a commit is received, and acknowledged, by", at);
}

void LostCommitModel::disturb(const LostCommitState &state, const Visitor &visit) const
{
    LostCommitState next = state;
    if (state.cut == ModelCut::Before && m_bounds.cuts > 0) {
        next.cut = ModelCut::On;
        visit(next, "the cut begins", 0);
    }
    if (state.cut == ModelCut::On) {
        next.cut = ModelCut::Healed;
        visit(next, "the cut heals", 0);
    }
    if (state.leaderChanges < m_bounds.leaderChanges) {
        next = state;
        ++next.leaderChanges;
        for (ModelServer &server : next.servers)
            server.known = 0;
        next.coverPosition = 0;
        endChange(next);
        visit(next, "another control VM leads", 0);
    }
    if (m_bounds.joins > 0 && state.servers[Joiner].exists == 0) {
        next = state;
        next.servers[Joiner].exists = next.servers[Joiner].up = 1;
        visit(next, "a server joins:", Joiner);
    }
    for (std::size_t at = 0; at < ModelServers; ++at) {
        const ModelServer &server = state.servers[at];
        if (server.exists != 0 && server.up == 0)
            startAgain(state, at, visit);
        if (at == state.primary && server.isPresent() && state.crashes < m_bounds.crashes) {
            next = state;
            ++next.crashes;
            next.servers[at].up = 0;
            visit(next, "the primary crashes:", at);
        }
        if (at != state.primary && server.isPresent() && state.restarts < m_bounds.restarts) {
            next = state;
            ++next.restarts;
            startAgain(next, at, visit);
        }
        if (server.isPresent() && state.serverCrashes < m_bounds.serverCrashes)
            crash(state, at, visit);
    }
}

void LostCommitModel::crash(const LostCommitState &state, std::size_t at, const Visitor &visit) const
{
    LostCommitState next = state;
    ++next.serverCrashes;
    next.lastCrashed = static_cast<std::uint8_t>(at);
    next.servers[at].up = 0;
    visit(next, "crashes:", at);
}

// It has its log, and isn't held. The former primary leads if no other server was promoted.
void LostCommitModel::startAgain(const LostCommitState &state, std::size_t at,
                                 const Visitor &visit) const
{
    LostCommitState next = state;
    ModelServer &server = next.servers[at];
    server.up = 1;
    server.held = 0;
    server.vouched = 0;
    if (m_bounds.restartsEndDemotions && at == state.demoted)
        next.primary = std::exchange(next.demoted, NoServer);
    if (m_bounds.startsUnderNewId) {
        if (server.recorded != 0) {
            server.ghost = 1;
            next.coverPosition = 0;
        }
        server.member = server.fenced = server.position = 0;
        server.recorded = server.told = server.known = 0;
    }
    visit(next, "starts again, not held:", at);
}

// The departing server receives until it ends, and its log is gone with it.
void LostCommitModel::depart(const LostCommitState &state, const Visitor &visit) const
{
    if (m_bounds.departures == 0 || state.primary == Departing)
        return;
    if (state.hasDeparted == 0 && (state.isDepartureKnown != 0 || !m_bounds.departsBeforeExit)) {
        LostCommitState next = state;
        ModelServer &server = next.servers[Departing];
        next.hasDeparted = 1;
        server.exists = server.up = server.log = server.held = server.told = 0;
        visit(next, "ends, with its log:", Departing);
    }
    if (state.isDepartureKnown == 0 && (state.hasDeparted != 0 || m_bounds.departsBeforeExit)) {
        LostCommitState next = state;
        ModelServer &server = next.servers[Departing];
        next.isDepartureKnown = 1;
        if (m_rules.keepsDeparted && server.recorded != 0) {
            server.ghost = 1;
            server.member = server.fenced = server.position = 0;
            next.coverPosition = 0;
        }
        server.recorded = server.known = 0;
        visit(next, "control hears of the departure of", Departing);
    }
}

void LostCommitModel::promote(LostCommitState &state, std::size_t at)
{
    const std::uint8_t log = state.servers[at].log;
    const auto lost = static_cast<unsigned>(state.delivered & ~log);
    state.isLost = lost != 0 ? 1 : 0;
    state.primary = static_cast<std::uint8_t>(at);
    state.demoted = NoServer;
    state.coverPosition = 0;
    state.acknowledged &= log;
    for (std::size_t other = 0; other < ModelServers; ++other) {
        ModelServer &server = state.servers[other];
        if ((server.log & lost) != 0)
            state.holders |= bitOf(other);
        server.log &= log;
        server.held = 0;
    }
}

// An order is lost, refused for its token or its server, or takes effect.
void LostCommitModel::carryOut(const LostCommitState &state, std::size_t token,
                               const Visitor &visit) const
{
    if (state.orders[token] == 0)
        return;
    const std::size_t at = std::size_t(state.orders[token]) - 1;
    LostCommitState next = state;
    next.orders[token] = 0;
    if (next.phase == ModelPhase::Holding && !m_bounds.holdsDuringOlderOrders)
        restartHolds(next);
    visit(next, "an order is lost, of", at);
    if (token + 1 < state.highestToken || !state.servers[at].isPresent())
        return;
    next.highestToken = static_cast<std::uint8_t>(token + 1);
    if (at != state.primary)
        promote(next, at);
    visit(next, "the promotion takes effect, of", at);
}

} // namespace nutmegtide::test
