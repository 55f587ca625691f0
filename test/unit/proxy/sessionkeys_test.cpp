#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

using Keys = std::map<std::string, std::vector<std::string>>; // by workspace

// A SessionProxyFixture whose callers need the key of a workspace.
struct KeyedFixture : SessionProxyFixture
{
    explicit KeyedFixture(const Keys &keys = {{"alder", {"ka", "ka2"}}, {"birch", {"kb"}}})
    {
        apply(keys);
    }
    void apply(const Keys &keys)
    {
        RouteTable table = *routes;
        table.revision = ++revision;
        WorkspaceTable &workspaces = table.workspaces.emplace();
        for (const auto &[name, held] : keys) {
            std::vector<KeyDigest> digests;
            for (const std::string &key : held)
                digests.emplace_back(key);
            workspaces.add({WorkspaceName(name), 1, {}}, digests);
        }
        for (const std::string &database : publicDatabases)
            table.routes.at(DatabaseName(database)).isPublic = true;
        proxy.setRoutes(std::make_shared<RouteTable>(table), now);
    }
    void read(SessionKey session, const std::string &request)
    {
        ask(session, StatementKind::Read, request, "item");
    }
    std::optional<StatementFault> endOf(SessionKey session) const
    {
        const auto found = std::find_if(ended.begin(), ended.end(), [session](const auto &item) {
            return item.first == session;
        });
        REQUIRE(found != ended.end());
        return found->second;
    }
    bool hasEnded(SessionKey session) const
    {
        return std::any_of(ended.begin(), ended.end(),
                           [session](const auto &item) { return item.first == session; });
    }
    // Returns the workspace of the connection on which the request was sent.
    WorkspaceName workspaceFor(const std::string &request) const
    {
        for (const SentCommand &sent : sentCommands) {
            if (sent.command.request.text() == request)
                return workspaceOf.at(sent.connection);
        }
        FAIL("not sent: " << request);
        return {};
    }

    Revision revision = 1;
    std::set<std::string> publicDatabases;
};

} // namespace

TEST_CASE("a statement runs in the name of the workspace that holds its caller's key")
{
    KeyedFixture fixture;
    fixture.session(1, "own", KeyDigest("ka"));
    fixture.session(2, "own", KeyDigest("kb"));
    fixture.session(3, "own", KeyDigest("ka2"));
    for (SessionKey session = 1; session <= 3; ++session) {
        fixture.read(session, "q" + std::to_string(session));
        fixture.serve();
    }
    CHECK(fixture.workspaceFor("q1") == WorkspaceName("alder"));
    CHECK(fixture.workspaceFor("q2") == WorkspaceName("birch"));
    CHECK(fixture.workspaceFor("q3") == WorkspaceName("alder"));
}

TEST_CASE("a waiting statement never gets a connection that another workspace returns")
{
    KeyedFixture fixture;
    fixture.session(1, "casks", KeyDigest("ka"));
    fixture.session(2, "casks", KeyDigest("kb"));
    for (int round = 0; round < 20; ++round) {
        const std::string first = "a" + std::to_string(round);
        const std::string second = "b" + std::to_string(round);
        fixture.ask(1, StatementKind::Write, first, "item data");
        fixture.ask(2, StatementKind::Write, second, "item data");
        fixture.serve();
        CHECK(fixture.workspaceFor(first) == WorkspaceName("alder"));
        CHECK(fixture.workspaceFor(second) == WorkspaceName("birch"));
    }
}

TEST_CASE("callers without a known key are refused, except on public routes")
{
    struct Row
    {
        const char *database;
        KeyDigest key;
        std::optional<StatementFault> fault;
    };
    KeyedFixture fixture;
    fixture.publicDatabases = {"aged"};
    fixture.apply({{"alder", {"ka"}}});
    const Row rows[] = {{"casks", KeyDigest("unknown"), StatementFault::Unauthorized},
                        {"casks", {}, StatementFault::Unauthorized},
                        {"nowhere", KeyDigest("ka"), StatementFault::UnknownDatabase},
                        {"nowhere", {}, StatementFault::UnknownDatabase},
                        {"casks", KeyDigest("ka"), std::nullopt},
                        {"aged", KeyDigest("ka"), std::nullopt},
                        {"aged", KeyDigest("unknown"), std::nullopt},
                        {"aged", {}, std::nullopt}};
    SessionKey session = 0;
    for (const Row &row : rows) {
        CAPTURE(session);
        fixture.session(++session, row.database, row.key);
        REQUIRE(fixture.hasEnded(session) == row.fault.has_value());
        if (row.fault)
            CHECK((fixture.endOf(session) == row.fault));
    }
}

TEST_CASE("many unknown keys in a row leave nothing behind")
{
    KeyedFixture fixture;
    for (SessionKey session = 1; session <= 100'000; ++session)
        fixture.session(session, "casks", KeyDigest("k" + std::to_string(session)));
    CHECK(fixture.proxy.sessionCount() == 0);
}

TEST_CASE("no key is needed where the configuration knows no workspaces")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks", KeyDigest("any"));
    fixture.ask(1, StatementKind::Read, "q1", "item");
    fixture.serve();
    CHECK_FALSE(fixture.answerTo("q1")->fault);
}

TEST_CASE("sessions of a removed key end without cutting a request")
{
    KeyedFixture fixture;
    for (SessionKey session = 1; session <= 4; ++session)
        fixture.session(session, "casks", KeyDigest("ka"));
    fixture.session(5, "casks", KeyDigest("ka2"));
    fixture.read(2, "running");
    fixture.ask(3, StatementKind::Begin, "begin");
    fixture.ask(3, StatementKind::Write, "in-transaction", "item data");
    fixture.ask(4, StatementKind::Begin, "begin-4");
    fixture.serve();
    fixture.read(2, "running-2");
    fixture.apply({{"alder", {"ka2"}}, {"birch", {"kb"}}});
    CHECK_FALSE(fixture.endOf(1)); // it was idle
    CHECK_FALSE(fixture.hasEnded(2));
    fixture.serve();
    CHECK_FALSE(fixture.answerTo("running-2")->fault);
    CHECK_FALSE(fixture.endOf(2));
    CHECK_FALSE(fixture.hasEnded(3));
    fixture.ask(3, StatementKind::Commit, "commit"); // in time
    fixture.serve();
    CHECK_FALSE(fixture.answerTo("commit")->fault);
    CHECK_FALSE(fixture.endOf(3));
    CHECK_FALSE(fixture.hasEnded(4));
    fixture.advanceTime(3s); // the open transaction got no further statement
    CHECK(fixture.hasEnded(4));
    CHECK_FALSE(fixture.hasEnded(5)); // another key of the workspace
    CHECK(fixture.refusals.size() == 4);
    CHECK(fixture.refusals.front().workspace == WorkspaceName("alder"));
}

TEST_CASE("a transaction whose key was removed is refused as rolled back once its time is over")
{
    KeyedFixture fixture;
    fixture.proxy.setRevocationTime(50ms); // shorter than the interval of the checks
    fixture.session(1, "casks", KeyDigest("ka"));
    fixture.ask(1, StatementKind::Begin, "begin");
    fixture.ask(1, StatementKind::Write, "write", "item data");
    fixture.serve();
    fixture.apply({{"alder", {}}});
    fixture.now += 30ms;
    fixture.ask(1, StatementKind::Commit, "commit");
    fixture.serve();
    CHECK((fixture.answerTo("commit")->fault == StatementFault::Aborted));
    CHECK(fixture.hasEnded(1));
    const bool wasCommitted = std::any_of(fixture.sentCommands.begin(), fixture.sentCommands.end(),
                                          [](const SentCommand &sent) {
                                              return sent.command.kind == ServerCommandKind::Commit;
                                          });
    CHECK_FALSE(wasCommitted);
}

TEST_CASE("changes of keys apply to sessions in whatever order they come")
{
    struct Row
    {
        const char *what;
        Keys after;
        bool ends;
    };
    const Row rows[] = {{"unchanged", {{"alder", {"ka"}}, {"birch", {"kb"}}}, false},
                        {"moved to another workspace",
                         {{"alder", {}}, {"birch", {"ka", "kb"}}},
                         true},
                        {"its workspace lost all keys", {{"alder", {}}, {"birch", {"kb"}}}, true},
                        {"its workspace was removed", {{"birch", {"kb"}}}, true},
                        {"a key was added", {{"alder", {"ka", "kc"}}, {"birch", {"kb"}}}, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        KeyedFixture fixture({{"alder", {"ka"}}, {"birch", {"kb"}}});
        fixture.session(1, "casks", KeyDigest("ka"));
        fixture.apply(row.after);
        CHECK(fixture.hasEnded(1) == row.ends);
        fixture.apply({{"alder", {"ka"}}});
        fixture.session(2, "casks", KeyDigest("ka"));
        CHECK_FALSE(fixture.hasEnded(2));
    }
}
