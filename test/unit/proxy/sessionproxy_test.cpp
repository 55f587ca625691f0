#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/proxyrig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("statements are answered as far as possible without a server")
{
    ProxyRig rig;
    rig.session(1, "casks");
    struct Row
    {
        StatementKind kind;
        const char *name;
        const char *argument;
        std::optional<StatementFault> fault;
        TransactionState state;
    };
    const Row rows[] = {
            {StatementKind::SetValue, "lang", "es", {}, TransactionState::Idle},
            {StatementKind::Prepare, "s1", "q2c", {}, TransactionState::Idle},
            {StatementKind::Deallocate, "s1", "", {}, TransactionState::Idle},
            {StatementKind::Deallocate, "s1", "", StatementFault::UnknownStatement,
             TransactionState::Idle},
            {StatementKind::Execute, "s1", "1", StatementFault::UnknownStatement,
             TransactionState::Idle},
            {StatementKind::Commit, "", "", StatementFault::Malformed, TransactionState::Idle},
            {StatementKind::Begin, "", "", {}, TransactionState::Open},
            {StatementKind::Begin, "", "", StatementFault::Malformed, TransactionState::Open},
            {StatementKind::Rollback, "", "", {}, TransactionState::Idle},
    };
    int number = 0;
    for (const Row &row : rows) {
        const std::string request = "q" + std::to_string(++number);
        CAPTURE(request);
        rig.ask(1, row.kind, request, row.argument, row.name);
        REQUIRE(rig.answerTo(request) != nullptr);
        CHECK((rig.answerTo(request)->fault == row.fault));
        CHECK((rig.answerTo(request)->state == row.state));
    }
    CHECK(rig.sentCommands.empty());
}

TEST_CASE("an unknown database ends the session, before the first routes as busy")
{
    ProxyRig rig;
    rig.session(1, "nowhere");
    rig.proxy.setRoutes(std::make_shared<RouteTable>());
    rig.session(2, "casks");
    REQUIRE(rig.ended.size() == 2);
    CHECK((rig.ended[0].second == StatementFault::UnknownDatabase));
    CHECK((rig.ended[1].second == StatementFault::Busy));
}

TEST_CASE("a reborn server at another address gets no command of its predecessor's connection")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    const ConnectionKey before = rig.sendingsOf("w1").back().connection;
    rig.server("p").said.lifetime = 7;
    rig.tellServers();
    rig.ask(1, StatementKind::Write, "w2", "x 2");
    rig.serve();
    REQUIRE(rig.answerTo("w2") != nullptr);
    CHECK_FALSE(rig.answerTo("w2")->fault);
    CHECK(rig.sendingsOf("w2").back().connection != before);
}

TEST_CASE("a primary that refuses connections is complained of until it answers")
{
    ProxyRig rig;
    rig.server("p").takesConnections = false;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    rig.pass(100ms);
    const auto complaints = rig.proxy.complaints(rig.now);
    REQUIRE(complaints.size() == 1);
    CHECK(complaints[0].server == ServerId("p"));
    rig.server("p").takesConnections = true;
    rig.pass(2s);
    rig.ask(1, StatementKind::Write, "w2", "x 1");
    rig.serve();
    CHECK(rig.proxy.complaints(rig.now).empty());
}

TEST_CASE(
        "connections: a primary that has none left, or is slow to accept one, isn't complained of")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.session(2, "casks");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    rig.server("p").connectionRefusal = StatementFault::TooManyConnections;
    rig.ask(1, StatementKind::Begin, "b");
    rig.ask(1, StatementKind::Write, "w2", "x 1");
    rig.ask(2, StatementKind::Write, "w3", "x 1");
    rig.serve();
    CHECK(rig.proxy.complaints(rig.now).empty());
    // One connection waits to be accepted while another one is answered.
    rig.server("p").connectionRefusal.reset();
    rig.server("p").acceptsNothing = true;
    rig.pass(100ms);
    rig.ask(2, StatementKind::Write, "w4", "x 1");
    rig.serve();
    rig.pass(100ms);
    rig.ask(1, StatementKind::Write, "w5", "x 1");
    rig.serve();
    rig.pass(400ms);
    CHECK(rig.answerTo("w5") != nullptr);
    CHECK(rig.proxy.complaints(rig.now).empty());
    rig.server("p").isSilent = true;
    rig.ask(2, StatementKind::Write, "w6", "x 1");
    rig.serve();
    rig.pass(400ms);
    CHECK(rig.proxy.complaints(rig.now).size() == 1);
}

TEST_CASE("a primary whose writes get no answer is complained of as stuck")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Write, "w1", "x 1");
    rig.serve();
    rig.server("p").isSilent = true;
    rig.ask(1, StatementKind::Write, "w2", "x 1");
    rig.serve();
    rig.pass(400ms);
    CHECK(rig.answerTo("w2") == nullptr); // nothing but the answer tells what became of it
    CHECK(rig.proxy.complaints(rig.now).size() == 1);
}

TEST_CASE("a caller that floods its session with statements loses it, and no other session suffers")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.session(2, "casks");
    for (int i = 0; i < 1000; ++i)
        rig.ask(1, StatementKind::Write, "f" + std::to_string(i), "x 1");
    REQUIRE(rig.ended.size() == 1);
    CHECK((rig.ended[0].second == StatementFault::TooLarge));
    rig.ask(2, StatementKind::Write, "w", "x 1");
    rig.serve();
    REQUIRE(rig.answerTo("w") != nullptr);
    CHECK_FALSE(rig.answerTo("w")->fault);
}

TEST_CASE("all processes lost at once: who comes before the routes waits for them for a while")
{
    ProxyRig rig;
    const std::shared_ptr<const RouteTable> routes = rig.routes;
    rig.proxy.setRoutes(std::make_shared<RouteTable>());
    rig.proxy.setStarting(rig.now + 2s);
    rig.session(1, "casks");
    rig.session(2, "nowhere");
    rig.session(3, "casks");
    rig.ask(1, StatementKind::Read, "ahead", "item"); // before it was told to go on
    rig.proxy.callerLeft(3, rig.now);
    rig.pass(600ms);
    CHECK(rig.accepted.empty());
    CHECK(rig.ended.empty());
    rig.proxy.setRoutes(routes);
    CHECK(rig.accepted == std::vector<SessionKey> {1});
    REQUIRE(rig.ended.size() == 1);
    CHECK(rig.ended[0].first == 2);
    CHECK((rig.ended[0].second == StatementFault::UnknownDatabase));
    rig.serve();
    REQUIRE(rig.answerTo("ahead") != nullptr);
    CHECK_FALSE(rig.answerTo("ahead")->fault);
}

TEST_CASE("a start without control: nobody waits for routes that don't come")
{
    struct Row
    {
        const char *what;
        Duration comes; // after the start
        Duration answered; // after it came, at the latest
    };
    const Row rows[] = {{"early", 100ms, 1200ms},
                        {"at the end of the start", 1900ms, 1200ms},
                        {"later", 2s, 0ms}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProxyRig rig;
        rig.proxy.setRoutes(std::make_shared<RouteTable>());
        rig.proxy.setStarting(rig.now + 2s);
        rig.pass(row.comes);
        rig.session(1, "casks");
        rig.pass(row.answered);
        REQUIRE(rig.ended.size() == 1);
        CHECK((rig.ended[0].second == StatementFault::Busy));
        CHECK(rig.accepted.empty());
    }
}

TEST_CASE("a planned stop refuses those who wait for routes")
{
    ProxyRig rig;
    rig.proxy.setRoutes(std::make_shared<RouteTable>());
    rig.proxy.setStarting(rig.now + 2s);
    rig.session(1, "casks");
    rig.proxy.refuseSessions();
    REQUIRE(rig.ended.size() == 1);
    CHECK((rig.ended[0].second == StatementFault::Busy));
}

TEST_CASE("all processes lost at once: what was held up waits for longer, for as long as a start "
          "takes")
{
    struct Row
    {
        const char *what;
        Duration since; // the start
        bool isServed; // when the server's connection is accepted after 150 ms
    };
    // The objective is 400 ms, of which a quarter is waited for at other times, and half at a start.
    const Row rows[] = {{"just started", 100ms, true}, {"started long ago", 2s, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        ProxyRig rig;
        rig.proxy.setStarting(rig.now + 2s);
        rig.pass(row.since);
        rig.session(1, "casks");
        rig.ask(1, StatementKind::Write, "w", "item");
        rig.pass(150ms);
        rig.serve();
        REQUIRE(rig.answerTo("w") != nullptr);
        CHECK(rig.answerTo("w")->fault.has_value() == !row.isServed);
    }
}
