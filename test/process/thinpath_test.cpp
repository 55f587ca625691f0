#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a write through one proxy is seen by its session through two others")
{
    TestFleet fleet({{"a1", "fd-a", true}, {"b1", "fd-b", true}, {"c1", "fd-c", true}});
    const std::vector<std::string> voters {"s1", "s2", "s3"};
    fleet.addServer({"s1", "casks", "fd-a", voters, "", {}});
    fleet.addServer({"s2", "casks", "fd-b", voters, "s1", {}});
    fleet.addServer({"s3", "casks", "fd-c", voters, "s1", {}});

    CallerSession caller(fleet.callers("a1"), "casks");
    // Until the servers have announced themselves, the write is refused as not run.
    CallerAnswer written;
    waitUntil(
            [&] {
                written = caller.write("put", {{"key", "oak"}, {"value", "full"}}, "first-write");
                return written.status == 200;
            },
            "the first write is acknowledged");
    REQUIRE_FALSE(caller.token().empty());

    caller.moveTo(fleet.callers("b1"));
    const CallerAnswer fresh = caller.read("get", {{"key", "oak"}});
    REQUIRE_MESSAGE(fresh.status == 200, fresh.body.dump());
    CHECK(fresh.result().value("value", "") == "full");

    caller.moveTo(fleet.callers("c1"));
    const CallerAnswer aged = caller.read("get", {{"key", "oak"}}, std::chrono::seconds(5));
    REQUIRE_MESSAGE(aged.status == 200, aged.body.dump());
    CHECK(aged.result().value("value", "") == "full");
}
