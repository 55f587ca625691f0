#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr auto Age = std::chrono::seconds(5);
constexpr int ReadsAfter = 100;
// Longer than the switch of all homes takes, so that running work outlives it.
constexpr int RunningMilliseconds = 2'500;

void setState(const TestFleet &fleet, const std::string &server, const char *state)
{
    const Json body {{"state", state}};
    REQUIRE(HttpClient(fleet.server(server)).post("/debug/state", body).status == 200);
}

std::string serverOf(const CallerAnswer &answer)
{
    return answer.servedBy().value("backend_server", "");
}

} // namespace

TEST_CASE(
        "a leaving replica gets no new read, what it runs finishes, and a leaving primary goes on")
{
    TestFleet fleet({{"a1", "fd-a", true}, {"b1", "fd-b", true}, {"c1", "fd-c", true}});
    const std::vector<std::string> voters {"s1", "s2", "s3"};
    fleet.addServer({"s1", "casks", "fd-a", voters, "", {}});
    fleet.addServer({"s2", "casks", "fd-b", voters, "s1", {}});
    fleet.addServer({"s3", "casks", "fd-c", voters, "s1", {}});
    CallerSession caller(fleet.callers("b1"), "casks");
    waitUntil(
            [&] {
                return caller.write("put", {{"key", "oak"}, {"value", "full"}}).status == 200;
            },
            "the first write is acknowledged");
    waitUntil(
            [&] {
                return serverOf(caller.read("get", {{"key", "oak"}}, Age)) == "s2";
            },
            "the replica nearby serves a read");

    const auto executed = [&] {
        const Json counters = HttpClient(fleet.server("s2")).get("/debug/counters").json();
        return counters.value("executed", 0);
    };
    auto running = std::async(std::launch::async, [&] {
        CallerSession other(fleet.callers("b1"), "casks");
        return other.read("sleep", {{"ms", RunningMilliseconds}}, Age);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(RunningMilliseconds / 5));
    setState(fleet, "s2", "leaving");
    waitUntil(
            [&] {
                for (int read = 0; read < ReadsAfter; ++read) {
                    if (serverOf(caller.read("get", {{"key", "oak"}}, Age)) == "s2")
                        return false;
                }
                return true;
            },
            "reads go elsewhere");
    const int executedAtSwitch = executed();
    for (int read = 0; read < ReadsAfter; ++read) {
        const CallerAnswer answer = caller.read("get", {{"key", "oak"}}, Age);
        REQUIRE_MESSAGE(answer.status == 200, answer.body.dump());
        CHECK(serverOf(answer) != "s2");
    }
    const CallerAnswer finished = running.get();
    CHECK_MESSAGE(finished.status == 200, finished.body.dump());
    CHECK(serverOf(finished) == "s2");
    // Nothing but the running statement was counted since.
    CHECK(executed() <= executedAtSwitch + 1);

    setState(fleet, "s1", "leaving");
    for (int write = 0; write < ReadsAfter; ++write) {
        const CallerAnswer answer = caller.write("put", {{"key", "oak"}, {"value", write}});
        REQUIRE_MESSAGE(answer.status == 200, answer.body.dump());
    }
    CHECK(caller.read("get", {{"key", "oak"}}).result()["value"] == ReadsAfter - 1);
}
