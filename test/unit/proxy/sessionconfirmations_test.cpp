// Tests how SessionProxy withholds the answers to commits until a recorded replica holds them.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// Has told the proxy the recorded servers, and has one session.
struct ConfirmationFixture : SessionProxyFixture
{
    ConfirmationFixture()
    {
        proxy.setRecordedServers({ServerId("p"), ServerId("r1"), ServerId("r2")});
        session(1, "casks");
    }

    void write(const std::string &request, SessionKey key = 1)
    {
        ask(key, StatementKind::Write, request, "x 1");
        serve();
    }
    bool isAnswered(const std::string &request) const { return answerTo(request) != nullptr; }
    std::optional<StatementFault> faultOf(const std::string &request) const
    {
        REQUIRE(isAnswered(request));
        return answerTo(request)->fault;
    }
    // Returns the number of questions that were sent to replicas.
    std::ptrdiff_t questions() const
    {
        return std::count_if(sentCommands.begin(), sentCommands.end(), [](const SentCommand &sent) {
            return sent.command.kind == ServerCommandKind::BeginReadOnly
                    && sent.command.request.isEmpty();
        });
    }
    void replicate() { server("r1").applied = server("r2").applied = server("p").applied; }
    // Makes the replicas accept no connections and reply to nothing.
    void cutOffReplicas(bool isCutOff)
    {
        for (const char *id : {"r1", "r2"}) {
            server(id).ignoresConnections = isCutOff;
            server(id).isSilent = isCutOff;
        }
    }
};

} // namespace

// Guards against a commit that was lost with the answer given, as no recorded server had received it.
TEST_CASE("a commit that only an unrecorded server has received isn't answered as done")
{
    ConfirmationFixture fixture;
    fixture.addServer("n", "a", false);
    fixture.server("n").receives = true;
    fixture.announceServers();
    fixture.session(2, "casks");
    fixture.write("w1");
    fixture.ask(2, StatementKind::Begin, "b");
    fixture.ask(2, StatementKind::Write, "w2", "y 1");
    fixture.ask(2, StatementKind::Commit, "c");
    fixture.serveFor(900ms);
    CHECK(fixture.server("n").applied == LogPosition {1, 12});
    CHECK_FALSE(fixture.isAnswered("w1"));
    CHECK_FALSE(fixture.faultOf("w2"));
    CHECK_FALSE(fixture.isAnswered("c"));
    fixture.serveFor(200ms);
    CHECK((fixture.faultOf("w1") == StatementFault::OutcomeUnknown));
    CHECK((fixture.faultOf("c") == StatementFault::OutcomeUnknown));
    CHECK(fixture.answerTo("c")->state == TransactionState::Idle);
    REQUIRE(fixture.unconfirmed.size() == 2);
    CHECK(fixture.unconfirmed.front().request == RequestId("w1"));
    CHECK(fixture.unconfirmed.front().committed == LogPosition {1, 11});
    CHECK(fixture.unconfirmed.front().withheld == Duration(1000ms));
    CHECK_FALSE(fixture.unconfirmed.front().asked.empty());
}

TEST_CASE("a commit that a recorded replica holds is answered with its primary's answer")
{
    ConfirmationFixture fixture;
    fixture.server("r1").receives = true;
    fixture.write("w1");
    CHECK_FALSE(fixture.faultOf("w1"));
    CHECK(fixture.answerTo("w1")->detail == "proof");
    CHECK(fixture.answerTo("w1")->position == LogPosition {1, 11});
}

TEST_CASE("a commit is answered as soon as its replica holds it")
{
    ConfirmationFixture fixture;
    fixture.write("w1");
    fixture.serveFor(100ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.replicate();
    fixture.serveFor(20ms);
    CHECK_FALSE(fixture.faultOf("w1"));
}

TEST_CASE("a commit is answered once its replica has received it, though it applies it much later")
{
    ConfirmationFixture fixture;
    fixture.write("w1");
    fixture.server("r1").received = fixture.server("r2").received = fixture.server("p").applied;
    fixture.serveFor(30ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.serveFor(30ms);
    CHECK_FALSE(fixture.faultOf("w1"));
    // Its connection is in use again.
    fixture.write("w2");
    fixture.replicate();
    fixture.serveFor(30ms);
    CHECK_FALSE(fixture.faultOf("w2"));
}

TEST_CASE("a commit that waits occupies no connection, and its session's statements wait for it")
{
    ConfirmationFixture fixture;
    fixture.session(2, "casks");
    fixture.write("w1");
    fixture.write("w2", 1);
    fixture.write("w3", 2);
    CHECK(fixture.attemptsOf("w2").empty());
    REQUIRE(fixture.attemptsOf("w3").size() == 1);
    CHECK(fixture.attemptsOf("w3").front().connection
          == fixture.attemptsOf("w1").front().connection);
    fixture.replicate();
    fixture.serveFor(20ms);
    CHECK(fixture.attemptsOf("w2").size() == 1);
}

TEST_CASE("commits that wait together are covered by one question")
{
    ConfirmationFixture fixture;
    fixture.session(2, "casks");
    fixture.session(3, "casks");
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.ask(2, StatementKind::Write, "w2", "x 1");
    fixture.ask(3, StatementKind::Write, "w3", "x 1");
    fixture.serve();
    const auto before = fixture.questions();
    fixture.replicate();
    fixture.serveFor(10ms);
    CHECK(fixture.questions() == before + 1);
    for (const char *request : {"w1", "w2", "w3"})
        CHECK_FALSE(fixture.faultOf(request));
}

TEST_CASE("a recorded replica's reply to a read confirms the commits that it holds")
{
    ConfirmationFixture fixture;
    fixture.session(2, "aged");
    fixture.ask(2, StatementKind::Read, "q1", "x");
    fixture.serve();
    const ServerId reader = fixture.attemptsOf("q1").back().server;
    REQUIRE(reader != ServerId("p"));
    fixture.write("w1");
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.replicate();
    fixture.ask(2, StatementKind::Read, "q2", "x");
    fixture.serve();
    CHECK_FALSE(fixture.faultOf("w1"));
}

TEST_CASE("a commit is answered at once where no confirmation is called for")
{
    struct Row
    {
        const char *name;
        bool isRosterTold;
        int syncReplicas;
    };
    const Row rows[] = {{"no recorded servers are told", false, 1},
                        {"no replica has to hold a commit", true, 0}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        SessionProxyFixture fixture;
        RouteTable table = *fixture.routes;
        table.services[SessionProxyFixture::Service].syncReplicas = row.syncReplicas;
        fixture.proxy.setRoutes(std::make_shared<RouteTable>(table), fixture.now);
        if (row.isRosterTold)
            fixture.proxy.setRecordedServers({ServerId("p"), ServerId("r1")});
        fixture.session(1, "casks");
        fixture.ask(1, StatementKind::Write, "w1", "x 1");
        fixture.serve();
        REQUIRE(fixture.answerTo("w1") != nullptr);
        CHECK_FALSE(fixture.answerTo("w1")->fault);
    }
}

TEST_CASE("a transaction that wrote nothing is committed without a confirmation")
{
    ConfirmationFixture fixture;
    fixture.ask(1, StatementKind::Begin, "b");
    fixture.ask(1, StatementKind::Read, "q", "x");
    fixture.ask(1, StatementKind::Commit, "c");
    fixture.serve();
    CHECK_FALSE(fixture.faultOf("c"));
    CHECK(fixture.questions() == 0);
}

TEST_CASE("an empty list of recorded servers confirms nothing")
{
    ConfirmationFixture fixture;
    fixture.proxy.setRecordedServers({});
    fixture.server("r1").receives = true;
    fixture.write("w1");
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.proxy.setRecordedServers({ServerId("p"), ServerId("r1")});
    fixture.serveFor(30ms);
    CHECK_FALSE(fixture.faultOf("w1"));
}

TEST_CASE("a question that is lost with its connection is asked at another replica")
{
    ConfirmationFixture fixture;
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    fixture.server("r1").isSilent = fixture.server("r2").isSilent = true;
    fixture.write("w1");
    REQUIRE(fixture.questions() == 1);
    const auto question = std::find_if(fixture.sentCommands.rbegin(), fixture.sentCommands.rend(),
                                       [](const SentCommand &sent) {
                                           return sent.command.kind
                                                   == ServerCommandKind::BeginReadOnly;
                                       });
    const ServerId asked = question->server;
    const ConnectionKey connection = question->connection;
    fixture.server("r1").isSilent = fixture.server("r2").isSilent = false;
    fixture.replicate();
    fixture.breakConnection(connection);
    fixture.serveFor(30ms);
    CHECK_FALSE(fixture.faultOf("w1"));
    CHECK(fixture.sentCommands.back().server != asked);
}

TEST_CASE("a question without a reply is asked at another replica")
{
    ConfirmationFixture fixture;
    for (const char *silent : {"r1", "r2"}) {
        CAPTURE(silent);
        const std::string request = std::string("w of ") + silent;
        fixture.server(silent).isSilent = true;
        const std::string other = silent == std::string("r1") ? "r2" : "r1";
        fixture.server(other).receives = true;
        fixture.write(request);
        fixture.serveFor(250ms);
        CHECK_FALSE(fixture.faultOf(request));
        fixture.server(silent).isSilent = false;
        fixture.serveFor(1500ms);
    }
}

TEST_CASE("a caller that leaves takes its commit along")
{
    ConfirmationFixture fixture;
    fixture.write("w1");
    const ConnectionKey connection = fixture.attemptsOf("w1").front().connection;
    fixture.proxy.callerLeft(1, fixture.now);
    fixture.replicate();
    fixture.serveFor(1200ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    CHECK_FALSE(fixture.isClosed(connection));
}

TEST_CASE("a drain ends a session after the answer to its commit")
{
    ConfirmationFixture fixture;
    fixture.write("w1");
    fixture.proxy.drain(fixture.now);
    CHECK(fixture.ended.empty());
    fixture.replicate();
    fixture.serveFor(20ms);
    CHECK_FALSE(fixture.faultOf("w1"));
    CHECK(fixture.ended.size() == 1);
}

TEST_CASE("a planned stop leaves the outcome of an unconfirmed commit unknown")
{
    ConfirmationFixture fixture;
    fixture.session(2, "casks");
    fixture.write("w1");
    fixture.ask(2, StatementKind::Begin, "b");
    fixture.ask(2, StatementKind::Write, "w2", "x 1");
    fixture.ask(2, StatementKind::Commit, "c");
    fixture.serve();
    fixture.proxy.abandonAll(fixture.now);
    CHECK((fixture.faultOf("w1") == StatementFault::OutcomeUnknown));
    CHECK((fixture.faultOf("c") == StatementFault::OutcomeUnknown));
    fixture.replicate();
    fixture.serveFor(50ms);
}

TEST_CASE("writes are refused as not run while no recorded replica is reachable, until one is")
{
    ConfirmationFixture fixture;
    fixture.session(2, "casks");
    fixture.session(3, "casks");
    fixture.cutOffReplicas(true);
    fixture.write("w1");
    fixture.serveFor(700ms); // the replicas fail, and a commit waits for long
    fixture.write("w2", 2);
    CHECK((fixture.faultOf("w2") == StatementFault::Busy));
    CHECK(fixture.attemptsOf("w2").empty());
    fixture.serveFor(500ms);
    CHECK((fixture.faultOf("w1") == StatementFault::OutcomeUnknown));
    fixture.write("w3", 3);
    CHECK((fixture.faultOf("w3") == StatementFault::Busy));
    fixture.cutOffReplicas(false);
    fixture.server("r1").receives = true;
    fixture.serveFor(1500ms);
    fixture.write("w4", 3);
    fixture.serveFor(30ms);
    CHECK_FALSE(fixture.faultOf("w4"));
}

// Guards against a commit of a deposed primary that a later term's position seems to confirm.
TEST_CASE("a server that is beyond a commit in a later term doesn't confirm it")
{
    ConfirmationFixture fixture;
    fixture.server("r1").applied = fixture.server("r2").applied = {2, 30};
    fixture.ask(1, StatementKind::Write, "w1", "x 1");
    fixture.serveFor(500ms);
    CHECK(fixture.questions() > 0);
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.serveFor(600ms);
    CHECK((fixture.faultOf("w1") == StatementFault::OutcomeUnknown));
}

// Guards against writes that stop as control VMs of an older version name no recorded servers any more.
TEST_CASE("commits are answered at once again when it isn't known any more who is recorded")
{
    ConfirmationFixture fixture;
    fixture.proxy.setRecordedServers({ServerId("gone")});
    fixture.write("w1");
    fixture.serveFor(400ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.proxy.forgetRecordedServers();
    fixture.session(2, "casks");
    fixture.write("w2", 2);
    CHECK_FALSE(fixture.faultOf("w2"));
}

// Guards against lost commits that were answered: a replica that started again during a change of
// primary receives what the change doesn't cover.
TEST_CASE("a replica confirms no commit on a connection that isn't vouched for")
{
    ConfirmationFixture fixture;
    fixture.proxy.setChangesTold(true);
    fixture.server("r1").receives = fixture.server("r2").receives = true;
    fixture.write("w1");
    fixture.serveFor(200ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    CHECK(fixture.proxy.needsOpenChanges(fixture.now));
    fixture.proxy.takeOpenChanges({{SessionProxyFixture::Service}, fixture.now}, fixture.now);
    fixture.serveFor(50ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    fixture.proxy.takeOpenChanges({{}, fixture.now}, fixture.now);
    fixture.serveFor(50ms);
    CHECK_FALSE(fixture.faultOf("w1"));
    CHECK_FALSE(fixture.proxy.needsOpenChanges(fixture.now));
    fixture.write("w2");
    fixture.serveFor(20ms);
    CHECK_FALSE(fixture.faultOf("w2"));
}

TEST_CASE("a home's reply that isn't vouched for confirms no commit")
{
    ConfirmationFixture fixture;
    fixture.hasHomes = true;
    fixture.proxy.setChangesTold(true);
    fixture.server("r1").receives = fixture.server("r2").receives = true;
    fixture.server("r1").isVouched = fixture.server("r2").isVouched = false;
    fixture.write("w1");
    fixture.serveFor(100ms);
    CHECK_FALSE(fixture.isAnswered("w1"));
    CHECK(fixture.proxy.needsOpenChanges(fixture.now));
    fixture.server("r2").isVouched = true;
    fixture.serveFor(50ms);
    CHECK_FALSE(fixture.faultOf("w1"));
}

TEST_CASE("writes are refused as not run while no replica's answer counts, until one may")
{
    ConfirmationFixture fixture;
    fixture.hasHomes = true;
    fixture.proxy.setChangesTold(true);
    fixture.server("r1").receives = fixture.server("r2").receives = true;
    fixture.server("r1").isVouched = fixture.server("r2").isVouched = false;
    fixture.write("w1");
    fixture.serveFor(400ms);
    fixture.session(2, "casks");
    fixture.write("w2", 2);
    CHECK((fixture.faultOf("w2") == StatementFault::Busy));
    fixture.server("r1").isVouched = true;
    fixture.proxy.takeOpenChanges({{}, fixture.now}, fixture.now);
    fixture.serveFor(50ms);
    CHECK_FALSE(fixture.faultOf("w1"));
    fixture.write("w3", 2);
    fixture.serveFor(20ms);
    CHECK_FALSE(fixture.faultOf("w3"));
}
