// Tests how SemiSyncChange deals with promotion orders that are late, unanswered or repeated.
#include "nutmegtide/failover/semisyncchange.h"

#include "unit/failover/semisyncgroup.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

// Guards against a loss where a change is called off while the promotion of another server goes on.
TEST_CASE("a primary that answers isn't ordered while another server's promotion may take effect")
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        SemiSyncRig rig(3, seed);
        rig.promoteTime = 1s;
        rig.losesAnswers = true;
        rig.step();
        server(rig, 1).isReached = false; // the primary runs, but control can't reach it
        rig.begin(ChangeReason::Lost);
        const TimePoint until = rig.now + 25s;
        while (rig.now < until) {
            if (rig.generator() % 100 == 0)
                server(rig, 1).isReached = true;
            // The old primary may receive nothing after another server has taken over.
            server(rig, 1).receives = rig.group.primary == ServerId("s1");
            rig.step();
        }
        CHECK(rig.group.lost == 0);
    }
}

TEST_CASE("a leaving primary is replaced in time although half of the orders are carried out late")
{
    constexpr unsigned Seeds = 200;
    constexpr Duration LeaveTime = 6s; // of the 7 s, the rest is left to statements in progress
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
    // The move is late only if four orders in a row get no answer, which happens in 1 of 16 runs,
    // and none of them is carried out in time.
    CHECK(late <= Seeds / 16);
}

TEST_CASE("commits are acknowledged while an order to move the primary is unanswered")
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

TEST_CASE("a change ends once the promoted server reports that it leads, without the platform's "
          "answer")
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

TEST_CASE("the answer to an earlier order is ignored")
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

TEST_CASE("an order without an answer stays open even after its server leads")
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
    change.tick(now + 200ms); // probes again
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

TEST_CASE("the chosen server's report doesn't end the change while another server's order is open")
{
    // The order for the old primary could still be carried out after the held server was resumed.
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

TEST_CASE("of replicas with equal positions, the one whose promotion was ordered is chosen")
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

TEST_CASE("a server other than the ordered one is promoted only after that order has expired")
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
    CHECK(change.chosen() == ServerId("c")); // its position is above the ordered server's
    CHECK((change.stepName() == "waiting"));
    now += 13s; // it may have been accepted after 12 s, and a promotion takes up to a second
    change.tick(now);
    probeAndHold(now);
    CHECK((change.stepName() == "waiting"));
    now += 2s;
    change.tick(now);
    change.onUnreachable(ServerId("a"), now);
    for (const Term held : {2, 3}) {
        change.onStatus(ServerId("b"), {false, 1, {1, 5}, held, 3}, now);
        change.onStatus(ServerId("c"), {false, 1, {1, 6}, held, 3}, now);
    }
    CHECK((change.stepName() == "reserving"));
}

TEST_CASE("the primary is not moved gracefully while an order for a third server is open")
{
    struct Row
    {
        const char *what;
        std::set<ServerId> openOrders;
        std::size_t held;
    };
    // A graceful move holds all replicas but the chosen one. Otherwise all replicas are held, so
    // that no commit is acknowledged.
    const Row rows[] = {{"no open order", {}, 1},
                        {"for the replica that will be chosen", {ServerId("b")}, 1},
                        {"for the present primary", {ServerId("a")}, 1},
                        {"for another replica", {ServerId("c")}, 2}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        SemiSyncChange change(ChangeReason::Moved,
                              {{ServerId("a"), true},
                               {ServerId("b"), false},
                               {ServerId("c"), false}},
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
