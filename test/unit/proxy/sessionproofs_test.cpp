// How SessionProxy gets positions that a proved primary gave.
#include "nutmegtide/proxy/sessionproxy.h"

#include "unit/proxy/proxyrig.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a read of the latest data is proved by a begin that was sent after it came")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Read, "q1", "x");
    rig.serve();
    rig.pass(5ms);
    rig.ask(1, StatementKind::Read, "q2", "x");
    rig.serve();
    REQUIRE(rig.answerTo("q2") != nullptr);
    CHECK_FALSE(rig.answerTo("q2")->fault);
    const auto begins = std::count_if(rig.sentCommands.begin(), rig.sentCommands.end(),
                                      [](const SentCommand &sent) {
                                          return sent.command.kind == ServerCommandKind::Begin
                                                  && sent.server.text() == "p";
                                      });
    CHECK(begins == 2);
    CHECK(rig.sendingsOf("q2").back().command.after == LogPosition {1, 10});
}

TEST_CASE("an old primary that still answers reads gets none")
{
    ProxyRig rig;
    rig.server("p").leads = false; // it announces that it leads, but has lost the lead
    rig.session(1, "casks");
    rig.ask(1, StatementKind::Read, "q1", "x");
    rig.serve();
    rig.pass(600ms); // half of the route's timeout, for a change of primary
    rig.serve();
    REQUIRE(rig.answerTo("q1") != nullptr);
    CHECK((rig.answerTo("q1")->fault == StatementFault::Busy));
    CHECK(rig.sendingsOf("q1").empty());
}

TEST_CASE("an aged read needs the oldest position that was proved within the age")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.session(2, "aged");
    rig.ask(1, StatementKind::Write, "w1", "x 1"); // proves position 11 at 100 s
    rig.serve();
    struct Row
    {
        Duration after; // since the write
        std::uint64_t needed; // index of the position that the read asks for
    };
    const Row rows[] = {
            {400ms, 11}, {1400ms, 11}, {1490ms, 12}, // by a second write at 700 ms
    };
    int number = 0;
    bool isWritten = false;
    const TimePoint start = rig.now;
    for (const Row &row : rows) {
        if (row.after > 700ms && !isWritten) {
            rig.pass(start + 700ms - rig.now);
            rig.ask(1, StatementKind::Write, "w2", "x 2");
            rig.serve();
            isWritten = true;
        }
        rig.pass(start + row.after - rig.now);
        const std::string request = "q" + std::to_string(++number);
        CAPTURE(request);
        rig.server("r1").applied = rig.server("r2").applied = rig.server("p").applied;
        rig.ask(2, StatementKind::Read, request, "x");
        rig.serve();
        REQUIRE_FALSE(rig.sendingsOf(request).empty());
        CHECK(rig.sendingsOf(request).back().command.after == LogPosition {1, row.needed});
    }
}

TEST_CASE("without a young enough proof an aged read asks the primary for one")
{
    ProxyRig rig;
    rig.session(1, "aged");
    rig.server("p").isSilent = true;
    rig.ask(1, StatementKind::Read, "q1", "x");
    rig.serve();
    CHECK(rig.sendingsOf("q1").empty());
    rig.pass(2s);
    REQUIRE(rig.answerTo("q1") != nullptr);
    CHECK((rig.answerTo("q1")->fault == StatementFault::Busy));
}

TEST_CASE("an aged read takes the oldest proof that control brought, so that replicas hold it")
{
    ProxyRig rig;
    rig.session(1, "aged");
    rig.server("p").applied = {1, 20}; // the replicas stand at 10
    for (const auto &[age, index] :
         {std::pair<Duration, std::uint64_t> {1200ms, 10}, {900ms, 12}, {600ms, 20}})
        rig.proxy.takeProof(ProxyRig::Service, rig.now - age, {1, index}, rig.now);
    rig.ask(1, StatementKind::Read, "q1", "x");
    rig.serve();
    REQUIRE(rig.answerTo("q1") != nullptr);
    CHECK_FALSE(rig.answerTo("q1")->fault);
    REQUIRE(rig.sendingsOf("q1").size() == 1);
    CHECK(rig.sendingsOf("q1").front().command.after == LogPosition {1, 10});
    CHECK(rig.server("p").statements == 0);
    CHECK(rig.proxy.agedServices(rig.now) == std::vector<ServiceName> {ProxyRig::Service});
    CHECK(rig.proxy.agedServices(rig.now + 6s).empty());
}

TEST_CASE("a proof covers what came before it was sent, not what came before its answer")
{
    ProxyRig rig;
    rig.session(1, "casks");
    rig.session(2, "casks");
    rig.ask(1, StatementKind::Read, "warm", "item");
    rig.serve(); // leaves connections that are idle
    const auto begins = [&rig] {
        return std::count_if(rig.sentCommands.begin(), rig.sentCommands.end(),
                             [](const SentCommand &sent) {
                                 return sent.command.kind == ServerCommandKind::Begin;
                             });
    };
    const auto before = begins();
    rig.pass(5ms);
    rig.ask(1, StatementKind::Read, "r1", "item");
    REQUIRE(begins() == before + 1);
    rig.pass(5ms);
    rig.ask(2, StatementKind::Read, "r2", "item");
    rig.serve();
    CHECK(begins() == before + 2);
    CHECK_FALSE(rig.answerTo("r2")->fault);
}
