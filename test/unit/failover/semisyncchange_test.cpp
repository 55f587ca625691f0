#include "nutmegtide/failover/semisyncchange.h"

#include "unit/failover/semisyncgroup.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

SemiSyncGroup::Server &server(SemiSyncRig &rig, int number)
{
    return rig.group.servers.at(ServerId("s" + std::to_string(number)));
}

} // namespace

TEST_CASE("a crashed primary is replaced by the replica that received most")
{
    SemiSyncRig rig(3, 1);
    rig.step();
    server(rig, 2).receives = false;
    rig.step();
    server(rig, 1).isUp = false;
    rig.begin(ChangeReason::Lost);
    REQUIRE(rig.runUntilOver(3s));
    CHECK(rig.change->primary() == ServerId("s3"));
    CHECK(rig.group.lost == 0);
    for (const auto &[id, member] : rig.group.servers)
        CHECK(member.heldTerm == 0);
}

TEST_CASE("one replica alone proves nothing, so the change waits")
{
    SemiSyncRig rig(3, 1);
    rig.step();
    server(rig, 1).isUp = false;
    server(rig, 3).isReached = false;
    rig.begin(ChangeReason::Lost);
    CHECK_FALSE(rig.runUntilOver(5s));
    CHECK(rig.orders == 0);
    CHECK(rig.change->why() == "only 1 of 3 servers answer");
    server(rig, 3).isReached = true;
    CHECK(rig.runUntilOver(3s));
    CHECK(rig.group.lost == 0);
}

TEST_CASE("a primary that answers stays, and a replica left on hold is resumed after a new token")
{
    SemiSyncRig rig(3, 1);
    rig.begin(ChangeReason::Lost);
    REQUIRE(rig.runUntilOver(1s));
    CHECK(rig.orders == 0);
    server(rig, 2).heldTerm = 2; // a predecessor's change was abandoned
    rig.begin(ChangeReason::Lost);
    REQUIRE(rig.runUntilOver(3s));
    CHECK(rig.orders == 1);
    CHECK(rig.change->primary() == ServerId("s1"));
    CHECK(server(rig, 2).heldTerm == 0);
}

TEST_CASE("a leaving primary is moved while commits go on")
{
    SemiSyncRig rig(3, 1);
    rig.step();
    rig.begin(ChangeReason::Moved, ServerId("s1"));
    REQUIRE(rig.runUntilOver(3s));
    CHECK(rig.change->primary() != ServerId("s1"));
    CHECK(rig.group.lost == 0);
    CHECK(rig.orders == 1);
}

TEST_CASE("a leaving primary is replaced well within its time while half of the orders come late")
{
    constexpr unsigned Seeds = 200;
    constexpr Duration LeaveTime = 6s; // of 7 s, less what is left to statements under way
    unsigned late = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        SemiSyncRig rig(3, seed);
        rig.losesAnswers = true;
        rig.step();
        rig.begin(ChangeReason::Moved, ServerId("s1"));
        const TimePoint until = rig.now + LeaveTime;
        while (rig.now < until && rig.group.primary == ServerId("s1"))
            rig.step();
        late += rig.group.primary == ServerId("s1") ? 1 : 0;
        CHECK(rig.group.lost == 0);
    }
    // Four orders in a row without an answer, none of which is carried out within the time.
    CHECK(late <= Seeds / 16);
}

TEST_CASE("commits go on while an order to move the primary has no answer")
{
    SemiSyncRig rig(3, 1);
    rig.losesAnswers = true;
    for (unsigned seed = 2; rig.overdue.empty(); ++seed) {
        rig.generator.seed(seed);
        rig.step();
        rig.begin(ChangeReason::Moved, rig.group.primary);
    }
    const std::size_t before = rig.group.acknowledged.size();
    for (int step = 0; step < 100; ++step)
        rig.step();
    CHECK(rig.group.acknowledged.size() == before + 100);
}

TEST_CASE("a server that leads by its own word needs no answer of the platform")
{
    SemiSyncRig rig(3, 1);
    rig.losesAnswers = true;
    rig.step();
    rig.begin(ChangeReason::Moved, ServerId("s1"));
    const TimePoint begun = rig.now;
    while (!rig.change->isOver() && rig.now - begun < 60s)
        rig.step();
    REQUIRE(rig.change->isOver());
    CHECK(rig.change->primary() == rig.group.primary);
    CHECK(rig.group.lost == 0);
}

TEST_CASE("the answer to an earlier order says nothing of the latest one")
{
    SemiSyncChange change(ChangeReason::Moved,
                        {{ServerId("a"), true}, {ServerId("b"), false}, {ServerId("c"), false}},
                        ServerId("a"));
    const TimePoint now(1s);
    change.start(now);
    change.onStatus(ServerId("a"), {true, 1, {1, 5}, 0, 3}, now);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 0, 3}, now);
    change.onStatus(ServerId("c"), {false, 1, {1, 5}, 0, 3}, now);
    const ServerId held = change.chosen() == ServerId("b") ? ServerId("c") : ServerId("b");
    change.onStatus(held, {false, 1, {1, 5}, 2, 3}, now);
    REQUIRE((change.stepName() == "reserving"));
    const auto actions = change.onToken(7, now);
    REQUIRE(actions.size() == 1);
    change.onPromotionAnswered(6, PromotionOutcome::Accepted, now);
    CHECK((change.stepName() == "ordering"));
    CHECK(change.hasOpenOrders());
    change.onPromotionAnswered(7, PromotionOutcome::Accepted, now);
    CHECK((change.stepName() == "confirming"));
    CHECK_FALSE(change.hasOpenOrders());
}

TEST_CASE("an order without an answer stays open, also once its server leads")
{
    SemiSyncChange change(ChangeReason::Lost, {{ServerId("a"), false}, {ServerId("b"), false}});
    const TimePoint now(1s);
    change.start(now);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 0, 3}, now);
    change.onUnreachable(ServerId("a"), now);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 2, 3}, now);
    REQUIRE((change.stepName() == "reserving"));
    change.onToken(7, now);
    change.onPromotionAnswered(7, PromotionOutcome::Unknown, now);
    CHECK(change.hasOpenOrders());
    change.tick(now + 200ms); // looks again
    change.onUnreachable(ServerId("a"), now + 200ms);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 2, 3}, now + 200ms);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 3, 3}, now + 200ms);
    REQUIRE((change.stepName() == "reserving"));
    change.onToken(8, now + 200ms);
    change.onStatus(ServerId("b"), {true, 2, {1, 5}, 0, 3}, now + 300ms);
    CHECK(change.isOver());
    CHECK(change.primary() == ServerId("b"));
    CHECK(change.hasOpenOrders());
}

TEST_CASE("an overloaded primary is not taken for lost")
{
    SemiSyncChange change(ChangeReason::Lost, {{ServerId("a"), false}, {ServerId("b"), false}});
    TimePoint now(1s);
    change.start(now);
    change.onStatus(ServerId("b"), {false, 1, {1, 1}, 0, 3}, now);
    const auto actions = change.onOverloaded(ServerId("a"), now);
    CHECK(actions.empty());
    CHECK(change.stepName() == std::string("waiting"));
}

TEST_CASE("a server that is gone for good doesn't count any more")
{
    SemiSyncChange change(ChangeReason::Lost,
                        {{ServerId("a"), false}, {ServerId("b"), false}, {ServerId("c"), false}});
    TimePoint now(1s);
    change.start(now);
    change.onUnreachable(ServerId("a"), now);
    change.onGone(ServerId("b"), now);
    const auto actions = change.onStatus(ServerId("c"), {false, 1, {1, 1}, 0, 3}, now);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<HoldServer>(actions[0]).term == 2);
}

TEST_CASE("no schedule of crashes, cuts, abandoned changes and late orders loses a commit")
{
    constexpr unsigned Runs = 700;
    int over = 0;
    for (unsigned seed = 1; seed <= Runs; ++seed) {
        CAPTURE(seed);
        SemiSyncRig rig(3 + static_cast<int>(seed % 2), seed);
        rig.losesAnswers = seed % 3 == 0;
        for (int step = 0; step < 2000; ++step) {
            const int number = 1 + static_cast<int>(rig.generator() % rig.group.servers.size());
            switch (rig.generator() % 80) {
            case 0:
                // A restart ends a hold. One that comes while an order is under way, with control
                // cut off, can't be made up for by anybody; docs/PROMISES.md names the case.
                if (!rig.lateOrders.empty())
                    break;
                server(rig, number).isUp = !server(rig, number).isUp;
                server(rig, number).heldTerm = 0; // a restart ends the hold
                break;
            case 1:
                server(rig, number).isReached = !server(rig, number).isReached;
                break;
            case 2:
                server(rig, number).receives = !server(rig, number).receives;
                break;
            case 3: // a leader of control begins anew, whatever was under way
                rig.begin(ChangeReason::Lost, {}, true);
                break;
            case 4:
                if (rig.change && rig.change->isOver())
                    rig.begin(ChangeReason::Moved, rig.group.primary);
                break;
            default: {
                rig.step();
                // What control does about an order that may still be carried out.
                const bool isOver = rig.change && rig.change->isOver();
                if (isOver && rig.change->hasOpenOrders() && rig.generator() % 40 == 0)
                    rig.begin(ChangeReason::Lost);
                break;
            }
            }
            if (rig.group.lost != 0)
                break;
        }
        REQUIRE(rig.group.lost == 0);
        over += rig.change && rig.change->isOver() ? 1 : 0;
    }
    CHECK(over > 0);
}

TEST_CASE("an open order for another server: the chosen one's own word doesn't end the change")
{
    // The order for the old primary could still be carried out, after what is held was resumed.
    SemiSyncChange change(ChangeReason::Moved,
                        {{ServerId("a"), true}, {ServerId("b"), false}, {ServerId("c"), false}},
                        ServerId("a"));
    const TimePoint now(1s);
    change.setOpenOrders({ServerId("a")}, now);
    change.start(now);
    change.onStatus(ServerId("a"), {true, 1, {1, 5}, 0, 3}, now);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 0, 3}, now);
    change.onStatus(ServerId("c"), {false, 1, {1, 5}, 0, 3}, now);
    const ServerId chosen = change.chosen();
    const ServerId held(chosen == ServerId("b") ? "c" : "b");
    change.onStatus(held, {false, 1, {1, 5}, 2, 3}, now);
    REQUIRE((change.stepName() == "reserving"));
    change.onToken(7, now);
    change.onStatus(chosen, {true, 2, {1, 5}, 0, 3}, now + 100ms);
    CHECK_FALSE(change.isOver());
    change.onPromotionAnswered(7, PromotionOutcome::Accepted, now + 200ms);
    change.onStatus(chosen, {true, 2, {1, 5}, 0, 3}, now + 260ms);
    CHECK(change.isOver());
    CHECK(change.primary() == chosen);
}

TEST_CASE("of replicas that hold as much, the one whose promotion was ordered is chosen")
{
    for (const char *ordered : {"b", "c"}) {
        CAPTURE(std::string(ordered));
        SemiSyncChange change(ChangeReason::Lost,
                            {{ServerId("a"), false},
                             {ServerId("b"), false},
                             {ServerId("c"), false}});
        const TimePoint now(1s);
        change.setOpenOrders({ServerId(ordered)}, now);
        change.start(now);
        change.onUnreachable(ServerId("a"), now);
        for (const char *replica : {"b", "c"})
            change.onStatus(ServerId(replica), {false, 1, {1, 5}, 0, 3}, now);
        for (const char *replica : {"b", "c"})
            change.onStatus(ServerId(replica), {false, 1, {1, 5}, 2, 3}, now);
        CHECK((change.stepName() == "reserving"));
        CHECK(change.chosen() == ServerId(ordered));
    }
}

TEST_CASE("another server than the ordered one is chosen only once that order would have come")
{
    SemiSyncChange change(ChangeReason::Lost,
                        {{ServerId("a"), false}, {ServerId("b"), false}, {ServerId("c"), false}});
    const auto probeAndHold = [&change](TimePoint now) {
        change.onUnreachable(ServerId("a"), now);
        for (const Term held : {0, 2}) {
            change.onStatus(ServerId("b"), {false, 1, {1, 5}, held, 3}, now);
            change.onStatus(ServerId("c"), {false, 1, {1, 6}, held, 3}, now);
        }
    };
    TimePoint now(100s);
    change.setOpenOrders({ServerId("b")}, now);
    change.start(now);
    probeAndHold(now);
    CHECK(change.chosen() == ServerId("c")); // it holds more than the ordered one
    CHECK((change.stepName() == "waiting"));
    now += 13s;
    change.tick(now);
    change.onUnreachable(ServerId("a"), now);
    for (const Term held : {2, 3}) {
        change.onStatus(ServerId("b"), {false, 1, {1, 5}, held, 3}, now);
        change.onStatus(ServerId("c"), {false, 1, {1, 6}, held, 3}, now);
    }
    CHECK((change.stepName() == "reserving"));
}

TEST_CASE("an order for a third server may still come: the primary is not moved gently")
{
    struct Row
    {
        const char *what;
        std::set<ServerId> openOrders;
        std::size_t held;
    };
    // Gently, all but the chosen replica are held; else all are, so that no commit is acknowledged.
    const Row rows[] = {{"none is open", {}, 1},
                        {"for the one that will be chosen", {ServerId("b")}, 1},
                        {"for the present primary", {ServerId("a")}, 1},
                        {"for another replica", {ServerId("c")}, 2}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        SemiSyncChange change(ChangeReason::Moved,
                            {{ServerId("a"), true}, {ServerId("b"), false}, {ServerId("c"), false}},
                            ServerId("a"));
        const TimePoint now(100s);
        change.setOpenOrders(row.openOrders, now);
        change.start(now);
        change.onStatus(ServerId("a"), {true, 1, {1, 6}, 0, 3}, now);
        change.onStatus(ServerId("b"), {false, 1, {1, 6}, 0, 3}, now);
        const auto actions = change.onStatus(ServerId("c"), {false, 1, {1, 5}, 0, 3}, now);
        const auto held = std::count_if(actions.begin(), actions.end(), [](const auto &action) {
            return std::holds_alternative<HoldServer>(action);
        });
        CHECK(static_cast<std::size_t>(held) == row.held);
    }
}

// Known red: the servers of a change are those that were known when it began, and one that has
// taken a gone one's place since receives from the old primary all the same.
TEST_CASE("no order while a server that took a gone one's place may receive from the old primary")
{
    SemiSyncChange change(ChangeReason::Lost,
                        {{ServerId("a"), false}, {ServerId("b"), false}, {ServerId("c"), false}});
    const TimePoint now(1s);
    change.start(now);
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 0, 3}, now);
    change.onGone(ServerId("c"), now); // another server answers at its address
    change.onUnreachable(ServerId("a"), now); // the primary, which is cut off and still leads
    change.onStatus(ServerId("b"), {false, 1, {1, 5}, 2, 3}, now);
    CHECK_FALSE((change.stepName() == "reserving"));
}
