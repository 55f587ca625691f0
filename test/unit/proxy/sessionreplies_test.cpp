// Tests how SessionProxy handles replies, refusals and lost connections.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("the caller's fault after a lost connection depends on what may have run")
{
    enum class When { Write, StatementOfTransaction, Commit, Read };
    struct Row
    {
        When when;
        std::optional<StatementFault> fault;
    };
    const Row rows[] = {
            {When::Write, StatementFault::OutcomeUnknown},
            {When::StatementOfTransaction, StatementFault::Aborted},
            {When::Commit, StatementFault::OutcomeUnknown},
            {When::Read, std::nullopt}, // sent to another server
    };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.when));
        SessionProxyFixture fixture;
        fixture.session(1, "own");
        const bool isTransaction = row.when == When::StatementOfTransaction
                || row.when == When::Commit;
        if (isTransaction) {
            fixture.ask(1, StatementKind::Begin, "b");
            fixture.ask(1, StatementKind::Write, "w", "x 1");
            fixture.serve();
        }
        for (auto &[id, server] : fixture.servers)
            server.isSilent = row.when != When::Read;
        if (row.when == When::Commit)
            fixture.ask(1, StatementKind::Commit, "q");
        else if (row.when == When::Read)
            fixture.ask(1, StatementKind::Read, "q", "x");
        else
            fixture.ask(1, StatementKind::Write, "q", "x 2");
        fixture.serve();
        if (row.when != When::Read)
            fixture.breakConnection(fixture.attemptsOf("q").back().connection);
        fixture.serve();
        REQUIRE(fixture.answerTo("q") != nullptr);
        CHECK((fixture.answerTo("q")->fault == row.fault));
        CHECK(fixture.attemptsOf("q").size() == 1);
    }
}

TEST_CASE("a success reply without the server's proof is discarded and its connection closed")
{
    enum class When { Write, StatementOfTransaction, Commit, Read };
    struct Row
    {
        When when;
        std::optional<StatementFault> fault;
        std::size_t attempts;
    };
    const Row rows[] = {
            {When::Write, StatementFault::OutcomeUnknown, 1},
            {When::StatementOfTransaction, StatementFault::Aborted, 1},
            {When::Commit, StatementFault::OutcomeUnknown, 1},
            {When::Read, std::nullopt,
             2}, // the second attempt reaches a server that proves its replies
    };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.when));
        SessionProxyFixture fixture;
        fixture.session(1, "own");
        if (row.when == When::StatementOfTransaction || row.when == When::Commit) {
            fixture.ask(1, StatementKind::Begin, "b");
            fixture.ask(1, StatementKind::Write, "w", "x 1");
            fixture.serve();
        }
        const bool isRead = row.when == When::Read;
        for (auto &[id, server] : fixture.servers)
            server.provesAnswers = isRead && id.text() == "p";
        if (row.when == When::Commit)
            fixture.ask(1, StatementKind::Commit, "q");
        else if (isRead)
            fixture.ask(1, StatementKind::Read, "q", "x");
        else
            fixture.ask(1, StatementKind::Write, "q", "x 2");
        fixture.serve();
        REQUIRE(fixture.answerTo("q") != nullptr);
        CHECK((fixture.answerTo("q")->fault == row.fault));
        CHECK(fixture.attemptsOf("q").size() == row.attempts);
        CHECK(fixture.isClosed(fixture.attemptsOf("q").front().connection));
    }
}

TEST_CASE("a write without a reply is never sent again")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::SetValue, "s", "1", "a");
    fixture.server("p").isSilent = false;
    fixture.ask(1, StatementKind::Write, "w0", "x 1");
    fixture.serve();
    fixture.server("p").isSilent = true;
    fixture.ask(1, StatementKind::Write, "w", "x 1");
    fixture.serve();
    fixture.advanceTime(5s);
    REQUIRE(fixture.answerTo("w") != nullptr);
    CHECK((fixture.answerTo("w")->fault == StatementFault::OutcomeUnknown));
    CHECK(fixture.attemptsOf("w").size() == 1);
}

TEST_CASE("a write that was provably not run is sent to the new primary")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.server("p").leads = false;
    fixture.server("r1").leads = true;
    fixture.ask(1, StatementKind::Write, "w", "x 1");
    fixture.serve();
    fixture.server("p").announcement.isPrimary = false;
    fixture.server("r1").announcement.isPrimary = true;
    fixture.announceServers();
    fixture.advanceTime(50ms);
    fixture.serve();
    REQUIRE(fixture.answerTo("w") != nullptr);
    CHECK_FALSE(fixture.answerTo("w")->fault);
    CHECK(fixture.server("r1").statements == 1);
}

TEST_CASE("a prepared statement that the server no longer knows is prepared again")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Prepare, "s", "q2c", "mine", true);
    fixture.server("p").refusal = StatementFault::UnknownStatement;
    fixture.ask(1, StatementKind::Execute, "w1", "x 1", "mine");
    fixture.serve();
    REQUIRE(fixture.answerTo("w1") != nullptr);
    fixture.server("p").refusal.reset();
    fixture.sentCommands.clear();
    fixture.ask(1, StatementKind::Execute, "w2", "x 1", "mine");
    fixture.serve();
    REQUIRE(fixture.answerTo("w2") != nullptr);
    CHECK_FALSE(fixture.answerTo("w2")->fault);
    REQUIRE_FALSE(fixture.sentCommands.empty());
    CHECK((fixture.sentCommands.front().command.kind == ServerCommandKind::Prepare));
}

TEST_CASE("a missing reply on a lane counts as a server's failure only if its home reports silence")
{
    struct Row
    {
        const char *what;
        bool hasHomes;
        bool isReportedSilent;
        std::size_t complaints; // reports about the primary
    };
    const Row rows[] = {{"a direct connection", false, false, 1},
                        {"a lost reply on a lane", true, false, 0},
                        {"a server that its home reports as silent", true, true, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        SessionProxyFixture fixture;
        fixture.hasHomes = row.hasHomes;
        fixture.session(1, "casks");
        fixture.ask(1, StatementKind::Begin, "b");
        fixture.ask(1, StatementKind::Write, "w1", "x 1");
        fixture.server("p").isSilent = true;
        fixture.serve();
        fixture.advanceTime(320ms);
        if (row.isReportedSilent)
            fixture.proxy.noteServerEvidence(ServerId("p"), ServerEvidence::Silent, fixture.now);
        CHECK(fixture.proxy.complaints(fixture.now).size() == row.complaints);
    }
}

TEST_CASE("a lost home leaves a write's outcome unknown, retries a read, and reports no primary")
{
    struct Row
    {
        StatementKind kind;
        std::optional<StatementFault> fault;
    };
    const Row rows[] = {{StatementKind::Write, StatementFault::OutcomeUnknown},
                        {StatementKind::Read, std::nullopt}};
    for (const Row &row : rows) {
        CAPTURE(std::string(toString(row.kind)));
        SessionProxyFixture fixture;
        fixture.hasHomes = true;
        fixture.session(1, "aged");
        fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now, {1, 10}, fixture.now);
        for (auto &[id, server] : fixture.servers)
            server.isSilent = true;
        fixture.ask(1, row.kind, "q", "x 1");
        fixture.serve();
        for (auto &[id, server] : fixture.servers)
            server.isSilent = false;
        fixture.proxy.lost(fixture.attemptsOf("q").back().connection, Loss::HomeLost, fixture.now);
        fixture.serve();
        REQUIRE(fixture.answerTo("q") != nullptr);
        CHECK((fixture.answerTo("q")->fault == row.fault));
        CHECK(fixture.proxy.complaints(fixture.now).empty());
    }
}

TEST_CASE("a primary is reported if its home finds that it refuses connections")
{
    SessionProxyFixture fixture;
    fixture.proxy.noteServerEvidence(ServerId("p"), ServerEvidence::Refuses, fixture.now);
    CHECK(fixture.proxy.complaints(fixture.now).size() == 1);
    // A server that is unknown to the proxy is ignored.
    fixture.proxy.noteServerEvidence(ServerId("nobody"), ServerEvidence::Refuses, fixture.now);
}

TEST_CASE("statements of an open transaction have the first rank at a home")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Begin, "b");
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.serve();
    fixture.session(2, "casks");
    fixture.ask(2, StatementKind::Write, "w2", "x 2");
    fixture.serve();
    REQUIRE_FALSE(fixture.attemptsOf("w1").empty());
    REQUIRE_FALSE(fixture.attemptsOf("w2").empty());
    CHECK(fixture.attemptsOf("w1").front().urgency.rank == 0);
    CHECK(fixture.attemptsOf("w2").front().urgency.rank > 0);
    CHECK(fixture.attemptsOf("w2").front().urgency.maxWait >= 10ms);
    CHECK(fixture.attemptsOf("w2").front().urgency.maxWait <= 150ms);
}

TEST_CASE("a write without a reply is reported after the time limit of writes, not of reads")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Write, "w1", "item");
    fixture.serve();
    fixture.server("p").isSilent = true;
    fixture.ask(1, StatementKind::Write, "w2", "item");
    fixture.serve();
    // A read would be sent to another server after 300 ms, three quarters of its objective.
    fixture.advanceTime(330ms);
    CHECK(fixture.proxy.complaints(fixture.now).empty());
    fixture.advanceTime(30ms);
    REQUIRE(fixture.proxy.complaints(fixture.now).size() == 1);
    CHECK(fixture.proxy.complaints(fixture.now).front().server == ServerId("p"));
}
