#include "nutmegtide/failover/primarychange.h"

#include "unit/failover/changerig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const ServerId First("s1");
constexpr std::size_t FenceIndex = 1; // of FenceServer in ChangeAction
constexpr std::size_t ActionKinds = std::variant_size_v<ChangeAction>;

// Write 1 is acknowledged, since a majority holds it. Write 2 is only on the old primary.
ChangeRig rigWithWrites(const std::vector<std::string> &voters)
{
    ChangeRig rig(voters);
    rig.write(1, {voters.begin(), voters.begin() + long(voters.size() / 2) + 1});
    rig.write(2, {voters.front()});
    return rig;
}

void checkSafe(ChangeRig &rig)
{
    CHECK(rig.primary().role == ServerRole::Primary);
    CHECK(rig.primary().term == rig.record().term);
    CHECK(rig.primary().holds(1));
    CHECK_FALSE(rig.group.hasTwoPrimariesInTerm);
}

} // namespace

TEST_CASE("the voter with the highest position among the fenced is promoted")
{
    struct Row
    {
        const char *name;
        std::vector<std::string> down;
        std::vector<std::string> cut; // off from control
        std::string primary; // the expected one; empty if no change is possible
    };
    const Row rows[] = {
            {"primary down", {"s1"}, {}, "s2"},
            {"primary works, but the homes can't use it", {}, {}, "s2"},
            {"primary cut off from control", {}, {"s1"}, "s2"},
            {"primary and the up-to-date replica down", {"s1", "s2"}, {}, ""},
            {"only the suspect and a stale replica answer", {"s2"}, {}, ""},
            {"control is cut off from all replicas", {}, {"s2", "s3"}, ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
        for (const std::string &id : row.down)
            rig.kill(id);
        for (const std::string &id : row.cut)
            rig.cut.insert(ServerId(id));
        rig.begin("c1", First);
        CHECK(rig.runUntilOver(10s) == !row.primary.empty());
        if (row.primary.empty()) {
            // An incomplete fence could stop a primary that still works, so none may be started.
            CHECK_FALSE(rig.hasSent(FenceIndex));
            CHECK(rig.record().term == 1);
        } else {
            CHECK(rig.record().primary == ServerId(row.primary));
            checkSafe(rig);
        }
    }
}

TEST_CASE("a primary that lost its term to an incomplete fence can be promoted again")
{
    ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
    rig.group.fence(ServerId("s3"), 2);
    rig.kill("s2");
    rig.begin("c1", First);
    REQUIRE(rig.runUntilOver());
    CHECK(rig.record().primary == First);
    checkSafe(rig);
}

TEST_CASE("withdrawing the suspicion ends a change only before it has reserved a term")
{
    ChangeRig rig({"s1", "s2", "s3"});
    rig.cut = {ServerId("s2"), ServerId("s3")};
    rig.begin("c1", First);
    rig.change->withdraw(rig.now);
    CHECK(rig.change->isOver());
    CHECK_FALSE(rig.change->isPublished());

    rig.cut.clear();
    rig.queue.clear();
    rig.begin("c2", First);
    while (rig.change->state() != "fencing")
        rig.step();
    rig.change->withdraw(rig.now);
    CHECK_FALSE(rig.change->isOver());
    CHECK(rig.runUntilOver());
}

TEST_CASE("no acknowledged write is lost if the control leader crashes before any action")
{
    for (std::size_t kind = 0; kind < ActionKinds; ++kind) {
        for (int countdown = 1; countdown <= 3; ++countdown) {
            CAPTURE(kind);
            CAPTURE(countdown);
            ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
            rig.kill("s1");
            int left = countdown;
            bool isDead = false;
            rig.onAction = [&](const ChangeAction &action) {
                isDead = isDead || (action.index() == kind && --left == 0);
            };
            rig.begin("c1", First);
            while (!isDead && !rig.change->isOver())
                rig.step();
            rig.queue.clear();
            rig.onAction = nullptr;
            if (rig.record().isChangePending() || rig.record().term == 1) {
                rig.begin("c2", First);
                REQUIRE(rig.runUntilOver());
            }
            checkSafe(rig);
        }
    }
}

TEST_CASE("no acknowledged write is lost if the new primary crashes before any action")
{
    for (std::size_t kind = 0; kind < ActionKinds; ++kind) {
        for (int countdown = 1; countdown <= 5; ++countdown) {
            CAPTURE(kind);
            CAPTURE(countdown);
            ChangeRig rig = rigWithWrites({"s1", "s2", "s3", "s4", "s5"});
            rig.kill("s1");
            int left = countdown;
            rig.onAction = [&](const ChangeAction &action) {
                const ServerId &chosen = rig.change->chosen();
                if (!chosen.isEmpty() && action.index() == kind && --left == 0)
                    rig.kill(chosen.text());
            };
            rig.begin("c1", First);
            REQUIRE(rig.runUntilOver());
            if (!rig.primary().isUp) {
                rig.begin("c2", rig.record().primary);
                REQUIRE(rig.runUntilOver());
            }
            CHECK(rig.primary().isUp);
            checkSafe(rig);
        }
    }
}

TEST_CASE("two concurrent changes never share a term, and the group ends in a consistent state")
{
    for (int head = 1; head < 20; ++head) {
        CAPTURE(head);
        ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
        rig.kill("s1");
        rig.begin("c1", First);
        for (int i = 0; i < head && !rig.change->isOver(); ++i)
            rig.step();
        auto first = std::move(rig.change);
        const std::deque<ChangeAction> firstQueue = std::exchange(rig.queue, {});
        rig.begin("c2", First);
        REQUIRE(rig.runUntilOver());
        checkSafe(rig);
        // The first leader resumes after a pause and continues its outdated change.
        rig.change = std::move(first);
        rig.queue = firstQueue;
        rig.runUntilOver();
        checkSafe(rig);
    }
}

TEST_CASE("answers of an earlier attempt are ignored")
{
    ChangeRig rig({"s1", "s2", "s3"});
    rig.kill("s1");
    rig.begin("c1", First);
    while (rig.change->state() != "fencing")
        rig.step();
    const Term term = rig.change->term();
    CHECK(rig.change->onFenced(ServerId("s2"), {term - 1, {1, 9}, {1, 9}}, rig.now).empty());
    CHECK(rig.change->onPromoted(ServerId("s2"), {term, {term, 2}}, rig.now).empty());
    CHECK(rig.change
                  ->onPosition(ServerId("s2"), {term, ServerRole::Replica, {term, 2}, {term, 2}},
                               rig.now)
                  .empty());
    CHECK(rig.change->state() == "fencing");
    CHECK(rig.runUntilOver());
}

TEST_CASE("an old primary that was paused during the change has no majority and drops its writes")
{
    ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
    rig.kill("s1"); // paused: it keeps its state, but doesn't answer
    rig.begin("c1", First);
    REQUIRE(rig.runUntilOver());
    rig.group.servers.at(First).isUp = true;
    // It still considers itself primary of its old term, but no other server is in that term.
    CHECK(rig.group.servers.at(First).term == 1);
    int followers = 0;
    for (const auto &[id, server] : rig.group.servers)
        followers += server.term == 1 ? 1 : 0;
    CHECK(followers == 1);
    rig.group.follow({First, rig.record().term, rig.record().primary, rig.record().voters});
    rig.group.replicate(First);
    CHECK_FALSE(rig.group.servers.at(First).holds(2));
    CHECK(rig.group.servers.at(First).holds(1));
}

TEST_CASE("no acknowledged write is lost if a second server fails right after a voter is replaced")
{
    ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
    rig.group.servers[ServerId("s4")].log.clear();
    rig.kill("s1");
    rig.begin("c1", First, {"s4", "s2", "s3"});
    REQUIRE(rig.runUntilOver());
    CHECK(rig.record().voters == serversNamed({"s4", "s2", "s3"}));
    CHECK(rig.record().pendingVoters.empty());
    checkSafe(rig);
    rig.group.replicate(ServerId("s4"));

    const ServerId second = rig.record().primary;
    rig.kill(second.text());
    rig.begin("c2", second);
    REQUIRE(rig.runUntilOver());
    CHECK(rig.record().primary != second);
    checkSafe(rig);
}

TEST_CASE("while a change of voters is pending, a majority of both sets must be fenced")
{
    struct Row
    {
        const char *name;
        std::vector<std::string> down;
        bool isPossible;
    };
    const Row rows[] = {
            {"majorities of both sets answer", {"s1"}, true},
            {"no majority of the old voters", {"s1", "s2"}, false},
            {"no majority of the pending voters", {"s4", "s2"}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ChangeRig rig = rigWithWrites({"s1", "s2", "s3"});
        rig.group.servers[ServerId("s4")].log.clear();
        rig.ledger.apply(2,
                         encode({GroupCommandKind::Reserve,
                                 rig.database,
                                 2,
                                 "lost",
                                 {},
                                 serversNamed({"s4", "s2", "s3"})}));
        for (const std::string &id : row.down)
            rig.kill(id);
        rig.begin("c1", std::nullopt);
        CHECK(rig.runUntilOver(10s) == row.isPossible);
        if (row.isPossible)
            checkSafe(rig);
        else
            CHECK_FALSE(rig.hasSent(FenceIndex));
    }
}
