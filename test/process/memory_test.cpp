#include "process/support/httpclient.h"
#include "process/support/processfootprint.h"
#include "process/support/testfleet.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

#ifndef __SANITIZE_ADDRESS__ // a sanitizer's own memory is no part of the target

namespace {

constexpr int Connections =
        3'100; // keep-alive connections of callers, the brief's figure for a node
constexpr std::size_t MostBytes = 200'000'000;

// Each connection needs a file descriptor here and one in the proxy, which inherits the limit.
void raiseFileLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

TEST_CASE("3,100 keep-alive connections of callers fit in 200 MB")
{
    raiseFileLimit();
    TestFleet fleet({{"a1", "fd-a", false, Connections + 100}});
    std::vector<HttpClient> clients;
    for (int count = 0; count < Connections; ++count) {
        clients.emplace_back(fleet.callers("a1"));
        const Json body {{"statement", "get"}, {"parameters", {{"key", "oak"}}}};
        CHECK(clients.back().post("/v1/databases/none/statements", body).status != 200);
    }
    const std::size_t resident = residentBytes(fleet.processId("a1"));
    CHECK(resident > 0);
    CHECK(resident <= MostBytes);
    // So many connections are the documented use, which no default limit may end.
    const std::string metrics = HttpClient(fleet.operators("a1")).get("/metrics").body;
    CHECK(metrics.find(R"(nutmegtide_http_limited_total{type="thread_needed"} 0)")
          != std::string::npos);
}

#endif
