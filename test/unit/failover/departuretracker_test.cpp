#include "nutmegtide/failover/departuretracker.h"

#include "unit/failover/semisyncgroup.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const ServerId Primary("s1");
const ServerId Replica("s2");
const ServerId Departed("s4");

ServerReplicationStatus status(bool isPrimary, Term term, std::uint64_t index)
{
    return {isPrimary, term, {term, index}, 0, 0};
}

// A group of which the replicas s2 and s3 receive nothing, so that only s4 has the last commits.
SemiSyncRig rigWithCommitsAtLeavingReplica()
{
    SemiSyncRig rig(4, 1);
    rig.step();
    rig.group.servers.at(ServerId("s2")).receives = false;
    rig.group.servers.at(ServerId("s3")).receives = false;
    for (int step = 0; step < 20; ++step)
        rig.step();
    return rig;
}

void runFor(SemiSyncRig &rig, Duration time)
{
    for (const TimePoint until = rig.now + time; rig.now < until;)
        rig.step();
}

} // namespace

TEST_CASE("a departure is covered by a replica that has what the primary told after it")
{
    struct Row
    {
        const char *what;
        Duration primaryAsked; // since the departure was noted
        ServerReplicationStatus primary;
        Duration replicaAsked;
        ServerReplicationStatus replica;
        bool isCovered;
    };
    const Row rows[] = {
            {"the replica has it", 100ms, status(true, 1, 7), 160ms, status(false, 1, 7), true},
            {"the replica has more", 100ms, status(true, 1, 7), 160ms, status(false, 1, 9), true},
            {"the replica has less", 100ms, status(true, 1, 7), 160ms, status(false, 1, 6), false},
            {"the primary was asked before", -1ms, status(true, 1, 7), 160ms, status(false, 1, 7),
             false},
            {"the primary was asked too soon", 99ms, status(true, 1, 7), 160ms, status(false, 1, 7),
             false},
            {"the replica was asked before", 100ms, status(true, 1, 7), 99ms, status(false, 1, 7),
             false},
            {"the replica is in a lower term", 100ms, status(true, 2, 7), 160ms,
             status(false, 1, 9), false},
            {"the primary was replaced", 100ms, status(true, 1, 7), 160ms, status(false, 2, 9),
             false},
            {"no server leads", 100ms, status(false, 1, 7), 160ms, status(false, 1, 7), false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        DepartureTracker tracker;
        const TimePoint noted(10s);
        tracker.setServers({Primary, Replica}, {Departed}, noted);
        CHECK(tracker.onStatus(Primary, row.primary, noted + row.primaryAsked, noted + 200ms)
                      .empty());
        const auto covered = tracker.onStatus(Replica, row.replica, noted + row.replicaAsked,
                                              noted + 250ms);
        CHECK(covered.size() == (row.isCovered ? 1 : 0));
        CHECK(tracker.covered().count(Departed) == (row.isCovered ? 1 : 0));
        CHECK(tracker.uncovered().count(Departed) == (row.isCovered ? 0 : 1));
    }
}

TEST_CASE("neither a departed server nor an unrecorded one covers a departure")
{
    for (const char *other : {"s4", "s5", "s9"}) {
        CAPTURE(std::string(other));
        DepartureTracker tracker;
        const TimePoint noted(10s);
        tracker.setServers({Primary, Replica}, {Departed, ServerId("s5")}, noted);
        tracker.onStatus(Primary, status(true, 1, 7), noted + 100ms, noted + 110ms);
        CHECK(tracker.onStatus(ServerId(other), status(false, 1, 7), noted + 120ms, noted + 130ms)
                      .empty());
    }
}

TEST_CASE("servers are asked only while a departure isn't covered, and at intervals")
{
    DepartureTracker tracker;
    TimePoint now(10s);
    tracker.setServers({Primary, Replica}, {}, now);
    CHECK(tracker.tick(now).empty());
    tracker.setServers({Primary, Replica}, {Departed}, now);
    CHECK(tracker.tick(now + 99ms).empty());
    CHECK(tracker.tick(now + 100ms).size() == 2);
    CHECK(tracker.tick(now + 110ms).empty());
    tracker.onStatus(Primary, status(true, 1, 7), now + 100ms, now + 101ms);
    const auto queries = tracker.tick(now + 161ms);
    REQUIRE(queries.size() == 1);
    CHECK(queries[0].server == Replica);
    CHECK(tracker.tick(now + 300ms).empty());
    CHECK(tracker.tick(now + 361ms).size() == 1);
    CHECK(tracker.onStatus(Replica, status(false, 1, 7), now + 361ms, now + 362ms).size() == 1);
    CHECK(tracker.tick(now + 10s).empty());
}

TEST_CASE("a primary that doesn't answer is not the only one that is asked")
{
    DepartureTracker tracker;
    const TimePoint now(10s);
    tracker.setServers({Primary, Replica}, {}, now);
    tracker.onStatus(Primary, status(true, 1, 7), now, now);
    tracker.setServers({Primary, Replica}, {Departed}, now);
    CHECK(tracker.tick(now + 100ms).size() == 1);
    CHECK(tracker.tick(now + 300ms).size() == 2);
}

// Guards against commits that only a departed replica and the crashed primary have, which were lost.
TEST_CASE("a crashed primary is waited for when only a departed replica had its last commits")
{
    for (const bool forgetsDepartures : {true, false}) {
        CAPTURE(forgetsDepartures);
        SemiSyncRig rig = rigWithCommitsAtLeavingReplica();
        rig.forgetsDepartures = forgetsDepartures;
        rig.group.depart(Departed);
        runFor(rig, 1s);
        rig.group.servers.at(Primary).isUp = false;
        rig.begin(ChangeReason::Lost);
        const bool isOver = rig.runUntilOver(5s);
        if (forgetsDepartures) { // the rule that lost them
            CHECK(rig.group.lost > 0);
            continue;
        }
        CHECK_FALSE(isOver);
        CHECK(rig.orders == 0);
        CHECK(rig.change->why()
              == "only 2 of 4 servers answer; not covered since they departed: s4");
        rig.group.servers.at(Primary).isUp = true;
        CHECK(rig.runUntilOver(3s));
        CHECK(rig.change->primary() == Primary);
        CHECK(rig.group.lost == 0);
    }
}

TEST_CASE("a departure while replicas receive is covered soon, and the next change doesn't wait")
{
    SemiSyncRig rig(4, 1);
    rig.step();
    rig.group.depart(Departed);
    const TimePoint departedAt = rig.now;
    while (rig.covered.empty() && rig.now < departedAt + 5s)
        rig.step();
    CHECK(rig.now - departedAt <= 400ms);
    rig.group.servers.at(Primary).isUp = false;
    rig.begin(ChangeReason::Lost);
    CHECK(rig.runUntilOver(1s));
    CHECK(rig.group.lost == 0);
}

TEST_CASE("a new control leader waits for the primary too, as the roster lists the departed server")
{
    SemiSyncRig rig = rigWithCommitsAtLeavingReplica();
    rig.group.depart(Departed);
    rig.group.servers.at(Primary).isUp = false;
    rig.begin(ChangeReason::Lost);
    runFor(rig, 1s);
    rig.begin(ChangeReason::Lost, {}, true);
    CHECK_FALSE(rig.runUntilOver(3s));
    CHECK(rig.orders == 0);
}

TEST_CASE("a move that begins right after a departure waits for its cover, and stays graceful")
{
    SemiSyncRig rig(4, 1);
    const TimePoint begunAt = rig.now;
    rig.step();
    rig.group.depart(Departed);
    rig.begin(ChangeReason::Moved, Primary);
    REQUIRE(rig.runUntilOver(2s));
    CHECK(rig.change->primary() != Primary);
    const auto steps = (rig.now - begunAt) / 10ms;
    CHECK(rig.group.acknowledged.size() == static_cast<std::size_t>(steps)); // one in each
    CHECK(rig.covered.count(Departed) == 1);
    CHECK(rig.group.lost == 0);
}

TEST_CASE("a move demotes the primary where a departure can't be covered")
{
    SemiSyncRig rig = rigWithCommitsAtLeavingReplica();
    rig.group.depart(Departed);
    rig.begin(ChangeReason::Moved, Primary);
    REQUIRE(rig.runUntilOver(4s));
    CHECK(rig.group.lost == 0);
}

// With one departed server missing, all others answer; with two, nothing can return, so the change
// goes on and names them.
TEST_CASE("a primary that has departed is not waited for")
{
    struct Row
    {
        const char *what;
        bool hasReplicaDeparted;
        std::size_t named;
    };
    const Row rows[] = {{"the primary alone", false, 0}, {"a replica before it", true, 2}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        std::vector<ChangeServer> servers {{ServerId("s1"), true, true},
                                           {ServerId("s2"), false},
                                           {ServerId("s3"), false}};
        if (row.hasReplicaDeparted)
            servers.push_back({Departed, true, true});
        SemiSyncChange change(ChangeReason::Lost, servers);
        const TimePoint now(1s);
        CHECK(change.start(now).size() == 2);
        for (const Term held : {0, 2}) {
            for (const char *replica : {"s2", "s3"})
                change.onStatus(ServerId(replica), {false, 1, {1, 5}, held, 3}, now);
        }
        REQUIRE((change.stepName() == "reserving"));
        CHECK(change.uncoveredDepartures().size() == row.named);
    }
}

TEST_CASE("a server that departs during the change counts with the position that it was fenced at")
{
    SemiSyncChange change(ChangeReason::Lost,
                          {{ServerId("s1"), false},
                           {ServerId("s2"), false},
                           {ServerId("s3"), false},
                           {Departed, true}});
    TimePoint now(1s);
    change.start(now);
    change.onUnreachable(Primary, now);
    const std::map<ServerId, std::uint64_t> received {{ServerId("s2"), 5},
                                                      {ServerId("s3"), 5},
                                                      {Departed, 6}};
    for (const auto &[server, index] : received)
        change.onStatus(server, {false, 1, {1, index}, 0, 3}, now);
    change.onStatus(Departed, {false, 1, {1, 6}, 2, 3}, now);
    change.onDeparted(Departed, now);
    change.onStatus(ServerId("s2"), {false, 1, {1, 5}, 2, 3}, now);
    change.onStatus(ServerId("s3"), {false, 1, {1, 5}, 2, 3}, now);
    CHECK((change.stepName() == "waiting"));
    CHECK(change.why() == "s4 has departed with the latest commits");
}

// Guards against a promotion without a gone server's log, as its address was in use again.
TEST_CASE("a gone server whose address a server of another group uses counts as departed")
{
    SemiSyncChange change(ChangeReason::Lost,
                          {{Primary, false}, {Replica, false}, {ServerId("s3"), false}});
    TimePoint now(1s);
    change.start(now);
    change.onUnreachable(Primary, now);
    change.onGone(ServerId("s3"), now);
    change.onDeparted(ServerId("s3"), now);
    change.onStatus(Replica, {false, 1, {1, 5}, 0, 3}, now);
    change.onStatus(Replica, {false, 1, {1, 5}, 2, 3}, now);
    CHECK((change.stepName() == "waiting"));
    CHECK(change.why() == "only 1 of 3 servers answer; not covered since they departed: s3");
    now += 200ms;
    change.tick(now);
    change.onUnreachable(Primary, now);
    change.onStatus(Replica, {false, 1, {1, 5}, 0, 3}, now);
    CHECK((change.stepName() == "waiting"));
}

TEST_CASE("replicas that depart at random beside crashes and cuts lose no commit")
{
    constexpr unsigned Runs = 700;
    unsigned covered = 0;
    int over = 0;
    for (unsigned seed = 1; seed <= Runs; ++seed) {
        CAPTURE(seed);
        SemiSyncRig rig(6, seed);
        for (int step = 0; step < 2000; ++step) {
            const auto drawn = std::next(rig.group.servers.begin(),
                                         static_cast<std::ptrdiff_t>(rig.generator()
                                                                     % rig.group.servers.size()));
            SemiSyncGroup::Server &server = drawn->second;
            switch (rig.generator() % 90) {
            case 0:
                server.isUp = !server.isUp;
                server.heldTerm = 0;
                break;
            case 1:
                server.isReached = !server.isReached;
                break;
            case 2:
                server.receives = !server.receives;
                break;
            case 3:
                if (drawn->first != rig.group.primary && server.isUp && rig.group.servers.size() > 3
                    && rig.generator() % 3 == 0)
                    rig.group.depart(drawn->first);
                break;
            case 4:
                rig.begin(ChangeReason::Lost, {}, rig.generator() % 2 == 0);
                break;
            case 5:
                if (rig.change && rig.change->isOver())
                    rig.begin(ChangeReason::Moved, rig.group.primary);
                break;
            default:
                rig.step();
                break;
            }
            if (rig.group.lost != 0)
                break;
        }
        REQUIRE(rig.group.lost == 0);
        covered += static_cast<unsigned>(rig.covered.size());
        over += rig.change && rig.change->isOver() ? 1 : 0;
    }
    CHECK(covered > 0);
    CHECK(over > 0);
}
