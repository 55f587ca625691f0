#pragma once

#include "nutmegtide/failover/semisyncchange.h"
#include "unit/failover/lostcommitmodel.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace nutmegtide::test {

// Drives SemiSyncChange through one random schedule in virtual time: three recorded servers, one
// that joins, one that departs, a cut, a crash, replicas that receive nothing for a while, late and
// lost orders, and another control leader. Orders take time to be carried out, also answered ones.
// The rules that are flags here are those outside of SemiSyncChange.
//
//   LostCommitRig rig(rules, seed);
//   rig.run();
//   rig.lost();
class LostCommitRig
{
public:
    LostCommitRig(const LostCommitRules &rules, unsigned seed);

    // From now on any server may crash at any moment, and starts again with its log soon after.
    void crashServers() { m_crashesServers = true; }
    void run();
    // Returns the number of answered commits that promoted servers lacked.
    int lost() const { return m_lost; }
    std::size_t answered() const { return m_answered.size(); }
    int promotions() const { return m_promotions; }

private:
    struct Server
    {
        bool exists = true;
        bool isUp = true;
        bool isBeside = false; // on the first primary's side of the cut
        Term term = 1;
        Term heldTerm = 0;
        std::vector<LogPosition> log;
        TimePoint receivesFrom {}; // receives nothing before
        bool isKnown = true; // to the control leader
        bool isRecorded = true; // in the control log
        TimePoint announcesAt {};
        std::optional<TimePoint> startsAgainAt; // after a crash of crashServers()
        bool isVouched = true; // control vouched for the callers' connections to its present run
    };
    struct Commit
    {
        LogPosition position;
        ServerId writer;
        bool isAcknowledged = false;
        bool isWriterVouched = true;
    };
    struct Order
    {
        ServerId server;
        std::uint64_t token = 0;
        TimePoint due;
        bool isAnswered = true;
    };
    // The random times of one schedule.
    struct Schedule
    {
        TimePoint joins, departs, crashes, returns, cutBegins, cutHeals, leaderChanges, moves;
    };

    bool chance(unsigned percent) { return m_generator() % 100 < percent; }
    Duration upTo(Duration longest);
    bool isCut() const { return m_now >= m_schedule.cutBegins && m_now < m_schedule.cutHeals; }
    bool isReached(const Server &server) const;
    bool isConnected(const Server &one, const Server &other) const;
    bool holds(const Server &server, const LogPosition &position) const;

    void step();
    void disturb();
    void crashSome();
    void vouch();
    void depart();
    void write();
    void replicate();
    void deliver();
    bool isConfirmed(const Commit &commit) const;
    void announce();
    void updateRoster();
    void coverDeparted();
    void startChange();
    void begin(ChangeReason reason, const ServerId &from);
    void carryOutOrders();
    PromotionOutcome carryOut(const Order &order);
    void promote(const ServerId &chosen);
    void endChange();

    ServerReplicationStatus statusOf(const Server &server, const ServerId &id) const;
    void report(const ServerId &id);
    void perform(const SemiSyncChangeActions &actions);
    void perform(const QueryStatus &action) { report(action.server); }
    void perform(const HoldServer &action);
    void perform(const DemoteServer &action);
    void perform(const ResumeServer &action);
    void perform(const ReserveToken &action);
    void perform(const OrderPromotion &action);

    const LostCommitRules m_rules;
    std::mt19937 m_generator;
    std::map<ServerId, Server> m_servers;
    ServerId m_primary; // empty while none leads
    std::vector<Commit> m_waiting; // commits without an answer to the caller
    std::vector<LogPosition> m_answered;
    std::vector<Order> m_orders;
    std::uint64_t m_highestToken = 0;
    Term m_term = 1;
    Schedule m_schedule;
    bool m_crashesServers = false;
    bool m_hasDeparted = false;
    bool m_isDepartureUncovered = false;
    std::optional<LogPosition> m_coverPosition;
    std::optional<SemiSyncChange> m_change;
    std::uint64_t m_token = 0;
    std::optional<TimePoint> m_tokenDue;
    std::set<ServerId> m_openOrders; // as stored in the control log
    TimePoint m_orderedAt {};
    TimePoint m_leadsSince {};
    TimePoint m_endedAt {};
    TimePoint m_rosterDue {};
    std::optional<TimePoint> m_primaryMissingSince;
    TimePoint m_now {100s};
    int m_lost = 0;
    int m_promotions = 0;
};

} // namespace nutmegtide::test
