// Fair sharing of a server and of its connections between workspaces at a home.
#include "unit/proxy/serverhomefixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

struct FairHome : ServerHomeFixture
{
    explicit FairHome(int connections = 0)
    {
        home.setBalancedServices({ServiceName("db")});
        home.setWorkspacePriorities({{WorkspaceName("alder"), 0}, {WorkspaceName("birch"), 0}});
        home.setConnectionLimits({{ServiceName("db"), connections}});
    }

    // Sends a statement on a new lane.
    void askFor(const std::string &workspace, const std::string &request, Urgency urgency = {1, 1s},
                ServerCommandKind kind = ServerCommandKind::Read)
    {
        home.take({1, ++lastLane}, {Server, WorkspaceName(workspace)}, {command(kind, request)},
                  urgency, now);
        openAll();
    }
    // Opens transactions, whose connections stay in use.
    void begin(const std::string &workspace, int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string request = workspace + std::to_string(lastLane);
            askFor(workspace, request, {1, 1s}, ServerCommandKind::Begin);
            if (wasSent(request))
                answer(request, TransactionState::Open);
        }
    }
    // Leaves so many idle connections of the workspace.
    void leaveIdle(const std::string &workspace, int count)
    {
        std::vector<std::string> requests;
        for (int i = 0; i < count; ++i) {
            requests.push_back(workspace + std::to_string(lastLane));
            askFor(workspace, requests.back());
            REQUIRE(wasSent(requests.back()));
        }
        for (const std::string &request : requests)
            answer(request);
    }
    int connectionsOf(const std::string &workspace) const
    {
        return static_cast<int>(
                std::count_if(workspaceOf.begin(), workspaceOf.end(), [&](const auto &item) {
                    return item.second == WorkspaceName(workspace)
                            && std::count(closed.begin(), closed.end(), item.first) == 0;
                }));
    }

    std::uint64_t lastLane = 0;
};

} // namespace

// Guards against a workspace whose statements wait behind all of another one's.
TEST_CASE("a workspace with one statement doesn't wait behind another one's many")
{
    for (const bool hasWorkspaces : {false, true}) {
        CAPTURE(hasWorkspaces);
        FairHome fixture;
        if (!hasWorkspaces)
            fixture.home.setWorkspacePriorities({});
        fixture.leaveIdle("birch", 1);
        for (int i = 0; i < 10; ++i)
            fixture.askFor("alder", "a" + std::to_string(i), {1, 500ms});
        fixture.askFor("birch", "b", {1, 501ms});
        fixture.answer("a0");
        fixture.answer("a1");
        CHECK(fixture.wasSent("b") == hasWorkspaces);
    }
}

// Guards against statements that are dropped without an answer, or answered twice.
TEST_CASE("a statement that a home sheds is answered once, with Busy")
{
    FairHome fixture;
    const int count = static_cast<int>(HomeQueue::MaxFairLength) + 10;
    for (int i = 0; i < count; ++i)
        fixture.askFor("alder", "a" + std::to_string(i), {3, 60s});
    const std::size_t refused = fixture.replies.size();
    CHECK(refused > 0);
    fixture.askFor("birch", "b", {1, 60s});
    CHECK(fixture.home.shedCount() == 1);
    REQUIRE(fixture.replies.size() == refused + 1);
    const ServerHomeFixture::Replied &last = fixture.replies.back();
    CHECK((last.reply.fault == StatementFault::Busy));
    CHECK_FALSE(fixture.wasSent("a" + std::to_string(last.lane.lane - 1)));
}

// Guards against proofs that wait for a slot, which they don't need.
TEST_CASE("a proof goes to a full server even when it is another rank's turn")
{
    FairHome fixture;
    fixture.begin("alder", 1 + HomeQueue::MaxUrgentInRow);
    fixture.leaveIdle("birch", 1);
    fixture.home.setHomeCounts({{ServerHomeFixture::Server, 4}}); // one slot for this home
    fixture.askFor("birch", "b1");
    fixture.askFor("birch", "b2");
    for (std::uint64_t lane = 1; lane <= 1 + HomeQueue::MaxUrgentInRow; ++lane)
        fixture.ask(lane, ServerHomeFixture::read("t" + std::to_string(lane)));
    fixture.answer("b1");
    for (int lane = 1; lane < HomeQueue::MaxUrgentInRow; ++lane)
        fixture.answer("t" + std::to_string(lane), TransactionState::Open);
    REQUIRE(fixture.unanswered.size() == 1);
    REQUIRE_FALSE(fixture.wasSent("b2"));
    fixture.home.take({1, 999}, {ServerHomeFixture::Server, {}},
                      {ServerHomeFixture::command(ServerCommandKind::Begin, "proof"),
                       ServerHomeFixture::command(ServerCommandKind::Rollback)},
                      {0, 50ms}, fixture.now);
    fixture.openAll();
    CHECK(fixture.wasSent("proof"));
    // The statement of the other rank is next, before the rest of the transactions.
    fixture.answer("t" + std::to_string(HomeQueue::MaxUrgentInRow), TransactionState::Open);
    CHECK(fixture.wasSent("b2"));
    CHECK_FALSE(fixture.wasSent("t" + std::to_string(1 + HomeQueue::MaxUrgentInRow)));
}

// Guards against a workspace whose open transactions hold all connections of a home.
TEST_CASE("a workspace leaves a part of a home's connections to others")
{
    FairHome fixture(15); // 12 for this home
    fixture.begin("alder", 20);
    CHECK(fixture.connectionsOf("alder") == 9);
    fixture.askFor("birch", "b");
    CHECK(fixture.wasSent("b"));
}

TEST_CASE("the connection of the workspace most above its share gives way, then the oldest")
{
    struct Row
    {
        const char *what;
        std::vector<std::pair<const char *, int>> idle; // from the oldest on
        int birchPriority;
        const char *evicted;
    };
    const Row rows[] = {
            {"one each", {{"alder", 1}, {"birch", 1}, {"cedar", 1}, {"dogwood", 1}}, 0, "alder"},
            {"more of one", {{"alder", 1}, {"birch", 3}}, 0, "birch"},
            {"of a lower priority", {{"alder", 2}, {"birch", 2}}, 1, "birch"},
            {"of a higher priority", {{"birch", 2}, {"alder", 2}}, -1, "alder"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FairHome fixture(7); // 4 for this home
        fixture.home.setWorkspacePriorities({{WorkspaceName("birch"), row.birchPriority}});
        for (const auto &[workspace, count] : row.idle) {
            fixture.leaveIdle(workspace, count);
            fixture.advanceTime(1ms);
        }
        fixture.askFor("elm", "e");
        CHECK(fixture.wasSent("e"));
        REQUIRE(fixture.closed.size() == 1);
        CHECK(fixture.workspaceOf.at(fixture.closed.front()) == WorkspaceName(row.evicted));
        CHECK(fixture.home.evictedCount() == 1);
    }
}

// Guards against connections that are closed and opened in turn, each at the cost of a slot.
TEST_CASE("another workspace's connection isn't closed where an own one is soon free")
{
    struct Row
    {
        const char *what;
        Duration answerTime;
        int idleOfBirch;
        std::size_t closed;
    };
    const Row rows[] = {
            {"short statements", 5ms, 3, 0},
            {"long statements", 200ms, 3, 1},
            {"long statements, but none is above its share", 200ms, 1, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FairHome fixture(7); // 4 for this home
        for (int i = 0; i < 50; ++i) {
            fixture.askFor("alder", "a" + std::to_string(i));
            fixture.advanceTime(row.answerTime);
            fixture.answer("a" + std::to_string(i));
        }
        fixture.leaveIdle("birch", row.idleOfBirch);
        for (int other = row.idleOfBirch; other < 3; ++other)
            fixture.leaveIdle("w" + std::to_string(other), 1);
        fixture.askFor("alder", "x");
        fixture.askFor("alder", "y");
        CHECK(fixture.closed.size() == row.closed);
        CHECK(fixture.wasSent("y") == (row.closed > 0));
    }
}
