// Tests how SessionProxy gets proofs of position from primaries.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/sessionproxyfixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a read of the latest data needs a proof that was requested after it arrived")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    fixture.advanceTime(5ms);
    fixture.ask(1, StatementKind::Read, "q2", "x");
    fixture.serve();
    REQUIRE(fixture.answerTo("q2") != nullptr);
    CHECK_FALSE(fixture.answerTo("q2")->fault);
    const auto begins = std::count_if(fixture.sentCommands.begin(), fixture.sentCommands.end(),
                                      [](const SentCommand &sent) {
                                          return sent.command.kind == ServerCommandKind::Begin
                                                  && sent.server.text() == "p";
                                      });
    CHECK(begins == 2);
    CHECK(fixture.attemptsOf("q2").back().command.after == LogPosition {1, 10});
}

TEST_CASE("a former primary that still answers reads gets no read of the latest data")
{
    SessionProxyFixture fixture;
    fixture.server("p").leads = false; // it is announced as primary, but no longer is
    fixture.session(1, "casks");
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    fixture.advanceTime(600ms); // half of the route's timeout, the wait for a change of primary
    fixture.serve();
    REQUIRE(fixture.answerTo("q1") != nullptr);
    CHECK((fixture.answerTo("q1")->fault == StatementFault::Busy));
    CHECK(fixture.attemptsOf("q1").empty());
}

TEST_CASE("a read of bounded staleness needs the lowest position that was proved within its age")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.session(2, "aged");
    fixture.ask(1, StatementKind::Write, "w1", "x 1"); // proves position 11 at 100 s
    fixture.serve();
    struct Row
    {
        Duration after; // time since the write
        std::uint64_t needed; // index of the position that the read requires
    };
    const Row rows[] = {
            {400ms, 11}, {1400ms, 11}, {1490ms, 12}, // proved by a second write at 700 ms
    };
    int number = 0;
    bool isWritten = false;
    const TimePoint start = fixture.now;
    for (const Row &row : rows) {
        if (row.after > 700ms && !isWritten) {
            fixture.advanceTime(start + 700ms - fixture.now);
            fixture.ask(1, StatementKind::Write, "w2", "x 2");
            fixture.serve();
            isWritten = true;
        }
        fixture.advanceTime(start + row.after - fixture.now);
        const std::string request = "q" + std::to_string(++number);
        CAPTURE(request);
        fixture.server("r1").applied = fixture.server("r2").applied = fixture.server("p").applied;
        fixture.ask(2, StatementKind::Read, request, "x");
        fixture.serve();
        REQUIRE_FALSE(fixture.attemptsOf(request).empty());
        CHECK(fixture.attemptsOf(request).back().command.after == LogPosition {1, row.needed});
    }
}

TEST_CASE("a read of bounded staleness without a recent enough proof requests one")
{
    SessionProxyFixture fixture;
    fixture.session(1, "aged");
    fixture.server("p").isSilent = true;
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    CHECK(fixture.attemptsOf("q1").empty());
    fixture.advanceTime(2s);
    REQUIRE(fixture.answerTo("q1") != nullptr);
    CHECK((fixture.answerTo("q1")->fault == StatementFault::Busy));
}

TEST_CASE("a read of bounded staleness uses the oldest sufficient proof from control, since "
          "replicas hold it")
{
    SessionProxyFixture fixture;
    fixture.session(1, "aged");
    fixture.server("p").applied = {1, 20}; // the replicas have applied position 10
    for (const auto &[age, index] :
         {std::pair<Duration, std::uint64_t> {1200ms, 10}, {900ms, 12}, {600ms, 20}})
        fixture.proxy.takeProof(SessionProxyFixture::Service, fixture.now - age, {1, index},
                                fixture.now);
    fixture.ask(1, StatementKind::Read, "q1", "x");
    fixture.serve();
    REQUIRE(fixture.answerTo("q1") != nullptr);
    CHECK_FALSE(fixture.answerTo("q1")->fault);
    REQUIRE(fixture.attemptsOf("q1").size() == 1);
    CHECK(fixture.attemptsOf("q1").front().command.after == LogPosition {1, 10});
    CHECK(fixture.server("p").statements == 0);
    CHECK(fixture.proxy.agedServices(fixture.now)
          == std::vector<ServiceName> {SessionProxyFixture::Service});
    CHECK(fixture.proxy.agedServices(fixture.now + 6s).empty());
}

TEST_CASE("a proof covers reads that arrived before its request, not before its reply")
{
    SessionProxyFixture fixture;
    fixture.session(1, "casks");
    fixture.session(2, "casks");
    fixture.ask(1, StatementKind::Read, "warm", "item");
    fixture.serve(); // leaves idle connections
    const auto begins = [&fixture] {
        return std::count_if(fixture.sentCommands.begin(), fixture.sentCommands.end(),
                             [](const SentCommand &sent) {
                                 return sent.command.kind == ServerCommandKind::Begin;
                             });
    };
    const auto before = begins();
    fixture.advanceTime(5ms);
    fixture.ask(1, StatementKind::Read, "r1", "item");
    REQUIRE(begins() == before + 1);
    fixture.advanceTime(5ms);
    fixture.ask(2, StatementKind::Read, "r2", "item");
    fixture.serve();
    CHECK(begins() == before + 2);
    CHECK_FALSE(fixture.answerTo("r2")->fault);
}

// Guards against a first read that can use no replica, and against requests for proofs that name
// thousands of services.
TEST_CASE("proofs of balanced services are wanted before their first read, up to a number of them")
{
    struct Row
    {
        int services;
        std::size_t wanted;
    };
    for (const Row &row : {Row {1, 1}, Row {64, 64}, Row {65, 0}}) {
        CAPTURE(row.services);
        SessionProxyFixture fixture;
        RouteTable table;
        for (int number = 0; number < row.services; ++number) {
            const std::string name = "s" + std::to_string(number);
            Route &route = table.routes[DatabaseName(name)];
            route.service = ServiceName(name);
            route.consistency = Consistency::BoundedAge;
            route.latencyObjective = 800ms;
        }
        fixture.proxy.setPatientObjective(700ms);
        fixture.proxy.setRoutes(std::make_shared<RouteTable>(table), fixture.now);
        CHECK(fixture.proxy.agedServices(fixture.now).size() == row.wanted);
    }
}
