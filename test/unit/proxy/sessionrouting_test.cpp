// Tests which servers and connections SessionProxy sends statements to.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a session reads its own writes at replicas")
{
    SessionProxyFixture fixture;
    fixture.session(1, "own");
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.serve();
    fixture.ask(1, StatementKind::Read, "q1", "x"); // both replicas have applied position 10 only
    fixture.serve();
    REQUIRE(fixture.answerTo("q1") != nullptr);
    CHECK(fixture.answerTo("q1")->rows == std::vector<std::string> {"row of p"});
    CHECK(fixture.attemptsOf("q1").back().command.after == LogPosition {1, 11});
}

TEST_CASE("a borrowed connection has exactly the session's values and prepared statements")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.session(2, "casks");
    fixture.ask(1, StatementKind::SetValue, "s1", "es", "lang");
    fixture.ask(1, StatementKind::Prepare, "s2", "q2c", "mine", true);
    fixture.ask(1, StatementKind::Execute, "w1", "x 1", "mine");
    fixture.serve();
    fixture.sentCommands.clear();
    fixture.ask(2, StatementKind::Write, "w2", "x 2");
    fixture.serve();
    REQUIRE_FALSE(fixture.sentCommands.empty());
    CHECK((fixture.sentCommands.front().command.kind == ServerCommandKind::Reset));
    fixture.sentCommands.clear();
    fixture.ask(1, StatementKind::Execute, "w3", "x 3", "mine");
    fixture.serve();
    std::vector<ServerCommandKind> kinds;
    for (const SentCommand &sent : fixture.sentCommands)
        kinds.push_back(sent.command.kind);
    CHECK(kinds
          == std::vector<ServerCommandKind> {ServerCommandKind::SetValue, ServerCommandKind::Prepare,
                                             ServerCommandKind::Execute});
    CHECK(fixture.sentCommands.back().command.name == "w_q2c");
}

TEST_CASE("a begin is sent with the first statement, and the transaction keeps its connection")
{
    SessionProxyFixture fixture;
    fixture.session(1, "own");
    fixture.ask(1, StatementKind::Begin, "b");
    CHECK(fixture.sentCommands.empty());
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    fixture.session(2, "own");
    fixture.ask(2, StatementKind::Write, "w", "x 1");
    fixture.serve();
    fixture.ask(1, StatementKind::Write, "q2", "x 2");
    fixture.serve();
    fixture.ask(1, StatementKind::Commit, "c");
    fixture.serve();
    REQUIRE(fixture.answerTo("c") != nullptr);
    CHECK_FALSE(fixture.answerTo("c")->fault);
    CHECK(fixture.answerTo("c")->detail == "proof");
    const ConnectionKey pinned = fixture.attemptsOf("q1").back().connection;
    CHECK(fixture.attemptsOf("q2").back().connection == pinned);
    CHECK(fixture.attemptsOf("c").back().connection == pinned);
    CHECK(fixture.attemptsOf("w").back().connection != pinned);
}

TEST_CASE("with fewer connections than processes, idle connections are closed early")
{
    struct Row
    {
        int entries; // number of processes that share 21 connections to each server
        std::optional<StatementFault> refusal; // reply to the attempt to open another connection
        bool isKept;
    };
    const Row rows[] = {
            {0, {}, true}, // the number of processes is unknown
            {21, {}, true},
            {22, {}, false},
            {21, StatementFault::TooManyConnections,
             true}, // one refusal doesn't show that connections are scarce
    };
    for (const Row &row : rows) {
        CAPTURE(row.entries);
        SessionProxyFixture fixture;
        fixture.proxy.setEntryCount(row.entries);
        fixture.session(1, "casks");
        fixture.session(2, "casks");
        fixture.ask(1, StatementKind::Begin, "b");
        fixture.ask(1, StatementKind::Write, "w1", "x 1");
        fixture.serve();
        fixture.server("p").connectionRefusal = row.refusal;
        fixture.ask(2, StatementKind::Write, "w2", "x 1");
        fixture.serve();
        fixture.advanceTime(200ms);
        fixture.ask(1, StatementKind::Commit, "c");
        fixture.serve();
        REQUIRE(fixture.answerTo("c") != nullptr);
        const ConnectionKey used = fixture.attemptsOf("c").front().connection;
        CHECK_FALSE(fixture.isClosed(used));
        fixture.advanceTime(250ms);
        CHECK(fixture.isClosed(used) == !row.isKept);
    }
}

TEST_CASE("a process is cut off if all other failure domains fail, not if one server does")
{
    struct Row
    {
        const char *what;
        std::vector<std::string> silent;
        bool isCutOff;
    };
    // The proxy is in domain "a", as is the primary.
    const Row rows[] = {
            {"all servers reply", {}, false},
            {"the server of the proxy's own domain fails", {"p"}, false},
            {"one other domain fails", {"r1"}, false},
            {"all other domains fail", {"r1", "r2"}, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        SessionProxyFixture fixture;
        for (const std::string &id : row.silent)
            fixture.server(id).takesConnections = false;
        for (SessionKey key = 1; key <= 40; ++key) {
            const std::string request = "q" + std::to_string(key);
            fixture.session(key, "aged");
            fixture.ask(key, StatementKind::BeginReadOnly, "b" + request);
            fixture.ask(key, StatementKind::Read, request, "x");
            fixture.serve();
            fixture.advanceTime(50ms);
        }
        CHECK(fixture.proxy.isCutOff(fixture.now) == row.isCutOff);
    }
}

TEST_CASE("on a failover a write waits for the new primary for a part of its timeout")
{
    struct Row
    {
        const char *what;
        Duration changedAfter;
        std::optional<StatementFault> fault;
    };
    const Row rows[] = {
            {"within half of the timeout", 400ms, {}},
            {"after half of the timeout", 900ms, StatementFault::Busy},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        SessionProxyFixture fixture;
        fixture.session(1, "casks");
        fixture.server("p").takesConnections = false;
        fixture.ask(1, StatementKind::Write, "w", "x 1");
        fixture.serve();
        for (Duration passed = 0ms; passed < row.changedAfter; passed += 20ms) {
            fixture.advanceTime(20ms);
            fixture.serve();
        }
        fixture.server("r1").leads = fixture.server("r1").announcement.isPrimary = true;
        fixture.announceServers();
        for (int i = 0; i < 10; ++i) {
            fixture.advanceTime(20ms);
            fixture.serve();
        }
        REQUIRE(fixture.answerTo("w") != nullptr);
        CHECK((fixture.answerTo("w")->fault == row.fault));
    }
}

TEST_CASE("a write waits for the only connection to the primary while it is in use")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.session(2, "casks");
    fixture.ask(1, StatementKind::Begin, "b");
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.serve(); // from here on the transaction uses the only connection
    fixture.server("p").connectionRefusal = StatementFault::TooManyConnections;
    fixture.ask(2, StatementKind::Write, "w2", "x 2");
    fixture.serve();
    CHECK(fixture.answerTo("w2") == nullptr);
    fixture.ask(1, StatementKind::Commit, "c");
    fixture.serve();
    REQUIRE(fixture.answerTo("w2") != nullptr);
    CHECK_FALSE(fixture.answerTo("w2")->fault);
}

TEST_CASE("lagging replicas are not asked for the latest data again on each read")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    int inVain = 0;
    for (int i = 0; i < 40; ++i) {
        fixture.server("p").applied.index += 1; // the replicas have applied position 10
        const std::string request = "q" + std::to_string(i);
        fixture.ask(1, StatementKind::Read, request, "x");
        fixture.serve();
        REQUIRE(fixture.answerTo(request) != nullptr);
        CHECK_FALSE(fixture.answerTo(request)->fault);
        inVain += static_cast<int>(fixture.attemptsOf(request).size()) - 1;
        fixture.advanceTime(50ms);
    }
    // Each replica shows once that it lags, and again when its estimate has decayed.
    CHECK(inVain <= 10);
}

TEST_CASE("homes are told the average run time of a route's statements")
{
    SessionProxyFixture fixture;
    fixture.hasHomes = true;
    fixture.server("p").ran = fixture.server("r1").ran = fixture.server("r2").ran = 30ms;
    fixture.session(1, "aged");
    fixture.session(2, "own");
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    CHECK(fixture.attemptsOf("q1").front().urgency.work
          == Duration()); // no statement of the route has run yet
    fixture.ask(1, StatementKind::Read, "q2", "x");
    fixture.serve();
    CHECK(fixture.attemptsOf("q2").front().urgency.work == Duration(30ms));
    fixture.ask(2, StatementKind::Read, "q3", "x");
    fixture.serve();
    CHECK(fixture.attemptsOf("q3").front().urgency.work == Duration()); // of another route
}

TEST_CASE("a retired lane finishes its current work and gets no new work")
{
    struct Row
    {
        const char *what;
        bool isBusy; // a transaction is open on the lane
    };
    const Row rows[] = {{"an idle lane", false}, {"a lane with a transaction", true}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        SessionProxyFixture fixture;
        fixture.hasHomes = true;
        fixture.session(1, "casks");
        fixture.session(2, "casks");
        if (row.isBusy)
            fixture.ask(1, StatementKind::Begin, "b");
        fixture.ask(1, StatementKind::Write, "w1", "x 1");
        fixture.serve();
        const ConnectionKey lane = fixture.attemptsOf("w1").back().connection;
        fixture.proxy.retire(lane, fixture.now);
        CHECK(fixture.isClosed(lane) == !row.isBusy);
        fixture.ask(2, StatementKind::Write, "w2", "x 2");
        fixture.serve();
        CHECK(fixture.attemptsOf("w2").back().connection != lane);
        CHECK_FALSE(fixture.answerTo("w2")->fault);
        if (!row.isBusy)
            continue;
        fixture.ask(1, StatementKind::Commit, "c");
        fixture.serve();
        CHECK_FALSE(fixture.answerTo("c")->fault);
        CHECK(fixture.isClosed(lane));
    }
}

TEST_CASE("statements that wait for a retired lane get another one")
{
    SessionProxyFixture fixture;
    fixture.hasHomes = true;
    fixture.session(1, "casks");
    fixture.session(2, "casks");
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.serve();
    const ConnectionKey lane = fixture.attemptsOf("w1").back().connection;
    fixture.ask(1, StatementKind::Write, "w3", "x 3"); // runs on the retired lane
    fixture.proxy.retire(lane, fixture.now);
    fixture.ask(2, StatementKind::Write, "w2", "x 2");
    fixture.serve();
    CHECK(fixture.attemptsOf("w3").back().connection == lane);
    CHECK(fixture.isClosed(lane));
    REQUIRE(fixture.answerTo("w2") != nullptr);
    CHECK_FALSE(fixture.answerTo("w2")->fault);
}

TEST_CASE("a leaving primary without a successor gets no new work past its leave time")
{
    struct Row
    {
        const char *what;
        Duration leaving; // how long the primary has been leaving
        bool isSent;
    };
    const Row rows[] = {{"within its leave time", 5s, true}, {"past its leave time", 6s, false}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        SessionProxyFixture fixture;
        fixture.proxy.setLeaveTime(6s);
        fixture.session(1, "casks");
        fixture.session(2, "casks");
        fixture.ask(1, StatementKind::Begin, "b");
        fixture.ask(1, StatementKind::Write, "w1", "item");
        fixture.serve();
        fixture.server("p").leavingSince = fixture.now - row.leaving;
        fixture.announceServers();
        fixture.ask(2, StatementKind::Write, "w2", "item");
        fixture.ask(1, StatementKind::Write, "w3", "item");
        fixture.serve();
        fixture.advanceTime(1s);
        CHECK(fixture.attemptsOf("w2").size() == (row.isSent ? 1 : 0));
        if (!row.isSent)
            CHECK((fixture.answerTo("w2")->fault == StatementFault::Busy)); // it was not run
        // The open transaction goes on to its end.
        CHECK(fixture.attemptsOf("w3").size() == 1);
        CHECK_FALSE(fixture.answerTo("w3")->fault);
    }
}

TEST_CASE("a write that waits for a connection isn't sent to a primary past its leave time")
{
    SessionProxyFixture fixture;
    fixture.proxy.setLeaveTime(6s);
    fixture.server("p").leavingSince = fixture.now - 5950ms;
    fixture.announceServers();
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Write, "w", "item");
    fixture.advanceTime(60ms);
    fixture.serve(); // the connection is accepted only now
    fixture.advanceTime(1s);
    CHECK(fixture.attemptsOf("w").empty());
    CHECK((fixture.answerTo("w")->fault == StatementFault::Busy));
}

TEST_CASE("a session's own write raises the required position above an older proof")
{
    SessionProxyFixture fixture;
    fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now, {1, 10}, fixture.now);
    fixture.session(1, "own");
    fixture.advanceTime(50ms);
    fixture.ask(1, StatementKind::Write, "w", "item");
    fixture.serve();
    REQUIRE_FALSE(fixture.answerTo("w")->fault);
    fixture.ask(1, StatementKind::Read, "r", "item");
    fixture.serve();
    const auto attempts = fixture.attemptsOf("r");
    REQUIRE(!attempts.empty());
    CHECK((attempts.front().command.after == LogPosition {1, 11}));
}

TEST_CASE("with all servers busy a read is sent a bounded number of times")
{
    SessionProxyFixture fixture;
    fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now, {1, 10}, fixture.now);
    for (auto &[id, server] : fixture.servers)
        server.refusal = StatementFault::Busy;
    fixture.session(1, "aged");
    fixture.ask(1, StatementKind::Read, "r", "item");
    for (int step = 0; step < 50; ++step) {
        fixture.serve();
        fixture.advanceTime(10ms);
    }
    CHECK(fixture.attemptsOf("r").size() == 4);
    REQUIRE(fixture.answerTo("r") != nullptr);
    CHECK((fixture.answerTo("r")->fault == StatementFault::Busy));
}

TEST_CASE("a primary past its leave time still proves positions for reads at replicas")
{
    SessionProxyFixture fixture;
    fixture.proxy.setLeaveTime(6s);
    fixture.server("p").leavingSince = fixture.now - 7s;
    fixture.announceServers();
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Read, "r", "item");
    fixture.serve();
    REQUIRE(fixture.answerTo("r") != nullptr);
    CHECK_FALSE(fixture.answerTo("r")->fault);
    CHECK(fixture.attemptsOf("r").front().server != ServerId("p"));
    // A write waits for the new primary as it does on any change of primary.
    fixture.ask(1, StatementKind::Write, "w", "item");
    fixture.advanceTime(300ms);
    CHECK(fixture.answerTo("w") == nullptr);
    fixture.server("r1").leads = true;
    fixture.server("r1").announcement.isPrimary = true;
    fixture.server("p").announcement.isPrimary = false;
    fixture.announceServers();
    fixture.advanceTime(50ms);
    fixture.serve();
    REQUIRE(fixture.answerTo("w") != nullptr);
    CHECK_FALSE(fixture.answerTo("w")->fault);
    CHECK(fixture.attemptsOf("w").size() == 1);
}

// Guards against a server that most reads avoid, or whose home reports nonsense, without a trace in
// the log.
TEST_CASE("low shares of a balanced service's reads and false reports are told")
{
    SessionProxyFixture fixture;
    RouteTable table = *fixture.routes;
    table.routes.at(DatabaseName("aged")).latencyObjective = 1s;
    fixture.proxy.setPatientObjective(700ms);
    fixture.proxy.setRoutes(std::make_shared<RouteTable>(table), fixture.now);
    fixture.session(1, "aged");
    const auto read = [&fixture](int count) {
        for (int i = 0; i < count; ++i) {
            fixture.ask(1, StatementKind::Read, "q" + std::to_string(fixture.answers.size()), "x");
            fixture.advanceTime(20ms); // the response time
            fixture.serve();
        }
    };
    const auto timesTold = [&fixture](std::string_view what) {
        return std::count_if(fixture.assessments.begin(), fixture.assessments.end(),
                             [what](const ServerAssessment &one) {
                                 return one.server == ServerId("r1") && one.assessment == what;
                             });
    };
    read(40);
    CHECK(timesTold("few_reads") == 0);
    CHECK(timesTold("false_report") == 0);
    fixture.server("r1").wait = -1s;
    read(20);
    CHECK(timesTold("false_report") > 0);
    fixture.server("r1").wait = 500ms;
    read(100);
    CHECK(timesTold("few_reads") == 1);
    CHECK(timesTold("usual_reads") == 0);
    fixture.server("r1").wait = {};
    fixture.advanceTime(6s);
    read(100);
    CHECK(timesTold("usual_reads") == 1);
    const ReadCounts &counts = fixture.proxy.readCounts();
    CHECK(counts.otherDomain > counts.primary); // the replicas are elsewhere
}
