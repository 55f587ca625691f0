// Fair sharing of a home's queue between workspaces and classes.
#include "unit/proxy/fairnessmodel.h"

#include <doctest/doctest.h>

#include <set>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

using Tickets = std::vector<HomeQueue::Ticket>;

constexpr Duration PerStatement = 5ms;
const TimePoint Start {100s};

struct FairQueue : HomeQueue
{
    FairQueue() { setFair(true); }

    bool ask(Ticket ticket, const std::string &workspace, const Urgency &urgency, int priority = 0)
    {
        return add(ticket, urgency, PerStatement, Start, {WorkspaceName(workspace), priority});
    }
    Tickets order() const
    {
        Tickets order;
        for (const Item &item : items())
            order.push_back(item.ticket);
        return order;
    }
    Ticket startFirst()
    {
        const Ticket first = items().front().ticket;
        start(first);
        return first;
    }
};

} // namespace

// Guards against a workspace or a class that takes the capacity of the others: one workspace at 5.5
// times its usual load, a burst of the lowest class at 2.2 times, both, and many small workspaces.
TEST_CASE("a surge of one workspace or class leaves the others their share")
{
    for (const FairnessLoad &load : FairnessLoads) {
        for (const std::uint64_t seed : {1, 2}) {
            CAPTURE(load.name);
            CAPTURE(seed);
            const FairnessOutcome byRank = FairnessModel(load, false, seed).run(60s);
            const FairnessOutcome fair = FairnessModel(load, true, seed).run(60s);
            CHECK(isWithinBounds(load, byRank, fair));
            if (load.workspaceFactor > 1) {
                CHECK(fair.others.share() > byRank.others.share() + 0.08);
                // The others leave it what they don't use.
                CHECK(fair.surging.share() > 1 / load.workspaceFactor);
            }
        }
    }
}

TEST_CASE("workspaces take turns, and within one the earliest deadline is first")
{
    FairQueue queue;
    queue.ask(1, "alder", {1, 120ms, 10ms});
    queue.ask(2, "alder", {1, 80ms, 10ms});
    queue.ask(3, "alder", {1, 100ms, 10ms});
    queue.ask(4, "birch", {1, 140ms, 10ms});
    CHECK(queue.order() == Tickets {2, 4, 3, 1});
}

TEST_CASE("the priority of a workspace and the rank give the weight")
{
    struct Row
    {
        const char *what;
        int rank;
        int priority;
        Duration work;
        int before; // statements of the other workspace that go first
    };
    const Row rows[] = {
            {"the same weight", 1, 0, 10ms, 1},   {"the next rank", 2, 0, 10ms, 4},
            {"the next priority", 1, 1, 10ms, 2}, {"a better priority", 1, -1, 10ms, 0},
            {"longer statements", 1, 0, 30ms, 3},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FairQueue queue;
        for (HomeQueue::Ticket ticket = 1; ticket <= 6; ++ticket)
            queue.ask(ticket, "alder", {1, 100ms, 10ms});
        queue.ask(7, "birch", {row.rank, 101ms, row.work}, row.priority);
        int before = 0;
        while (queue.startFirst() != 7)
            ++before;
        // The deadline decides where two have the same round.
        CHECK(before >= row.before);
        CHECK(before <= row.before + 1);
    }
}

// Guards against transactions that keep all others from the server.
TEST_CASE("statements of open transactions go first, within a bound")
{
    FairQueue queue;
    HomeQueue::Ticket last = 0;
    for (; last < 3; ++last)
        queue.ask(last + 1, "alder", {1, 1s, 10ms});
    std::set<int> gaps;
    int gap = 0;
    while (queue.items().size() > 0 && last < 100) {
        queue.ask(++last, "birch", {0, 1s, 10ms});
        if (queue.startFirst() > 3) {
            ++gap;
            continue;
        }
        gaps.insert(gap);
        gap = 0;
        if (gaps.size() > 1)
            break;
    }
    CHECK(gaps == std::set<int> {HomeQueue::MaxUrgentInRow});
}

// Guards against proofs, which take no slot, that use up the turns of open transactions.
TEST_CASE("a statement that is removed without a slot takes no turn")
{
    FairQueue queue;
    queue.ask(1, "alder", {1, 1s, 10ms});
    for (HomeQueue::Ticket ticket = 2; ticket < 50; ++ticket) {
        queue.ask(ticket, "", {0, 1s});
        REQUIRE(queue.items().front().ticket == ticket);
        queue.remove(ticket);
    }
}

TEST_CASE("a statement that would be late is refused, or takes the place of ones of less value")
{
    struct Row
    {
        const char *what;
        int workspaces; // that have sent the statements of rank 3 that wait
        Urgency urgency;
        bool isAccepted;
        std::size_t shed;
    };
    const Row rows[] = {
            {"in time", 1, {1, 100ms, 30ms}, true, 0},
            {"late, behind many of one workspace", 1, {1, 15ms, 400ms}, true, 2},
            {"late, behind the first one of each workspace", 20, {1, 15ms, 400ms}, false, 0},
            {"late, behind its own class", 1, {3, 15ms, 400ms}, false, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FairQueue queue;
        for (HomeQueue::Ticket ticket = 1; ticket <= 20; ++ticket) {
            REQUIRE(queue.ask(ticket, "w" + std::to_string(int(ticket) % row.workspaces),
                              {3, 150ms, 5ms}));
        }
        CHECK(queue.ask(21, "alder", row.urgency) == row.isAccepted);
        CHECK(queue.takeShed().size() == row.shed);
        CHECK(queue.items().size() == 20 + (row.isAccepted ? 1 : 0) - row.shed);
    }
}

// Guards against statements that wait until their deadline although better ones have taken their time.
TEST_CASE("statements that can't start in time any more are removed at once")
{
    FairQueue queue;
    for (HomeQueue::Ticket ticket = 1; ticket <= 20; ++ticket)
        REQUIRE(queue.ask(ticket, "w" + std::to_string(ticket), {3, 100ms, 10ms}));
    Tickets shed;
    for (HomeQueue::Ticket ticket = 21; ticket <= 60; ++ticket) {
        REQUIRE(queue.ask(ticket, "w" + std::to_string(ticket), {1, 400ms, 10ms}));
        for (const HomeQueue::Ticket one : queue.takeShed())
            shed.push_back(one);
    }
    CHECK_FALSE(shed.empty());
    for (const HomeQueue::Ticket ticket : shed)
        CHECK(ticket <= 20);
}

TEST_CASE("a full queue sheds the lowest class of the workspace that is most above its share")
{
    FairQueue queue;
    const Urgency patient {2, 10s, 10ms};
    for (HomeQueue::Ticket ticket = 1; ticket <= HomeQueue::MaxFairLength; ++ticket) {
        REQUIRE(queue.ask(ticket, ticket % 3 == 0 ? "alder" : "birch", patient));
        REQUIRE(queue.takeShed().empty());
    }
    const HomeQueue::Ticket newest = HomeQueue::MaxFairLength + 1;
    CHECK_FALSE(queue.ask(newest, "birch", patient));
    CHECK(queue.takeShed().empty());
    CHECK(queue.ask(newest + 1, "cedar", {1, 10s, 10ms}));
    const Tickets shed = queue.takeShed();
    REQUIRE(shed.size() == 1);
    CHECK(shed.front() % 3 != 0);
    CHECK(queue.items().size() == HomeQueue::MaxFairLength);
}

// Guards against statements that are lost or served twice when a configuration brings the first
// workspaces, or takes the last away.
TEST_CASE("what waits stays when sharing begins or ends")
{
    HomeQueue queue;
    queue.add(1, {2, 100ms}, PerStatement, Start);
    queue.add(2, {1, 100ms}, PerStatement, Start);
    queue.setFair(true);
    queue.add(3, {1, 100ms}, PerStatement, Start, {WorkspaceName("alder"), 0});
    REQUIRE(queue.items().size() == 3);
    queue.start(2);
    queue.setFair(false);
    REQUIRE(queue.items().size() == 2);
    CHECK(queue.items().front().ticket == 3);
    queue.start(3);
    queue.start(1);
    CHECK(queue.isEmpty());
}
