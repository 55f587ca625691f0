// Tests how SessionProxy ends sessions on a planned stop.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a planned stop ends idle sessions and answers pending statements")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.session(2, "casks");
    fixture.ask(2, StatementKind::Write, "w", "x 1");
    fixture.proxy.drain(fixture.now);
    REQUIRE(fixture.ended.size() == 1);
    CHECK(fixture.ended[0].first == 1);
    fixture.serve();
    REQUIRE(fixture.answerTo("w") != nullptr);
    CHECK_FALSE(fixture.answerTo("w")->fault);
    CHECK(fixture.proxy.sessionCount() == 0);
    fixture.proxy.refuseSessions();
    fixture.session(3, "casks");
    CHECK((fixture.ended.back().second == StatementFault::Busy));
}

TEST_CASE("at the end of a planned stop each waiting caller gets the fault that is known to hold")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.session(2, "own");
    fixture.ask(2, StatementKind::Begin, "b");
    fixture.ask(2, StatementKind::Write, "w2", "x 1");
    fixture.serve();
    fixture.server("p").isSilent = true;
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.ask(2, StatementKind::Write, "w3", "x 1");
    fixture.serve();
    fixture.proxy.abandonAll(fixture.now);
    REQUIRE(fixture.answerTo("w1") != nullptr);
    REQUIRE(fixture.answerTo("w3") != nullptr);
    CHECK((fixture.answerTo("w1")->fault == StatementFault::OutcomeUnknown));
    CHECK((fixture.answerTo("w3")->fault == StatementFault::Aborted));
}

TEST_CASE("a cut-off VM serves reads of bounded staleness and refuses what needs a primary")
{
    struct Row
    {
        const char *what;
        const char *database;
        StatementKind kind;
        Duration proofAge;
        bool isServed;
    };
    const Row rows[] = {
            {"a read of bounded staleness with a recent enough proof", "aged", StatementKind::Read,
             1s, true},
            {"a read of bounded staleness with an older proof", "aged", StatementKind::Read, 2s,
             false},
            {"a read of the latest data", "casks", StatementKind::Read, 1s, false},
            {"a write", "own", StatementKind::Write, 1s, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        SessionProxyFixture fixture;
        // The proxy itself is in "a".
        fixture.server("p").announcement.failureDomain = FailureDomain("b");
        fixture.server("r1").announcement.failureDomain = FailureDomain("a");
        fixture.announceServers();
        fixture.server("p").ignoresConnections = true;
        fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now - row.proofAge, {1, 10},
                                fixture.now);
        fixture.proxy.isolate();
        fixture.session(1, row.database);
        fixture.ask(1, row.kind, "q", "x 1");
        fixture.serve();
        REQUIRE(fixture.answerTo("q") != nullptr); // at once
        CHECK(fixture.answerTo("q")->fault.has_value() != row.isServed);
        fixture.proxy.resumeService();
        fixture.server("p").ignoresConnections = false;
        fixture.ask(1, row.kind, "again", "x 1");
        fixture.serve();
        fixture.advanceTime(500ms);
        REQUIRE(fixture.answerTo("again") != nullptr);
        CHECK_FALSE(fixture.answerTo("again")->fault);
    }
}
