// Measures what one VM spends, at several sizes: memory for caller connections, and
// processor time and memory for database groups that it is home of, with no
// statement and with one write a second each. Prints CSV and judges nothing.
//
//   slopes_measure

#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"
#include "procfs.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sys/resource.h>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int ConnectionSizes[] = {200, 800, 1600, 3100};
constexpr int GroupSizes[] = {1, 3, 6, 9};
constexpr std::chrono::seconds Span {5};

// Each connection needs a file descriptor here and one in the proxy.
void raiseFileLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void measureConnections()
{
    std::printf("connections,resident_kib\n");
    constexpr int SpareThreads = 100;
    TestFleet fleet({{"a1", "fd-a", false, ConnectionSizes[3] + SpareThreads}});
    std::vector<HttpClient> clients;
    std::printf("0,%ld\n", residentKib(fleet.processId("a1")));
    for (const int size : ConnectionSizes) {
        while (static_cast<int>(clients.size()) < size) {
            clients.emplace_back(fleet.callers("a1"));
            clients.back().get("/healthz");
        }
        std::printf("%d,%ld\n", size, residentKib(fleet.processId("a1")));
    }
}

double percentOfCore(const TestFleet &fleet, const std::function<void()> &work)
{
    const ProcessTime before = processTime(fleet.processId("a1"));
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < Span)
        work();
    const ProcessTime used = processTime(fleet.processId("a1")) - before;
    return 100 * used / Span;
}

// Puts the intervals of the letter's size in force, which docs/CAPACITY.md derives.
void applyLargeSize(const TestFleet &fleet)
{
    const Json change {{"change_id", "large-size"},
                       {"base_revision", 0},
                       {"toml",
                        "[failover]\nprimary_announce_interval = \"2s\"\n"
                        "replica_announce_interval = \"5s\"\ndetection_time = \"6s\"\n"
                        "[homes]\nshare_timeout = \"15s\"\n"}};
    HttpClient operators(fleet.operators("a1"));
    waitUntil([&] { return operators.post("/v1/config", change).status == 200; }, "acceptance");
}

void measureGroups(const char *intervals, int groups)
{
    TestFleet fleet({{"a1", "fd-a", true}});
    if (std::string(intervals) == "large")
        applyLargeSize(fleet);
    std::vector<CallerSession> callers;
    for (int group = 0; group < groups; ++group) {
        const std::string name = "db" + std::to_string(group);
        std::vector<std::string> voters;
        for (int server = 0; server < 3; ++server)
            voters.push_back(name + "s" + std::to_string(server));
        for (const std::string &voter : voters)
            fleet.addServer({voter, name, "fd-a", voters, voter == voters[0] ? "" : voters[0], {}});
        callers.emplace_back(fleet.callers("a1"), name);
        waitUntil(
                [&] {
                    return callers.back().write("put", {{"key", "k"}, {"value", 1}}).status == 200;
                },
                "the group is known");
    }
    const double writing = percentOfCore(fleet, [&] {
        for (CallerSession &caller : callers)
            caller.write("put", {{"key", "k"}, {"value", 1}});
        std::this_thread::sleep_for(std::chrono::seconds(1));
    });
    std::this_thread::sleep_for(std::chrono::seconds(4)); // until the groups count as idle
    const double idle = percentOfCore(fleet, [] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    std::printf("%s,%d,%.2f,%.2f,%ld\n", intervals, groups, idle, writing,
                residentKib(fleet.processId("a1")));
}

} // namespace

int main()
{
    raiseFileLimit();
    try {
        measureConnections();
        std::printf("intervals,groups,idle_cpu_percent,writing_cpu_percent,resident_kib\n");
        for (const char *intervals : {"today", "large"}) {
            for (const int groups : GroupSizes)
                measureGroups(intervals, groups);
        }
    } catch (const Error &error) {
        std::cerr << "slopes_measure: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
