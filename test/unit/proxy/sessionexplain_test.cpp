// Explanations of where requests would go.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>
#include <functional>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const WorkspaceName Capped("capped");
const ServerId Primary("p");

struct ExplainFixture : SessionProxyFixture
{
    ExplainFixture()
    {
        RouteTable table = *routes;
        table.revision = 2;
        table.workspaces.emplace().add({Capped, 1, {10, 20}}, {KeyDigest("k")});
        table.workspaces->add({WorkspaceName("free"), 1, {}}, {KeyDigest("f")});
        proxy.setRoutes(std::make_shared<RouteTable>(table), now);
    }
    RouteExplanation explain(const RouteQuestion &question) const
    {
        return std::get<RouteExplanation>(proxy.explain(question, now));
    }
};

RouteQuestion question(const char *database, bool isWrite = false)
{
    return {DatabaseName(database), isWrite, {}, {}};
}

} // namespace

// Guards against explanations of requests that can't exist.
TEST_CASE("a question that has no answer is told by its fault")
{
    ExplainFixture fixture;
    RouteQuestion unknownWorkspace = question("casks");
    unknownWorkspace.workspace = WorkspaceName("other");
    RouteQuestion agedWrite = question("aged", true);
    agedWrite.largestAge = 1s;
    RouteQuestion agedLatest = question("casks");
    agedLatest.largestAge = 1s;
    const std::pair<RouteQuestion, QuestionFault> rows[] = {
            {question("nowhere"), QuestionFault::UnknownDatabase},
            {unknownWorkspace, QuestionFault::UnknownWorkspace},
            {agedWrite, QuestionFault::AgeNotApplicable},
            {agedLatest, QuestionFault::AgeNotApplicable},
    };
    for (const auto &[asked, fault] : rows)
        CHECK((std::get<QuestionFault>(fixture.proxy.explain(asked, fixture.now)) == fault));
    fixture.proxy.setRoutes(std::make_shared<RouteTable>(), fixture.now);
    CHECK((std::get<QuestionFault>(fixture.proxy.explain(question("casks"), fixture.now))
           == QuestionFault::NoRoutes));
}

// Guards against explanations that differ from what happens to a request in the same state.
TEST_CASE("the outcome of a request is explained in each state of the proxy")
{
    const auto loseServers = [](ExplainFixture &fixture) {
        for (auto &[id, server] : fixture.servers)
            server.leavingSince = fixture.now;
        fixture.announceServers();
    };
    const auto losePrimary = [](ExplainFixture &fixture) {
        fixture.server("p").announcement.isPrimary = false;
        fixture.announceServers();
    };
    const auto shortenTimeouts = [](ExplainFixture &fixture) {
        RouteTable table = *fixture.routes;
        for (auto &[database, route] : table.routes) {
            route.latencyObjective = 40ms;
            route.statementTimeout = 50ms;
        }
        fixture.proxy.setRoutes(std::make_shared<RouteTable>(table), fixture.now);
    };
    struct Row
    {
        const char *database;
        bool isWrite;
        std::function<void(ExplainFixture &)> change;
        RouteOutcome outcome;
        const char *reason;
    };
    const Row rows[] = {
            {"casks", true, [](auto &) {}, RouteOutcome::Server, "this server is the primary"},
            {"casks", false, [](auto &) {}, RouteOutcome::Server,
             "this server has the lowest expected cost; a proof of position is requested first"},
            {"aged", false,
             [](auto &fixture) {
                 fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now, {1, 10},
                                         fixture.now);
             },
             RouteOutcome::Server, "this server has the lowest expected cost"},
            {"casks", true, [](auto &fixture) { fixture.proxy.isolate(); }, RouteOutcome::Refused,
             "this VM is cut off from the primary"},
            {"casks", false,
             [](auto &fixture) {
                 fixture.server("p").announcement.failureDomain = FailureDomain("b");
                 fixture.announceServers();
                 fixture.proxy.isolate();
             },
             RouteOutcome::Refused, "this VM is cut off from the primary"},
            {"casks", true, losePrimary, RouteOutcome::Waits, "no primary is known"},
            {"casks", false, losePrimary, RouteOutcome::Waits, "no primary is known"},
            {"casks", true,
             [&](auto &fixture) {
                 losePrimary(fixture);
                 shortenTimeouts(fixture);
             },
             RouteOutcome::Refused, "no primary is known"},
            {"casks", false, loseServers, RouteOutcome::Waits, "no server is left to ask"},
            {"casks", true,
             [&](auto &fixture) {
                 fixture.proxy.setLeaveTime(0s);
                 loseServers(fixture);
             },
             RouteOutcome::Waits, "the server's time to leave is over"},
            {"casks", true,
             [](auto &fixture) {
                 fixture.proxy.noteServerEvidence(Primary, ServerEvidence::Refuses, fixture.now);
             },
             RouteOutcome::Server,
             "this server is the primary, but it fails; the write waits until it answers"},
            {"casks", true, [](auto &fixture) { fixture.proxy.refuseSessions(); },
             RouteOutcome::Refused, "this VM accepts no new sessions"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.reason);
        CAPTURE(row.isWrite);
        ExplainFixture fixture;
        row.change(fixture);
        const RouteExplanation explanation = fixture.explain(question(row.database, row.isWrite));
        CHECK(explanation.reason == row.reason);
        CHECK((explanation.outcome == row.outcome));
        CHECK(explanation.server.has_value() == (row.outcome == RouteOutcome::Server));
        CHECK(explanation.readers.candidates.size() == 3);
    }
}

// Guards against a need that ignores the largest age of the route or of the question.
TEST_CASE("a read needs the proof that its age allows, or one that isn't there yet")
{
    ExplainFixture fixture;
    fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now - 300ms, {1, 10}, fixture.now);
    const auto aged = fixture.explain(question("aged"));
    REQUIRE(aged.need.has_value());
    CHECK(aged.need->position == LogPosition {1, 10});
    CHECK((aged.need->proofAge == Duration(300ms)));
    CHECK_FALSE(fixture.explain(question("casks")).need);
    RouteQuestion younger = question("aged");
    younger.largestAge = 200ms;
    CHECK_FALSE(fixture.explain(younger).need);
}

// Guards against an explanation that names a server while the cap refuses all operations.
TEST_CASE("the workspace's cap is reported, and a refusal that is repeated")
{
    ExplainFixture fixture;
    RouteQuestion asked = question("casks", true);
    asked.workspace = WorkspaceName("free");
    CHECK_FALSE(fixture.explain(asked).cap.isSet());
    asked.workspace = Capped;
    CHECK(fixture.explain(asked).cap == OperationCap {10, 20});
    CHECK((fixture.explain(asked).outcome == RouteOutcome::Server));
    fixture.session(1, "casks", KeyDigest("k"));
    fixture.ask(1, StatementKind::Write, "q1", "x 1");
    fixture.proxy.lent(Capped, {0, 100ms}, fixture.now);
    const auto refused = fixture.explain(asked);
    CHECK((refused.outcome == RouteOutcome::Refused));
    CHECK(refused.reason == fixture.answerTo("q1")->detail);
}

// The connection tells the caller through which home the request would go.
TEST_CASE("the idle connection that a request would use is named")
{
    ExplainFixture fixture;
    RouteQuestion asked = question("casks", true);
    CHECK(fixture.explain(asked).idleConnection == 0);
    asked.workspace = WorkspaceName("free");
    fixture.session(1, "casks", KeyDigest("f"));
    fixture.ask(1, StatementKind::Write, "q1", "x 1");
    fixture.serve();
    REQUIRE_FALSE(fixture.attemptsOf("q1").empty());
    CHECK(fixture.explain(asked).idleConnection == fixture.attemptsOf("q1").front().connection);
}

// Guards against explanations that ask a server or a lender for something, or count as aged reads.
TEST_CASE("explaining has no side effects")
{
    ExplainFixture fixture;
    fixture.serve();
    const TimePoint wakeAt = fixture.proxy.wakeAt();
    for (int i = 0; i < 100; ++i) {
        for (const char *database : {"casks", "aged", "own"}) {
            RouteQuestion asked = question(database, i % 2 == 0);
            asked.workspace = Capped;
            fixture.explain(asked);
        }
    }
    CHECK(fixture.sentCommands.empty());
    CHECK(fixture.workspaceOf.empty()); // no connection was requested
    CHECK(fixture.loanRequests.empty());
    CHECK(fixture.proxy.agedServices(fixture.now).empty());
    CHECK(fixture.proxy.wakeAt() == wakeAt);
}
