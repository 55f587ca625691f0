// Where SessionProxy sends statements, and on which connections.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/proxyrig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a session reads its own writes at replicas")
{
    ProxyRig rig;
    rig.session(1, "own");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    rig.ask(1, StatementKind::Read, "q1", "x"); // both replicas stand at 10 still
    rig.serve();
    REQUIRE(rig.answerTo("q1") != nullptr);
    CHECK(rig.answerTo("q1")->rows == std::vector<std::string> {"row of p"});
    CHECK(rig.sendingsOf("q1").back().command.after == LogPosition {1, 11});
}

TEST_CASE("a borrowed connection carries exactly the session's values and statements")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.session(2, "casks");
    rig.ask(1, StatementKind::SetValue, "s1", "es", "lang");
    rig.ask(1, StatementKind::Prepare, "s2", "q2c", "mine", true);
    rig.ask(1, StatementKind::Execute, "w1", "x 1", "mine");
    rig.serve();
    rig.sentCommands.clear();
    rig.ask(2, StatementKind::Write, "w2", "x 2");
    rig.serve();
    REQUIRE_FALSE(rig.sentCommands.empty());
    CHECK((rig.sentCommands.front().command.kind == ServerCommandKind::Reset));
    rig.sentCommands.clear();
    rig.ask(1, StatementKind::Execute, "w3", "x 3", "mine");
    rig.serve();
    std::vector<ServerCommandKind> kinds;
    for (const SentCommand &sent : rig.sentCommands)
        kinds.push_back(sent.command.kind);
    CHECK(kinds
          == std::vector<ServerCommandKind> {ServerCommandKind::SetValue, ServerCommandKind::Prepare,
                                             ServerCommandKind::Execute});
    CHECK(rig.sentCommands.back().command.name == "w_q2c");
}

TEST_CASE("begin waits for the first statement, and the transaction keeps its connection")
{
    ProxyRig rig;
    rig.session(1, "own");
    rig.ask(1, StatementKind::Begin, "b");
    CHECK(rig.sentCommands.empty());
    rig.ask(1, StatementKind::Read, "q1", "x");
    rig.serve();
    rig.session(2, "own");
    rig.ask(2, StatementKind::Write, "w", "x 1");
    rig.serve();
    rig.ask(1, StatementKind::Write, "q2", "x 2");
    rig.serve();
    rig.ask(1, StatementKind::Commit, "c");
    rig.serve();
    REQUIRE(rig.answerTo("c") != nullptr);
    CHECK_FALSE(rig.answerTo("c")->fault);
    CHECK(rig.answerTo("c")->detail == "proof");
    const ConnectionKey pinned = rig.sendingsOf("q1").back().connection;
    CHECK(rig.sendingsOf("q2").back().connection == pinned);
    CHECK(rig.sendingsOf("c").back().connection == pinned);
    CHECK(rig.sendingsOf("w").back().connection != pinned);
}

TEST_CASE("scarce connections: none is kept idle for long where there are fewer than processes")
{
    struct Row
    {
        int entries; // that share 21 connections to each server
        std::optional<StatementFault> refusal; // of another connection, just before
        bool isKept;
    };
    const Row rows[] = {
            {0, {}, true}, // not known
            {21, {}, true},
            {22, {}, false},
            {21, StatementFault::TooManyConnections, true}, // one refusal says nothing of the rest
    };
    for (const Row &row : rows) {
        CAPTURE(row.entries);
        ProxyRig rig;
        rig.proxy.setEntryCount(row.entries);
        rig.session(1, "casks");
        rig.session(2, "casks");
        rig.ask(1, StatementKind::Begin, "b");
        rig.ask(1, StatementKind::Write, "w1", "x 1");
        rig.serve();
        rig.server("p").connectionRefusal = row.refusal;
        rig.ask(2, StatementKind::Write, "w2", "x 1");
        rig.serve();
        rig.pass(200ms);
        rig.ask(1, StatementKind::Commit, "c");
        rig.serve();
        REQUIRE(rig.answerTo("c") != nullptr);
        const ConnectionKey used = rig.sendingsOf("c").front().connection;
        CHECK_FALSE(rig.isClosed(used));
        rig.pass(250ms);
        CHECK(rig.isClosed(used) == !row.isKept);
    }
}

TEST_CASE("a lost server is no cut, but silence of all other failure domains is")
{
    struct Row
    {
        const char *what;
        std::vector<std::string> silent;
        bool isCutOff;
    };
    // The proxy stands in domain a, as the primary does.
    const Row rows[] = {
            {"all answer", {}, false},
            {"the own domain's server is lost", {"p"}, false},
            {"one other domain is lost", {"r1"}, false},
            {"all other domains are lost", {"r1", "r2"}, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProxyRig rig;
        for (const std::string &id : row.silent)
            rig.server(id).takesConnections = false;
        for (SessionKey key = 1; key <= 40; ++key) {
            const std::string request = "q" + std::to_string(key);
            rig.session(key, "aged");
            rig.ask(key, StatementKind::BeginReadOnly, "b" + request);
            rig.ask(key, StatementKind::Read, request, "x");
            rig.serve();
            rig.pass(50ms);
        }
        CHECK(rig.proxy.isCutOff(rig.now) == row.isCutOff);
    }
}

TEST_CASE("failover: a write waits for the new primary, but only a part of its time")
{
    struct Row
    {
        const char *what;
        Duration changedAfter;
        std::optional<StatementFault> fault;
    };
    const Row rows[] = {
            {"within half of the timeout", 400ms, {}},
            {"later", 900ms, StatementFault::Busy},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProxyRig rig;
        rig.session(1, "casks");
        rig.server("p").takesConnections = false;
        rig.ask(1, StatementKind::Write, "w", "x 1");
        rig.serve();
        for (Duration passed = 0ms; passed < row.changedAfter; passed += 20ms) {
            rig.pass(20ms);
            rig.serve();
        }
        rig.server("r1").leads = rig.server("r1").said.isPrimary = true;
        rig.tellServers();
        for (int i = 0; i < 10; ++i) {
            rig.pass(20ms);
            rig.serve();
        }
        REQUIRE(rig.answerTo("w") != nullptr);
        CHECK((rig.answerTo("w")->fault == row.fault));
    }
}

TEST_CASE("scarce connections: a write waits for the one to the primary that is in use")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.session(2, "casks");
    rig.ask(1, StatementKind::Begin, "b");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve(); // the transaction holds the only connection from here on
    rig.server("p").connectionRefusal = StatementFault::TooManyConnections;
    rig.ask(2, StatementKind::Write, "w2", "x 2");
    rig.serve();
    CHECK(rig.answerTo("w2") == nullptr);
    rig.ask(1, StatementKind::Commit, "c");
    rig.serve();
    REQUIRE(rig.answerTo("w2") != nullptr);
    CHECK_FALSE(rig.answerTo("w2")->fault);
}

TEST_CASE("replicas that lag: a read of the latest data is not tried at them in vain each time")
{
    ProxyRig rig;
    rig.session(1, "casks");
    int inVain = 0;
    for (int i = 0; i < 40; ++i) {
        rig.server("p").applied.index += 1; // the replicas stay at 10
        const std::string request = "q" + std::to_string(i);
        rig.ask(1, StatementKind::Read, request, "x");
        rig.serve();
        REQUIRE(rig.answerTo(request) != nullptr);
        CHECK_FALSE(rig.answerTo(request)->fault);
        inVain += static_cast<int>(rig.sendingsOf(request).size()) - 1;
        rig.pass(50ms);
    }
    // Each replica shows once that it is behind, and again when that may have changed.
    CHECK(inVain <= 10);
}

TEST_CASE("skewed services: homes hear how long the statements of a route usually take")
{
    ProxyRig rig;
    rig.hasHomes = true;
    rig.server("p").ran = rig.server("r1").ran = rig.server("r2").ran = 30ms;
    rig.session(1, "aged");
    rig.session(2, "own");
    rig.ask(1, StatementKind::Read, "q1", "x");
    rig.serve();
    CHECK(rig.sendingsOf("q1").front().urgency.work == Duration()); // nothing is known yet
    rig.ask(1, StatementKind::Read, "q2", "x");
    rig.serve();
    CHECK(rig.sendingsOf("q2").front().urgency.work == Duration(30ms));
    rig.ask(2, StatementKind::Read, "q3", "x");
    rig.serve();
    CHECK(rig.sendingsOf("q3").front().urgency.work == Duration()); // another route
}

TEST_CASE(
        "a planned stop of a home: nothing new begins on its lanes, and what is under way goes on")
{
    struct Row
    {
        const char *what;
        bool isBusy; // a transaction is open on the lane
    };
    const Row rows[] = {{"a lane that rests", false}, {"a lane with a transaction", true}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProxyRig rig;
        rig.hasHomes = true;
        rig.session(1, "casks");
        rig.session(2, "casks");
        if (row.isBusy)
            rig.ask(1, StatementKind::Begin, "b");
        rig.ask(1, StatementKind::Write, "w1", "x 1");
        rig.serve();
        const ConnectionKey lane = rig.sendingsOf("w1").back().connection;
        rig.proxy.retire(lane, rig.now);
        CHECK(rig.isClosed(lane) == !row.isBusy);
        rig.ask(2, StatementKind::Write, "w2", "x 2");
        rig.serve();
        CHECK(rig.sendingsOf("w2").back().connection != lane);
        CHECK_FALSE(rig.answerTo("w2")->fault);
        if (!row.isBusy)
            continue;
        rig.ask(1, StatementKind::Commit, "c");
        rig.serve();
        CHECK_FALSE(rig.answerTo("c")->fault);
        CHECK(rig.isClosed(lane));
    }
}

TEST_CASE("a planned stop of a home: who waits for a lane that ends gets another one")
{
    ProxyRig rig;
    rig.hasHomes = true;
    rig.session(1, "casks");
    rig.session(2, "casks");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    const ConnectionKey lane = rig.sendingsOf("w1").back().connection;
    rig.ask(1, StatementKind::Write, "w3", "x 3"); // runs on the lane
    rig.proxy.retire(lane, rig.now);
    rig.ask(2, StatementKind::Write, "w2", "x 2");
    rig.serve();
    CHECK(rig.sendingsOf("w3").back().connection == lane);
    CHECK(rig.isClosed(lane));
    REQUIRE(rig.answerTo("w2") != nullptr);
    CHECK_FALSE(rig.answerTo("w2")->fault);
}

TEST_CASE("a primary that leaves while its successor is late: no new work after its time is over")
{
    struct Row
    {
        const char *what;
        Duration leaving; // for which the primary has been leaving
        bool isSent;
    };
    const Row rows[] = {{"it has time left", 5s, true}, {"its time is over", 6s, false}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProxyRig rig;
        rig.proxy.setLeaveTime(6s);
        rig.session(1, "casks");
        rig.session(2, "casks");
        rig.ask(1, StatementKind::Begin, "b");
        rig.ask(1, StatementKind::Write, "w1", "item");
        rig.serve();
        rig.server("p").leavingSince = rig.now - row.leaving;
        rig.tellServers();
        rig.ask(2, StatementKind::Write, "w2", "item");
        rig.ask(1, StatementKind::Write, "w3", "item");
        rig.serve();
        rig.pass(1s);
        CHECK(rig.sendingsOf("w2").size() == (row.isSent ? 1 : 0));
        if (!row.isSent)
            CHECK((rig.answerTo("w2")->fault == StatementFault::Busy)); // it has not run
        // What is open there goes on to its end.
        CHECK(rig.sendingsOf("w3").size() == 1);
        CHECK_FALSE(rig.answerTo("w3")->fault);
    }
}

TEST_CASE("a primary whose time to leave ends while a write waits for a connection to it")
{
    ProxyRig rig;
    rig.proxy.setLeaveTime(6s);
    rig.server("p").leavingSince = rig.now - 5950ms;
    rig.tellServers();
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Write, "w", "item");
    rig.pass(60ms);
    rig.serve(); // the connection is accepted only now
    rig.pass(1s);
    CHECK(rig.sendingsOf("w").empty());
    CHECK((rig.answerTo("w")->fault == StatementFault::Busy));
}

TEST_CASE("a session's own write counts although an older proof would do for its route")
{
    ProxyRig rig;
    rig.proxy.takeProof(ProxyRig::Service, rig.now, {1, 10}, rig.now);
    rig.session(1, "own");
    rig.pass(50ms);
    rig.ask(1, StatementKind::Write, "w", "item");
    rig.serve();
    REQUIRE_FALSE(rig.answerTo("w")->fault);
    rig.ask(1, StatementKind::Read, "r", "item");
    rig.serve();
    const auto sendings = rig.sendingsOf("r");
    REQUIRE(!sendings.empty());
    CHECK((sendings.front().command.after == LogPosition {1, 11}));
}

TEST_CASE("all servers busy: a read is sent a bounded number of times")
{
    ProxyRig rig;
    rig.proxy.takeProof(ProxyRig::Service, rig.now, {1, 10}, rig.now);
    for (auto &[id, server] : rig.servers)
        server.refusal = StatementFault::Busy;
    rig.session(1, "aged");
    rig.ask(1, StatementKind::Read, "r", "item");
    for (int step = 0; step < 50; ++step) {
        rig.serve();
        rig.pass(10ms);
    }
    CHECK(rig.sendingsOf("r").size() == 4);
    REQUIRE(rig.answerTo("r") != nullptr);
    CHECK((rig.answerTo("r")->fault == StatementFault::Busy));
}

TEST_CASE("a primary whose time to leave is over still proves positions for reads at replicas")
{
    ProxyRig rig;
    rig.proxy.setLeaveTime(6s);
    rig.server("p").leavingSince = rig.now - 7s;
    rig.tellServers();
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Read, "r", "item");
    rig.serve();
    REQUIRE(rig.answerTo("r") != nullptr);
    CHECK_FALSE(rig.answerTo("r")->fault);
    CHECK(rig.sendingsOf("r").front().server != ServerId("p"));
    // A write waits for the successor as long as it does for any change of primary.
    rig.ask(1, StatementKind::Write, "w", "item");
    rig.pass(300ms);
    CHECK(rig.answerTo("w") == nullptr);
    rig.server("r1").leads = true;
    rig.server("r1").said.isPrimary = true;
    rig.server("p").said.isPrimary = false;
    rig.tellServers();
    rig.pass(50ms);
    rig.serve();
    REQUIRE(rig.answerTo("w") != nullptr);
    CHECK_FALSE(rig.answerTo("w")->fault);
    CHECK(rig.sendingsOf("w").size() == 1);
}
