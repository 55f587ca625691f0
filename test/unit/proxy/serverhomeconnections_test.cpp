#include "nutmegtide/proxy/serverhome.h"

#include "unit/proxy/serverhomefixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// Sends a read of the workspace on its lane, and opens what the home requests.
void askFor(ServerHomeFixture &fixture, std::uint64_t lane, const std::string &workspace,
            const std::string &request)
{
    fixture.home.take({1, lane}, {ServerHomeFixture::Server, WorkspaceName(workspace)},
                      {ServerHomeFixture::read(request)}, {1, 50ms}, fixture.now);
    fixture.openAll();
}

WorkspaceName workspaceFor(const ServerHomeFixture &fixture, const std::string &request)
{
    return fixture.workspaceOf.at(fixture.connectionOf(request));
}

} // namespace

TEST_CASE("a statement runs on a connection of its own workspace")
{
    ServerHomeFixture fixture;
    for (int round = 0; round < 3; ++round) {
        for (const char *workspace : {"alder", "birch", "cedar"}) {
            const std::string request = workspace + std::to_string(round);
            const auto lane = static_cast<std::uint64_t>(fixture.sent.size() + 1);
            askFor(fixture, lane, workspace, request);
            REQUIRE(fixture.wasSent(request));
            CHECK(workspaceFor(fixture, request) == WorkspaceName(workspace));
            fixture.answer(request);
        }
    }
    CHECK(fixture.home.connectionCount() == 3);
}

TEST_CASE("a home stays within its share of the connections, whatever the number of workspaces")
{
    struct Row
    {
        int limit;
        int homes;
        std::size_t most;
    };
    const Row rows[] = {{42, 1, 37}, {42, 3, 12}, {20, 2, 8}, {0, 3, 100}};
    for (const Row &row : rows) {
        CAPTURE(row.limit);
        CAPTURE(row.homes);
        ServerHomeFixture fixture;
        fixture.home.setConnectionLimits({{ServiceName("db"), row.limit}});
        fixture.home.setHomeCounts({{ServerHomeFixture::Server, row.homes}});
        for (std::uint64_t lane = 1; lane <= 100; ++lane) {
            const std::string request = "q" + std::to_string(lane);
            askFor(fixture, lane, "w" + std::to_string(lane), request);
            CHECK(fixture.home.connectionCount() <= row.most);
            fixture.answer(request);
        }
        CHECK(fixture.home.connectionCount() == row.most);
    }
}

TEST_CASE("the connection that was unused for longest gives way to another workspace's")
{
    ServerHomeFixture fixture;
    fixture.home.setConnectionLimits({{ServiceName("db"), 7}}); // 4 for this home
    for (const char *workspace : {"a", "b", "c", "d", "a", "e"}) {
        const std::string request = workspace + std::to_string(fixture.sent.size());
        askFor(fixture, fixture.sent.size() + 1, workspace, request);
        fixture.answer(request);
    }
    REQUIRE(fixture.closed.size() == 1);
    CHECK(fixture.workspaceOf.at(fixture.closed.front()) == WorkspaceName("b"));
}

TEST_CASE("proofs of position run on a connection of any workspace")
{
    ServerHomeFixture fixture;
    askFor(fixture, 1, "alder", "q1");
    fixture.answer("q1");
    fixture.home.take({1, 2}, {ServerHomeFixture::Server, {}},
                      {ServerHomeFixture::command(ServerCommandKind::Begin),
                       ServerHomeFixture::command(ServerCommandKind::Rollback)},
                      {0, 50ms}, fixture.now);
    CHECK(fixture.opening.empty());
    CHECK(fixture.unanswered.size() == 1);
}

// Pattern: a server is full while it still counts the connections of lost processes, and a home's
// few connections belong to other workspaces than those that wait.
TEST_CASE("at a full server a home exchanges its own connections at once and asks for more slowly")
{
    ServerHomeFixture fixture;
    fixture.home.setConnectionLimits({{ServiceName("db"), 42}});
    for (const char *workspace : {"a", "b"}) {
        askFor(fixture, fixture.sent.size() + 1, workspace, workspace);
        fixture.answer(workspace);
    }
    const auto ask = [&fixture](std::uint64_t lane, const char *workspace) {
        fixture.home.take({1, lane}, {ServerHomeFixture::Server, WorkspaceName(workspace)},
                          {ServerHomeFixture::read(workspace)}, {1, 300ms}, fixture.now);
    };
    ask(3, "c");
    REQUIRE(fixture.opening.size() == 1);
    const ConnectionKey refused = fixture.opening.front();
    fixture.home.refused(refused, StatementFault::TooManyConnections, fixture.now);
    CHECK(fixture.home.connectionCount() == 2);

    // Both that wait get the place of an unused connection.
    ask(4, "d");
    CHECK(fixture.opening.size() == 2);
    CHECK(fixture.home.connectionCount() == 2);
    fixture.openAll();
    CHECK(fixture.wasSent("c"));
    CHECK(fixture.wasSent("d"));

    // One more is asked for after a pause, since the server may have room again.
    ask(5, "e");
    CHECK(fixture.opening.empty());
    fixture.advanceTime(ConnectionLimitPause + 50ms);
    CHECK(fixture.opening.size() == 1);
    CHECK(fixture.home.connectionCount() == 3);
}
