// What SessionProxy makes of answers, refusals and lost connections.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/proxyrig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("what a caller is told when a connection breaks")
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
        ProxyRig rig;
        rig.session(1, "own");
        const bool isTransaction = row.when == When::StatementOfTransaction
                || row.when == When::Commit;
        if (isTransaction) {
            rig.ask(1, StatementKind::Begin, "b");
            rig.ask(1, StatementKind::Write, "w", "x 1");
            rig.serve();
        }
        for (auto &[id, server] : rig.servers)
            server.isSilent = row.when != When::Read;
        if (row.when == When::Commit)
            rig.ask(1, StatementKind::Commit, "q");
        else if (row.when == When::Read)
            rig.ask(1, StatementKind::Read, "q", "x");
        else
            rig.ask(1, StatementKind::Write, "q", "x 2");
        rig.serve();
        if (row.when != When::Read)
            rig.breakConnection(rig.sendingsOf("q").back().connection);
        rig.serve();
        REQUIRE(rig.answerTo("q") != nullptr);
        CHECK((rig.answerTo("q")->fault == row.fault));
        CHECK(rig.sendingsOf("q").size() == 1);
    }
}

TEST_CASE("a success without the server's proof is no answer, and ends the connection")
{
    enum class When { Write, StatementOfTransaction, Commit, Read };
    struct Row
    {
        When when;
        std::optional<StatementFault> fault;
        std::size_t sendings;
    };
    const Row rows[] = {
            {When::Write, StatementFault::OutcomeUnknown, 1},
            {When::StatementOfTransaction, StatementFault::Aborted, 1},
            {When::Commit, StatementFault::OutcomeUnknown, 1},
            {When::Read, std::nullopt, 2}, // the second one to the server that proves its answers
    };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.when));
        ProxyRig rig;
        rig.session(1, "own");
        if (row.when == When::StatementOfTransaction || row.when == When::Commit) {
            rig.ask(1, StatementKind::Begin, "b");
            rig.ask(1, StatementKind::Write, "w", "x 1");
            rig.serve();
        }
        const bool isRead = row.when == When::Read;
        for (auto &[id, server] : rig.servers)
            server.provesAnswers = isRead && id.text() == "p";
        if (row.when == When::Commit)
            rig.ask(1, StatementKind::Commit, "q");
        else if (isRead)
            rig.ask(1, StatementKind::Read, "q", "x");
        else
            rig.ask(1, StatementKind::Write, "q", "x 2");
        rig.serve();
        REQUIRE(rig.answerTo("q") != nullptr);
        CHECK((rig.answerTo("q")->fault == row.fault));
        CHECK(rig.sendingsOf("q").size() == row.sendings);
        CHECK(rig.isClosed(rig.sendingsOf("q").front().connection));
    }
}

TEST_CASE("a write without an answer is never sent again")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::SetValue, "s", "1", "a");
    rig.server("p").isSilent = false;
    rig.ask(1, StatementKind::Write, "w0", "x 1");
    rig.serve();
    rig.server("p").isSilent = true;
    rig.ask(1, StatementKind::Write, "w", "x 1");
    rig.serve();
    rig.pass(5s);
    REQUIRE(rig.answerTo("w") != nullptr);
    CHECK((rig.answerTo("w")->fault == StatementFault::OutcomeUnknown));
    CHECK(rig.sendingsOf("w").size() == 1);
}

TEST_CASE("a proved refusal lets a write go to the new primary")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.server("p").leads = false;
    rig.server("r1").leads = true;
    rig.ask(1, StatementKind::Write, "w", "x 1");
    rig.serve();
    rig.server("p").said.isPrimary = false;
    rig.server("r1").said.isPrimary = true;
    rig.tellServers();
    rig.pass(50ms);
    rig.serve();
    REQUIRE(rig.answerTo("w") != nullptr);
    CHECK_FALSE(rig.answerTo("w")->fault);
    CHECK(rig.server("r1").statements == 1);
}

TEST_CASE("a prepared statement that a server has forgotten is prepared again")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Prepare, "s", "q2c", "mine", true);
    rig.server("p").refusal = StatementFault::UnknownStatement;
    rig.ask(1, StatementKind::Execute, "w1", "x 1", "mine");
    rig.serve();
    REQUIRE(rig.answerTo("w1") != nullptr);
    rig.server("p").refusal.reset();
    rig.sentCommands.clear();
    rig.ask(1, StatementKind::Execute, "w2", "x 1", "mine");
    rig.serve();
    REQUIRE(rig.answerTo("w2") != nullptr);
    CHECK_FALSE(rig.answerTo("w2")->fault);
    REQUIRE_FALSE(rig.sentCommands.empty());
    CHECK((rig.sentCommands.front().command.kind == ServerCommandKind::Prepare));
}

TEST_CASE("whether a server that is silent through its home lives is for the home to tell")
{
    struct Row
    {
        const char *what;
        bool hasHomes;
        bool isToldSilent;
        std::size_t complaints; // about the primary
    };
    const Row rows[] = {{"directly", false, false, 1},
                        {"a lost answer", true, false, 0},
                        {"a dark server", true, true, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProxyRig rig;
        rig.hasHomes = row.hasHomes;
        rig.session(1, "casks");
        rig.ask(1, StatementKind::Begin, "b");
        rig.ask(1, StatementKind::Write, "w1", "x 1");
        rig.server("p").isSilent = true;
        rig.serve();
        rig.pass(320ms);
        if (row.isToldSilent)
            rig.proxy.takeEvidence(ServerId("p"), ServerEvidence::Silent, rig.now);
        CHECK(rig.proxy.complaints(rig.now).size() == row.complaints);
    }
}

TEST_CASE("what a caller is told when the home of a server is lost")
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
        ProxyRig rig;
        rig.hasHomes = true;
        rig.session(1, "aged");
        rig.proxy.takeProof(ProxyRig::Service, rig.now, {1, 10}, rig.now);
        for (auto &[id, server] : rig.servers)
            server.isSilent = true;
        rig.ask(1, row.kind, "q", "x 1");
        rig.serve();
        for (auto &[id, server] : rig.servers)
            server.isSilent = false;
        rig.proxy.lost(rig.sendingsOf("q").back().connection, Loss::PathLost, rig.now);
        rig.serve();
        REQUIRE(rig.answerTo("q") != nullptr);
        CHECK((rig.answerTo("q")->fault == row.fault));
        CHECK(rig.proxy.complaints(rig.now).empty());
    }
}

TEST_CASE("a home that finds nobody at a primary's address is believed")
{
    ProxyRig rig;
    rig.proxy.takeEvidence(ServerId("p"), ServerEvidence::Refuses, rig.now);
    CHECK(rig.proxy.complaints(rig.now).size() == 1);
    rig.proxy.takeEvidence(ServerId("nobody"), ServerEvidence::Refuses, rig.now); // not known here
}

TEST_CASE("statements of an open transaction are the most urgent ones at a home")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Begin, "b");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    rig.session(2, "casks");
    rig.ask(2, StatementKind::Write, "w2", "x 2");
    rig.serve();
    REQUIRE_FALSE(rig.sendingsOf("w1").empty());
    REQUIRE_FALSE(rig.sendingsOf("w2").empty());
    CHECK(rig.sendingsOf("w1").front().urgency.rank == 0);
    CHECK(rig.sendingsOf("w2").front().urgency.rank > 0);
    CHECK(rig.sendingsOf("w2").front().urgency.patience >= 10ms);
    CHECK(rig.sendingsOf("w2").front().urgency.patience <= 150ms);
}

TEST_CASE("a write without an answer is complained of after its own time, not a read's")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Write, "w1", "item");
    rig.serve();
    rig.server("p").isSilent = true;
    rig.ask(1, StatementKind::Write, "w2", "item");
    rig.serve();
    rig.pass(
            330ms); // a read would have gone elsewhere after 300 ms, three quarters of its objective
    CHECK(rig.proxy.complaints(rig.now).empty());
    rig.pass(30ms);
    REQUIRE(rig.proxy.complaints(rig.now).size() == 1);
    CHECK(rig.proxy.complaints(rig.now).front().server == ServerId("p"));
}
