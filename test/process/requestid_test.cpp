#include "process/support/caskfleet.h"
#include "process/support/relay.h"
#include "process/support/waituntil.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const Json Transfer {{"from", "oak"}, {"to", "pine"}, {"amount", 5}};

Json fateOf(CaskFleet &casks, const std::string &proxy, const std::string &key)
{
    HttpClient client(casks.fleet().callers(proxy));
    return client.get("/v1/databases/casks/requests/" + key).json();
}

} // namespace

TEST_CASE("a resent transfer runs once and brings its first result")
{
    CaskFleet casks;
    const CallerAnswer first = casks.session("a1").write("transfer", Transfer, "resent");
    REQUIRE_MESSAGE(first.status == 200, first.body.dump());
    for (const std::string proxy : {"b1", "c1", "a1"}) {
        CAPTURE(proxy);
        const CallerAnswer again = casks.session(proxy).write("transfer", Transfer, "resent");
        CHECK_MESSAGE(again.status == 200, again.body.dump());
        CHECK(again.result() == first.result());
        CHECK(again.body.value("replay", false));
    }
    CHECK(casks.entriesOf("resent").size() == 1);

    Json other = Transfer;
    other["amount"] = 6;
    const CallerAnswer reused = casks.session("b1").write("transfer", other, "resent");
    CHECK(reused.status == 409);
    CHECK((reused.failure == StatementFailure::KeyReused));
    CHECK(casks.entriesOf("resent").size() == 1);

    CHECK(fateOf(casks, "c1", "resent").value("ran", "") == "yes");
    CHECK(fateOf(casks, "c1", "resent").value("result", Json()) == first.result());
    CHECK(fateOf(casks, "c1", "never-sent").value("ran", "") == "no");
}

TEST_CASE("a transfer whose answer is lost on the way is asked for again elsewhere")
{
    CaskFleet casks;
    Relay relay(casks.fleet().callers("a1"));
    relay.cut(Direction::ToCaller);
    auto first = std::async(std::launch::async, [&] {
        return CallerSession(relay.endpoint(), "casks").write("transfer", Transfer, "lost");
    });
    waitUntil([&] { return !casks.entriesOf("lost").empty(); }, "the transfer runs");
    const CallerAnswer again = casks.session("b1").write("transfer", Transfer, "lost");
    CHECK_MESSAGE(again.status == 200, again.body.dump());
    relay.heal();
    CHECK(first.get().result() == again.result());
    CHECK(casks.entriesOf("lost").size() == 1);
}

TEST_CASE("a transfer that no majority confirmed is settled by its request id")
{
    CaskFleet casks;
    casks.fleet().sendSignal("s2", SIGSTOP);
    casks.fleet().sendSignal("s3", SIGSTOP);
    CallerSession caller = casks.session("a1");
    const CallerAnswer first = casks.note("unsure", caller.write("transfer", Transfer, "unsure"));
    CHECK(first.status != 200);
    CHECK(fateOf(casks, "b1", "unsure").value("ran", "") == "unknown");
    casks.fleet().sendSignal("s2", SIGCONT);
    casks.fleet().sendSignal("s3", SIGCONT);

    CallerAnswer again;
    const auto isAcknowledged = [&] {
        again = casks.note("unsure", casks.session("b1").write("transfer", Transfer, "unsure"));
        return again.status == 200;
    };
    waitUntil(isAcknowledged, "the transfer is acknowledged");
    CHECK(again.result() == Json {{"from", -5}, {"to", 5}});
    CHECK(casks.entriesOf("unsure").size() == 1);
    CHECK(fateOf(casks, "c1", "unsure").value("ran", "") == "yes");
}

TEST_CASE("a request that is sent through two proxies at the same moment runs once")
{
    CaskFleet casks;
    for (int round = 0; round < 20; ++round) {
        const std::string key = "twice-" + std::to_string(round);
        CAPTURE(key);
        const auto send = [&casks, key](const std::string &proxy) {
            return casks.session(proxy).write("transfer", Transfer, key);
        };
        auto left = std::async(std::launch::async, send, "a1");
        auto right = std::async(std::launch::async, send, "b1");
        const CallerAnswer one = casks.note(key, left.get());
        const CallerAnswer two = casks.note(key, right.get());
        CHECK_MESSAGE(one.status == 200, one.body.dump());
        CHECK_MESSAGE(two.status == 200, two.body.dump());
        CHECK(one.result() == two.result());
        CHECK(casks.entriesOf(key).size() == 1);
    }
    CHECK(casks.wronglyRefused().empty());
}

TEST_CASE("what is refused under overload has not run, and is told when to come back")
{
    CaskFleet casks;
    std::vector<std::future<CallerAnswer>> answers;
    constexpr int Callers = 40;
    for (int i = 0; i < Callers; ++i) {
        answers.push_back(std::async(std::launch::async, [&casks, i] {
            const std::string proxy = i % 2 == 0 ? "a1" : "b1";
            const std::string key = "load-" + std::to_string(i);
            CallerSession caller = casks.session(proxy);
            for (int n = 0; n < 3; ++n)
                caller.read("sleep", {{"ms", 400}});
            return caller.write("transfer", Transfer, key);
        }));
    }
    int refused = 0;
    for (int i = 0; i < Callers; ++i) {
        const std::string key = "load-" + std::to_string(i);
        const CallerAnswer answer = casks.note(key, answers[std::size_t(i)].get());
        if (answer.status == 429) {
            ++refused;
            CHECK((answer.ran == Ran::No));
            CHECK(answer.retryAfter.count() > 0);
        }
    }
    MESSAGE("refused: ", refused);
    CHECK(casks.wronglyRefused().empty());
}
