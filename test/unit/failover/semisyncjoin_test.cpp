#include "unit/failover/semisyncgroup.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr auto ControlTime = 200ms; // in which control hears of a server, and reaches it

void run(SemiSyncRig &rig, Duration time)
{
    const TimePoint until = rig.now + time;
    while (rig.now < until)
        rig.step();
}

} // namespace

// Guards against commits that the old primary acknowledges through a server that joined after the
// others were held.
TEST_CASE("a server that joins while a promotion is under way acknowledges no lost commit")
{
    struct Row
    {
        const char *what;
        bool isPrimaryReached; // after the order
        bool isAnnounced; // control hears of the new server
    };
    const Row rows[] = {
            {"the primary returns, the server is unknown", true, false},
            {"the primary returns, the server is known", true, true},
            {"the primary is cut off, the server is known", false, true},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        SemiSyncRig rig(3, 1);
        rig.promoteTime = 1s;
        run(rig, 100ms);
        server(rig, 1).isUp = false;
        server(rig, 3).isReached = false;
        rig.begin(ChangeReason::Lost);
        run(rig, 1s);
        REQUIRE((rig.change->stepName() != "confirming"));
        const ServerId joined = rig.group.join();
        server(rig, 4).receives = false;
        server(rig, 3).isReached = true;
        while (rig.orders == 0)
            rig.step();
        server(rig, 1).isUp = true;
        server(rig, 1).isReached = row.isPrimaryReached;
        if (row.isAnnounced)
            rig.announce(joined);
        run(rig, ControlTime);
        server(rig, 4).receives = true;
        REQUIRE(rig.runUntilOver(10s));
        CHECK(rig.group.lost == 0);
        CHECK(rig.change->primary() != ServerId("s1"));
        for (const auto &[id, member] : rig.group.servers)
            CHECK(member.heldTerm == 0);
    }
}

TEST_CASE("a server that joins a graceful move after the order acknowledges no lost commit")
{
    SemiSyncRig rig(3, 1);
    rig.promoteTime = 1s;
    run(rig, 100ms);
    rig.begin(ChangeReason::Moved, ServerId("s1"));
    while (rig.orders == 0)
        rig.step();
    const ServerId joined = rig.group.join();
    rig.announce(joined);
    rig.group.servers.at(rig.change->chosen()).receives = false; // the others are held
    REQUIRE(rig.runUntilOver(10s));
    CHECK(rig.group.lost == 0);
    CHECK(rig.group.servers.at(joined).heldTerm == 0);
}

TEST_CASE("a server that joined while an order is open is held, and resumed when the change is "
          "called off")
{
    unsigned open = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SemiSyncRig rig(3, seed);
        run(rig, 100ms);
        server(rig, 1).isReached = false; // it still leads
        rig.losesAnswers = true;
        rig.begin(ChangeReason::Lost);
        run(rig, 500ms);
        if (rig.lateOrders.empty())
            continue; // carried out at once
        ++open;
        const ServerId joined = rig.group.join();
        rig.announce(joined);
        run(rig, ControlTime);
        CHECK(rig.group.servers.at(joined).heldTerm != 0);
        server(rig, 1).isReached = true;
        rig.losesAnswers = false;
        REQUIRE(rig.runUntilOver(20s));
        CHECK(rig.group.lost == 0);
        for (const auto &[id, member] : rig.group.servers)
            CHECK(member.heldTerm == 0);
    }
    CHECK(open > 0);
}

// Guards against a change that waits out an order because the demoted primary is ahead of its server.
TEST_CASE("an order without an answer is repeated when the primary has returned and was demoted")
{
    constexpr auto Limit = 3s; // the order's own time is 2 s
    unsigned open = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SemiSyncRig rig(3, seed);
        run(rig, 100ms);
        server(rig, 1).isReached = false; // it still leads, and commits what nobody receives
        rig.losesAnswers = true;
        rig.begin(ChangeReason::Lost);
        run(rig, 500ms);
        if (rig.lateOrders.empty())
            continue; // carried out at once
        ++open;
        rig.lateOrders.clear(); // lost
        rig.losesAnswers = false;
        server(rig, 1).isReached = true;
        run(rig, ControlTime);
        CHECK_FALSE(server(rig, 1).isPrimary);
        CHECK(rig.runUntilOver(Limit));
        CHECK(rig.group.lost == 0);
    }
    CHECK(open > 0);
}

TEST_CASE("servers that join at random times during a change lose no commit")
{
    constexpr unsigned Runs = 300;
    unsigned over = 0;
    for (unsigned seed = 1; seed <= Runs; ++seed) {
        CAPTURE(seed);
        SemiSyncRig rig(3, seed);
        rig.losesAnswers = seed % 2 == 0;
        rig.promoteTime = std::chrono::milliseconds(10 + rig.generator() % 1500);
        run(rig, 500ms);
        server(rig, 1).isReached = false; // it still leads
        rig.begin(ChangeReason::Lost);
        for (int step = 0; step < 2000 && !rig.change->isOver(); ++step) {
            rig.step();
            if (rig.group.servers.size() < 7 && rig.generator() % 60 == 0)
                rig.announce(rig.group.join());
            if (rig.generator() % 100 == 0)
                server(rig, 1).isReached = !server(rig, 1).isReached;
        }
        CHECK(rig.group.lost == 0);
        over += rig.change->isOver() ? 1 : 0;
    }
    CHECK(over == Runs);
}
