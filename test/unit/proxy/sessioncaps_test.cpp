#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const WorkspaceName Casks("casks-workspace");

// A SessionProxyFixture with one workspace that has a cap. The test plays its lender.
struct CappedFixture : SessionProxyFixture
{
    CappedFixture()
    {
        RouteTable table = *routes;
        table.revision = 2;
        table.workspaces.emplace().add({Casks, 1, {10, 10}}, {KeyDigest("k")});
        proxy.setRoutes(std::make_shared<RouteTable>(table), now);
    }
    void session(SessionKey key) { SessionProxyFixture::session(key, "casks", KeyDigest("k")); }
    void write(SessionKey session, const std::string &request)
    {
        ask(session, StatementKind::Write, request, "item data");
    }
    void lend(int granted)
    {
        proxy.lent(Casks, {granted, 100ms}, now);
        serve();
    }
    bool wasSent(const std::string &request) const
    {
        return std::any_of(sentCommands.begin(), sentCommands.end(), [&](const SentCommand &sent) {
            return sent.command.request.text() == request;
        });
    }
};

} // namespace

TEST_CASE("a statement is sent only once its operation is lent")
{
    CappedFixture fixture;
    fixture.session(1);
    fixture.write(1, "q1");
    fixture.serve();
    CHECK_FALSE(fixture.wasSent("q1"));
    CHECK(fixture.loanRequests.size() == 1);
    fixture.lend(1);
    CHECK_FALSE(fixture.answerTo("q1")->fault);
}

TEST_CASE("above the cap a statement is refused at once, as not run, with the time to come back")
{
    CappedFixture fixture;
    fixture.session(1);
    fixture.write(1, "q1");
    fixture.lend(0);
    REQUIRE(fixture.answerTo("q1") != nullptr);
    CHECK((fixture.answerTo("q1")->fault == StatementFault::OverCap));
    CHECK(provesNotExecuted(StatementFault::OverCap));
    CHECK(fixture.answerTo("q1")->detail == "the workspace has reached its cap; again in 100 ms");
    CHECK_FALSE(fixture.wasSent("q1"));
}

TEST_CASE("a transaction is charged once")
{
    CappedFixture fixture;
    fixture.session(1);
    fixture.ask(1, StatementKind::Begin, "begin");
    CHECK(fixture.loanRequests.empty());
    fixture.write(1, "q1");
    fixture.lend(1);
    for (int i = 2; i < 8; ++i) {
        fixture.write(1, "q" + std::to_string(i));
        fixture.serve();
    }
    fixture.ask(1, StatementKind::Commit, "commit");
    fixture.serve();
    CHECK_FALSE(fixture.answerTo("commit")->fault);
    CHECK(fixture.loanRequests.size() == 1);
    fixture.write(1, "next");
    CHECK(fixture.loanRequests.size() == 2);
}

TEST_CASE("statements that arrive while a request is under way are asked for together")
{
    CappedFixture fixture;
    for (SessionKey session = 1; session <= 4; ++session) {
        fixture.session(session);
        fixture.write(session, "q" + std::to_string(session));
    }
    CHECK(fixture.loanRequests == std::vector<std::pair<WorkspaceName, int>> {{Casks, 1}});
    fixture.lend(1);
    CHECK(fixture.loanRequests.back() == std::pair(Casks, 3));
    fixture.lend(2);
    CHECK_FALSE(fixture.answerTo("q3")->fault);
    CHECK((fixture.answerTo("q4")->fault == StatementFault::OverCap));
    CHECK(fixture.loanRequests.size() == 2);
}

TEST_CASE("an operation that was refused before it ran anywhere is used by the next one")
{
    CappedFixture fixture;
    fixture.server("p").refusal = StatementFault::Busy;
    fixture.session(1);
    fixture.proxy.isolate(); // a write is refused at once
    fixture.write(1, "q1");
    fixture.lend(1);
    CHECK((fixture.answerTo("q1")->fault == StatementFault::Busy));
    fixture.proxy.resumeService();
    fixture.server("p").refusal.reset();
    fixture.write(1, "q2");
    fixture.serve();
    CHECK_FALSE(fixture.answerTo("q2")->fault);
    CHECK(fixture.loanRequests.size() == 1);
}

TEST_CASE("a statement whose loan doesn't come is refused, and a later loan isn't misplaced")
{
    CappedFixture fixture;
    fixture.session(1);
    fixture.session(2);
    fixture.write(1, "q1");
    fixture.advanceTime(250ms);
    CHECK((fixture.answerTo("q1")->fault == StatementFault::Busy));
    CHECK_FALSE(fixture.wasSent("q1"));
    fixture.write(2, "q2");
    fixture.proxy.callerLeft(2, fixture.now);
    fixture.lend(1);
    fixture.write(1, "q3");
    CHECK(fixture.loanRequests.size() == 2);
}

TEST_CASE("workspaces without a cap need no loan")
{
    CappedFixture fixture;
    RouteTable table = *fixture.routes;
    table.revision = 3;
    table.workspaces.emplace().add({Casks, 1, {}}, {KeyDigest("k")});
    fixture.proxy.setRoutes(std::make_shared<RouteTable>(table), fixture.now);
    fixture.session(1);
    fixture.write(1, "q1");
    fixture.serve();
    CHECK_FALSE(fixture.answerTo("q1")->fault);
    CHECK(fixture.loanRequests.empty());
}
