#include "nutmegtide/proxy/loadbalancer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace nutmegtide;

namespace {

ServerEstimate estimate(const char *name, Duration time = 20ms)
{
    ServerEstimate server;
    server.server = ServerId(name);
    server.slots = 4;
    server.responseTime = time;
    return server;
}

// Returns how often each of the servers is drawn.
std::map<ServerId, int> drawn(const std::vector<ServerEstimate> &servers, int count)
{
    LoadBalancer balancer(2016);
    std::map<ServerId, int> counts;
    for (int i = 0; i < count; ++i)
        ++counts[balancer.choose(servers).server];
    return counts;
}

} // namespace

// Guards against entry proxies that all take the same one of several equal servers.
TEST_CASE("equal servers get equal parts")
{
    const auto counts = drawn({estimate("a"), estimate("b"), estimate("c")}, 30'000);
    for (const auto &[server, count] : counts)
        CHECK(std::abs(count - 10'000) < 500);
}

TEST_CASE("a server's part follows its slots, its time, its wait, its failures and its price")
{
    struct Row
    {
        const char *name;
        ServerEstimate other;
        double least; // of the other one's weight, relative to the first one's
        double most;
    };
    ServerEstimate big = estimate("b");
    big.slots = 8;
    ServerEstimate loaded = estimate("b");
    loaded.underWay = 4;
    ServerEstimate queued = estimate("b");
    queued.wait = 20ms;
    ServerEstimate failing = estimate("b");
    failing.failureShare = 0.5;
    ServerEstimate distant = estimate("b");
    distant.price = 12ms;
    const Row rows[] = {
            {"twice the slots", big, 1.99, 2.01},
            {"five times slower", estimate("b", 100ms), 0.03, 0.05},
            {"own statements on all slots", loaded, 0.24, 0.26},
            {"a queue", queued, 0.24, 0.26},
            {"half of the statements fail", failing, 0.10, 0.12},
            {"in another failure domain", distant, 0.04, 0.06},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const std::vector<double> weights = LoadBalancer::weightsOf({estimate("a"), row.other});
        CHECK(weights[1] / weights[0] >= row.least);
        CHECK(weights[1] / weights[0] <= row.most);
    }
}

// Guards against a near server that keeps all reads however long they wait there.
TEST_CASE("distant servers take over when the near one has a long queue")
{
    ServerEstimate near = estimate("a");
    ServerEstimate distant = estimate("b");
    distant.price = 12ms;
    near.wait = 150ms;
    const std::vector<double> weights = LoadBalancer::weightsOf({near, distant});
    CHECK(weights[1] > 2 * weights[0]);
    CHECK(weights[0] > 0);
}

TEST_CASE("an old report of a queue counts for less")
{
    CHECK(LoadBalancer::waitAfter(100ms, 0ms) == 100ms);
    CHECK(LoadBalancer::waitAfter(100ms, 500ms) == 50ms);
    CHECK(LoadBalancer::waitAfter(100ms, 10s) < 1ms);
    CHECK(LoadBalancer::waitAfter(100ms, -1s) == 100ms);
}

// Guards against weights that all vanish, of which none could be drawn.
TEST_CASE("one server is drawn even if all are bad")
{
    ServerEstimate first = estimate("a", 0ms);
    ServerEstimate second = estimate("b", 60s);
    first.price = 10s;
    second.price = 10s;
    second.failureShare = 1;
    CHECK(drawn({first, second}, 100).size() >= 1);
    CHECK(drawn({second}, 1).size() == 1);
}
