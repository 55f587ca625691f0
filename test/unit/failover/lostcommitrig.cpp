#include "unit/failover/lostcommitrig.h"

#include <algorithm>

namespace nutmegtide::test {

namespace {

constexpr auto StepTime = 10ms;
constexpr auto RunTime = 40s;
constexpr auto RosterInterval = 1s;
constexpr auto AnnouncementTime = 1300ms; // that a new control leader waits for announcements
constexpr auto SuspicionTime = 400ms;
constexpr auto OrderTimeout = 1500ms;
const ServerId Departing("s3");
const ServerId Joiner("s4");

LogPosition lastOf(const std::vector<LogPosition> &log)
{
    return log.empty() ? LogPosition {} : log.back();
}

} // namespace

LostCommitRig::LostCommitRig(const LostCommitRules &rules, unsigned seed)
    : m_rules(rules)
    , m_generator(seed)
    , m_primary("s1")
{
    for (const char *name : {"s1", "s2", "s3"})
        m_servers[ServerId(name)] = {};
    m_servers.at(m_primary).isBeside = true;
    m_schedule.joins = chance(70) ? m_now + upTo(12s) : TimePoint::max();
    m_schedule.departs = chance(50) ? m_now + upTo(12s) : TimePoint::max();
    m_schedule.crashes = chance(50) ? m_now + upTo(12s) : TimePoint::max();
    m_schedule.returns = m_schedule.crashes + (chance(80) ? 500ms + upTo(6s) : 1h);
    m_schedule.cutBegins = chance(60) ? m_now + upTo(12s) : TimePoint::max();
    m_schedule.cutHeals = m_schedule.cutBegins + 500ms + upTo(6s);
    m_schedule.leaderChanges = chance(30) ? m_now + upTo(14s) : TimePoint::max();
    m_schedule.moves = chance(50) ? m_now + upTo(12s) : TimePoint::max();
}

Duration LostCommitRig::upTo(Duration longest)
{
    return StepTime * static_cast<int>(m_generator() % static_cast<unsigned>(longest / StepTime));
}

void LostCommitRig::run()
{
    const TimePoint until = m_now + RunTime;
    while (m_now < until)
        step();
}

void LostCommitRig::step()
{
    m_now += StepTime;
    disturb();
    if (m_crashesServers)
        crashSome();
    vouch();
    write();
    replicate();
    deliver();
    carryOutOrders();
    announce();
    updateRoster();
    coverDeparted();
    startChange();
    if (m_change && m_tokenDue && *m_tokenDue <= m_now) {
        m_tokenDue.reset();
        perform(m_change->onToken(++m_token, m_now));
    }
    if (m_change)
        perform(m_change->tick(m_now));
    if (m_change && m_change->isOver())
        endChange();
}

bool LostCommitRig::isReached(const Server &server) const
{
    return server.exists && server.isUp && !(isCut() && server.isBeside);
}

bool LostCommitRig::isConnected(const Server &one, const Server &other) const
{
    return one.exists && one.isUp && other.exists && other.isUp
            && (!isCut() || one.isBeside == other.isBeside);
}

bool LostCommitRig::holds(const Server &server, const LogPosition &position) const
{
    return std::binary_search(server.log.begin(), server.log.end(), position);
}

void LostCommitRig::disturb()
{
    if (m_now == m_schedule.joins) {
        Server &joiner = m_servers[Joiner];
        joiner.isBeside = chance(70);
        joiner.isKnown = joiner.isRecorded = false;
        joiner.announcesAt = m_now + (chance(70) ? upTo(6s) : Duration(1h));
    }
    if (m_now == m_schedule.crashes && !m_primary.isEmpty())
        m_servers.at(m_primary).isUp = false;
    if (m_now == m_schedule.returns) {
        for (auto &[id, server] : m_servers)
            server.isUp = true;
    }
    if (m_now == m_schedule.departs && m_primary != Departing)
        depart();
    if (m_now == m_schedule.leaderChanges) {
        m_change.reset();
        m_tokenDue.reset();
        m_leadsSince = m_now;
        for (auto &[id, server] : m_servers) {
            server.isKnown = false;
            server.announcesAt = std::max(server.announcesAt, m_now + upTo(1s));
        }
    }
    for (auto &[id, server] : m_servers) {
        if (m_generator() % 400 == 0)
            server.receivesFrom = m_now + upTo(3s);
    }
}

void LostCommitRig::crashSome()
{
    for (auto &[id, server] : m_servers) {
        if (server.startsAgainAt && m_now >= *server.startsAgainAt) {
            server.startsAgainAt.reset();
            server.isUp = true;
        } else if (server.isUp && m_generator() % 300 == 0) {
            server.isUp = server.isVouched = false;
            server.heldTerm = 0;
            server.startsAgainAt = m_now + StepTime + upTo(300ms);
        }
    }
}

// Control tells from time to time whether a change relies on holds.
void LostCommitRig::vouch()
{
    const bool isOpen = !m_openOrders.empty() || (m_change && m_change->reliesOnHolds());
    if (!m_rules.vouchesConnections || isOpen || m_now.time_since_epoch() % 50ms != Duration())
        return;
    for (auto &[id, server] : m_servers)
        server.isVouched = server.isUp;
}

void LostCommitRig::depart()
{
    Server &server = m_servers.at(Departing);
    server.exists = server.isKnown = false;
    server.log.clear();
    m_hasDeparted = true;
    m_isDepartureUncovered = m_rules.keepsDeparted;
    m_coverPosition.reset();
}

void LostCommitRig::write()
{
    if (m_primary.isEmpty() || !m_servers.at(m_primary).isUp || !chance(30))
        return;
    Server &primary = m_servers.at(m_primary);
    const LogPosition position {primary.term, lastOf(primary.log).index + 1};
    primary.log.push_back(position);
    m_waiting.push_back({position, m_primary, false, primary.isVouched});
}

void LostCommitRig::replicate()
{
    if (m_primary.isEmpty())
        return;
    const Server &primary = m_servers.at(m_primary);
    for (auto &[id, server] : m_servers) {
        if (id == m_primary || server.heldTerm != 0 || m_now < server.receivesFrom
            || !isConnected(server, primary))
            continue;
        // Every log is a prefix of the primary's.
        const auto held = static_cast<std::ptrdiff_t>(server.log.size());
        server.log.insert(server.log.end(), primary.log.begin() + held, primary.log.end());
        for (Commit &commit : m_waiting)
            commit.isAcknowledged = commit.isAcknowledged || holds(server, commit.position);
    }
}

bool LostCommitRig::isConfirmed(const Commit &commit) const
{
    if (!m_rules.confirms)
        return true;
    if (m_rules.confirmsRecordedWriter && !m_servers.at(commit.writer).isRecorded)
        return false;
    const auto holders = std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &item) {
        const auto &[id, server] = item;
        return id != commit.writer && server.isRecorded && server.exists && server.isUp
                && (server.isVouched || !m_rules.vouchesConnections)
                && holds(server, commit.position);
    });
    return holders >= (commit.isWriterVouched || !m_rules.vouchesConnections ? 1 : 2);
}

void LostCommitRig::deliver()
{
    std::erase_if(m_waiting, [this](const Commit &commit) {
        if (!commit.isAcknowledged || !isConfirmed(commit))
            return false;
        m_answered.push_back(commit.position);
        return true;
    });
}

void LostCommitRig::announce()
{
    for (auto &[id, server] : m_servers) {
        if (!isReached(server) || server.isKnown || m_now < server.announcesAt)
            continue;
        server.isKnown = true;
        if (m_change)
            perform(m_change->onJoined({id, false}, m_now));
    }
}

void LostCommitRig::updateRoster()
{
    if (m_now < m_rosterDue)
        return;
    m_rosterDue = m_now + RosterInterval;
    const bool isOrdered = !m_openOrders.empty()
            || (m_change && m_change->stepName() == "ordering");
    for (auto &[id, server] : m_servers) {
        const bool isAdded = server.isKnown && !(m_rules.recordsWithoutOrders && isOrdered);
        server.isRecorded = server.isRecorded || isAdded;
    }
    if (m_hasDeparted && !m_isDepartureUncovered)
        m_servers.at(Departing).isRecorded = false;
}

// Asks the primary for its position after the departure, and then another recorded server.
void LostCommitRig::coverDeparted()
{
    if (!m_isDepartureUncovered || m_primary.isEmpty())
        return;
    const Server &primary = m_servers.at(m_primary);
    if (!isReached(primary) || !primary.isRecorded)
        return;
    if (!m_coverPosition) {
        m_coverPosition = lastOf(primary.log);
        return;
    }
    for (const auto &[id, server] : m_servers) {
        const bool isCovering = id != m_primary && server.isRecorded && isReached(server)
                && server.term == primary.term && lastOf(server.log) >= *m_coverPosition;
        m_isDepartureUncovered = m_isDepartureUncovered && !isCovering;
    }
}

void LostCommitRig::startChange()
{
    if (m_change || m_now - m_leadsSince < AnnouncementTime || m_now - m_endedAt < SuspicionTime)
        return;
    const bool isMissing = m_primary.isEmpty() || !isReached(m_servers.at(m_primary));
    if (!isMissing)
        m_primaryMissingSince.reset();
    else if (!m_primaryMissingSince)
        m_primaryMissingSince = m_now;
    const bool isSuspected = isMissing && m_now - *m_primaryMissingSince >= SuspicionTime;
    const bool isMoved = m_now >= m_schedule.moves && !isMissing;
    if (isMoved) {
        m_schedule.moves = TimePoint::max();
        begin(ChangeReason::Moved, m_primary);
    } else if (isSuspected || !m_openOrders.empty()) {
        begin(ChangeReason::Lost, {});
    }
}

void LostCommitRig::begin(ChangeReason reason, const ServerId &from)
{
    std::vector<ChangeServer> servers;
    for (const auto &[id, server] : m_servers) {
        if (server.isKnown || server.isRecorded)
            servers.push_back({id, id == from || !server.exists});
    }
    m_change.emplace(reason, servers, from);
    m_change->setOpenOrders(m_openOrders, std::max(m_orderedAt, m_leadsSince));
    perform(m_change->start(m_now));
}

void LostCommitRig::endChange()
{
    m_endedAt = m_now;
    if (!m_change->hasOpenOrders())
        m_openOrders.clear();
    m_change.reset();
}

void LostCommitRig::carryOutOrders()
{
    std::vector<Order> due;
    std::erase_if(m_orders, [this, &due](const Order &order) {
        if (order.due > m_now)
            return false;
        due.push_back(order);
        return true;
    });
    for (const Order &order : due) {
        const bool isLate = order.server.isEmpty(); // the answer's time is over
        const PromotionOutcome outcome = isLate ? PromotionOutcome::Unknown : carryOut(order);
        if (m_change && order.isAnswered)
            perform(m_change->onPromotionAnswered(order.token, outcome, m_now));
    }
}

PromotionOutcome LostCommitRig::carryOut(const Order &order)
{
    const Server &chosen = m_servers.at(order.server);
    if (order.token < m_highestToken || !chosen.exists || !chosen.isUp)
        return PromotionOutcome::OutOfDate;
    m_highestToken = order.token;
    if (order.server != m_primary)
        promote(order.server);
    return PromotionOutcome::Accepted;
}

void LostCommitRig::promote(const ServerId &chosen)
{
    const std::vector<LogPosition> log = m_servers.at(chosen).log;
    ++m_promotions;
    const auto isMissing = [&log](const LogPosition &position) {
        return !std::binary_search(log.begin(), log.end(), position);
    };
    m_lost += static_cast<int>(std::erase_if(m_answered, isMissing));
    std::erase_if(m_waiting,
                  [&isMissing](const Commit &commit) { return isMissing(commit.position); });
    m_primary = chosen;
    m_coverPosition.reset();
    ++m_term;
    for (auto &[id, server] : m_servers) {
        server.term = m_term;
        server.heldTerm = 0;
        if (lastOf(server.log) > lastOf(log))
            server.log = log;
    }
}

ServerReplicationStatus LostCommitRig::statusOf(const Server &server, const ServerId &id) const
{
    return {id == m_primary, server.term, lastOf(server.log), server.heldTerm, 0};
}

void LostCommitRig::report(const ServerId &id)
{
    if (!m_change)
        return;
    const Server &server = m_servers.at(id);
    perform(isReached(server) ? m_change->onStatus(id, statusOf(server, id), m_now)
                              : m_change->onUnreachable(id, m_now));
}

void LostCommitRig::perform(const SemiSyncChangeActions &actions)
{
    for (const SemiSyncChangeAction &action : actions)
        std::visit([this](const auto &kind) { perform(kind); }, action);
}

void LostCommitRig::perform(const HoldServer &action)
{
    Server &server = m_servers.at(action.server);
    if (isReached(server) && action.server != m_primary && action.term > server.term)
        server.heldTerm = std::max(server.heldTerm, action.term);
    report(action.server);
}

void LostCommitRig::perform(const DemoteServer &action)
{
    const Server &server = m_servers.at(action.server);
    if (isReached(server) && action.server == m_primary && action.term > server.term)
        m_primary = ServerId();
    report(action.server);
}

void LostCommitRig::perform(const ResumeServer &action)
{
    Server &server = m_servers.at(action.server);
    if (isReached(server))
        server.heldTerm = 0;
}

void LostCommitRig::perform(const ReserveToken &action)
{
    m_openOrders.insert(action.server);
    m_tokenDue = m_now + StepTime + upTo(150ms);
}

// A call that is answered is carried out some hundred ms later; another one much later or never.
void LostCommitRig::perform(const OrderPromotion &action)
{
    m_orderedAt = m_now;
    if (chance(60)) {
        m_orders.push_back({action.server, action.token, m_now + 20ms + upTo(600ms)});
        return;
    }
    if (chance(80))
        m_orders.push_back({action.server, action.token, m_now + upTo(10s), false});
    m_orders.push_back({ServerId(), action.token, m_now + OrderTimeout});
}

} // namespace nutmegtide::test
