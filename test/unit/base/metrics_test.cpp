#include "nutmegtide/base/metrics.h"

#include <doctest/doctest.h>
#include <thread>

using namespace nutmegtide;

TEST_CASE("counters and gauges are written with their labels")
{
    MetricRegistry metrics;
    metrics.counter("writes_total", "Writes.", {.database = DatabaseName("shop")}).add(3);
    metrics.counter("writes_total", "Writes.", {.database = DatabaseName("shop")}).add();
    metrics.counter("writes_total", "Writes.",
                    {.database = DatabaseName("a\"\\\nb"), .serverRole = "primary"});
    metrics.gauge("lag_seconds", "Lag\\\nof replicas.").set(0.25);
    CHECK(metrics.text()
          == "# HELP writes_total Writes.\n# TYPE writes_total counter\n"
             "writes_total{database=\"a\\\"\\\\\\nb\",server_role=\"primary\"} 0\n"
             "writes_total{database=\"shop\"} 4\n"
             "# HELP lag_seconds Lag\\\\\\nof replicas.\n# TYPE lag_seconds gauge\n"
             "lag_seconds 0.25\n");
}

TEST_CASE("a duration on a bound counts in the bucket of that bound")
{
    struct Row
    {
        Duration duration;
        std::size_t bucket;
    };
    const Row rows[] = {{-1s, 0}, {0s, 0},   {100us, 0}, {101us, 1},
                        {1ms, 3}, {10s, 15}, {30s, 16},  {31s, 17}};
    for (const Row &row : rows) {
        CAPTURE(row.duration.count());
        LatencyHistogram histogram;
        histogram.observe(row.duration);
        const auto buckets = histogram.buckets();
        REQUIRE(buckets.size() == 18);
        for (std::size_t i = 0; i < buckets.size(); ++i)
            CHECK(buckets[i].count == (i >= row.bucket ? 1 : 0));
    }
}

TEST_CASE("latencies are written as cumulative buckets, sum and count")
{
    MetricRegistry metrics;
    LatencyHistogram &latency = metrics.latency("s", "Time.", {.serverRole = "replica"});
    latency.observe(2ms);
    latency.observe(40s);
    const std::string text = metrics.text();
    for (const char *line :
         {"# TYPE s histogram\n", "s_bucket{server_role=\"replica\",le=\"0.001\"} 0\n",
          "s_bucket{server_role=\"replica\",le=\"0.0025\"} 1\n",
          "s_bucket{server_role=\"replica\",le=\"30\"} 1\n",
          "s_bucket{server_role=\"replica\",le=\"+Inf\"} 2\n",
          "s_sum{server_role=\"replica\"} 40.002\n", "s_count{server_role=\"replica\"} 2\n"}) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("malformed names and names of another kind are typed errors")
{
    MetricRegistry metrics;
    metrics.counter("taken", "");
    for (const char *name : {"", "1a", "a b", "a-b", "a\n", "taken"}) {
        CAPTURE(name);
        CHECK_THROWS_AS(metrics.gauge(name, ""), MetricError);
    }
}

TEST_CASE("threads lose no count")
{
    MetricRegistry metrics;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&metrics] {
            for (int j = 0; j < 1000; ++j) {
                metrics.counter("c", "").add();
                metrics.latency("l", "").observe(1ms);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(metrics.counter("c", "").value() == 4000);
    CHECK(metrics.latency("l", "").buckets().back().count == 4000);
}
