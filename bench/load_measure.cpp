// Measures statements per second and time per statement against the stand-in
// directly, through one proxy and through two, in one run. It reports and judges nothing.
//
//   load_measure [THREADS [STATEMENTS_PER_THREAD]]

#include "nutmegtide/backend/messages.h"
#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"
#include "procfs.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int IdleConnections = 3'100; // keep-alive connections of the callers of one node
constexpr int DefaultThreads = 8;
constexpr int DefaultStatements = 2'000;
constexpr double Percent50 = 0.5;
constexpr double Percent99 = 0.99;

using Microseconds = ProcessTime;
using Statement = std::function<void()>;

struct Load
{
    int threads = DefaultThreads;
    int statements = DefaultStatements;
};

struct Figures
{
    std::string path;
    double perSecond = 0;
    Microseconds median {0};
    Microseconds p99 {0};
    Microseconds proxyCpu {0}; // per statement, of all proxies together
};

Microseconds totalCpu(const std::vector<pid_t> &processes)
{
    Microseconds sum {0};
    for (const pid_t process : processes)
        sum += processTime(process);
    return sum;
}

// Makes one caller's statement, with a connection of its own.
using CallerFactory = std::function<Statement(int thread)>;

Figures measure(const std::string &path, const Load &load, const std::vector<pid_t> &proxies,
                const CallerFactory &makeCaller)
{
    std::vector<std::vector<Microseconds>> times(static_cast<std::size_t>(load.threads));
    const Microseconds cpuBefore = totalCpu(proxies);
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int thread = 0; thread < load.threads; ++thread) {
        threads.emplace_back([&, thread] {
            const Statement statement = makeCaller(thread);
            for (int count = 0; count < load.statements; ++count) {
                const auto before = std::chrono::steady_clock::now();
                statement();
                times[static_cast<std::size_t>(thread)].push_back(std::chrono::steady_clock::now()
                                                                  - before);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;

    std::vector<Microseconds> all;
    for (const auto &some : times)
        all.insert(all.end(), some.begin(), some.end());
    std::sort(all.begin(), all.end());
    const auto count = static_cast<double>(all.size());
    const auto at = [&](double share) { return all[static_cast<std::size_t>(share * count)]; };
    return {path, count / elapsed.count(), at(Percent50), at(Percent99),
            (totalCpu(proxies) - cpuBefore) / count};
}

void requireOk(int status, const std::string &body)
{
    if (status == 200)
        return;
    std::cerr << "load_measure: a statement failed with " << status << ": " << body << '\n';
    std::exit(EXIT_FAILURE);
}

CallerFactory directCaller(const Endpoint &server)
{
    return [server](int thread) -> Statement {
        const auto client = std::make_shared<HttpClient>(server);
        return [client, thread, count = 0]() mutable {
            ExecuteRequest request;
            request.term = 1;
            request.requestId = RequestId(std::to_string(thread) + "-" + std::to_string(++count));
            request.caller = CallerId("load");
            request.statement = "get";
            request.parameters = {{"key", "oak"}};
            const HttpAnswer answer = client->post("/v1/execute", Json(request));
            requireOk(answer.status, answer.body);
        };
    };
}

CallerFactory proxyCaller(const Endpoint &proxy)
{
    return [proxy](int) -> Statement {
        const auto caller = std::make_shared<CallerSession>(proxy, "casks");
        return [caller] {
            const CallerAnswer answer = caller->read("get", {{"key", "oak"}});
            requireOk(answer.status, answer.body.dump());
        };
    };
}

long residentWithIdleConnections(const Endpoint &proxy, pid_t process)
{
    std::vector<HttpClient> clients;
    clients.reserve(IdleConnections);
    for (int count = 0; count < IdleConnections; ++count) {
        clients.emplace_back(proxy);
        clients.back().get("/healthz");
    }
    return residentKib(process);
}

void print(const std::vector<Figures> &rows, long residentKib)
{
    Json json {{"resident_kib", residentKib}, {"idle_connections", IdleConnections}};
    std::printf("%-10s %14s %10s %10s %12s %14s\n", "path", "statements/s", "p50 us", "p99 us",
                "added p50 us", "proxy CPU us");
    for (const Figures &row : rows) {
        const Microseconds added = row.median - rows.front().median;
        std::printf("%-10s %14.0f %10.0f %10.0f %12.0f %14.1f\n", row.path.c_str(), row.perSecond,
                    row.median.count(), row.p99.count(), added.count(), row.proxyCpu.count());
        json["paths"].push_back({{"path", row.path},
                                 {"statements_per_second", row.perSecond},
                                 {"p50_us", row.median.count()},
                                 {"p99_us", row.p99.count()},
                                 {"added_p50_us", added.count()},
                                 {"proxy_cpu_us", row.proxyCpu.count()}});
    }
    std::printf("%d idle connections: %ld KiB resident\n", IdleConnections, residentKib);
    std::cout << json.dump() << '\n';
}

int positive(const char *text)
{
    const int value = std::atoi(text);
    return value > 0 ? value : 1;
}

} // namespace

int main(int argc, char **argv)
{
    Load load;
    if (argc > 1)
        load.threads = positive(argv[1]);
    if (argc > 2)
        load.statements = positive(argv[2]);
    try {
        // Of three nodes in one failure domain two are homes (one and a standby); the
        // third is an entry that isn't home, so its row shows both hops.
        TestFleet fleet({{"a1", "fd-a", true, IdleConnections + 100},
                         {"a2", "fd-a", false},
                         {"a3", "fd-a", false}});
        fleet.addServer(
                {"s1", "casks", "fd-a", {"s1"}, "", {"--slots", "64", "--connections", "200"}});
        std::vector<pid_t> proxies;
        for (const char *name : {"a1", "a2", "a3"})
            proxies.push_back(fleet.processId(name));
        CallerSession writer(fleet.callers("a1"), "casks");
        waitUntil(
                [&] {
                    return writer.write("put", {{"key", "oak"}, {"value", "full"}}).status == 200;
                },
                "the first write is acknowledged");
        std::vector<Figures> rows;
        rows.push_back(measure("direct", load, proxies, directCaller(fleet.server("s1"))));
        for (const char *name : {"a1", "a2", "a3"})
            rows.push_back(measure(name, load, proxies, proxyCaller(fleet.callers(name))));
        print(rows, residentWithIdleConnections(fleet.callers("a1"), proxies.front()));
    } catch (const Error &error) {
        std::cerr << "load_measure: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
