// Measures what a misplaced statement of a transaction costs: sent to its owner, forwarded to the
// owner in one hop, and forwarded after a look-up that asks one peer after another, as a
// distributed hash table with a binary routing table does. It reports and judges nothing.
//
//   forwarding_measure [STATEMENTS]

#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"
#include "serve/peerclient.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int DefaultStatements = 2'000;
constexpr int FleetSizes[] = {9, 300, 3'100};
constexpr std::chrono::seconds Patience {5};

using Microseconds = std::chrono::duration<double, std::micro>;

struct Figures
{
    Microseconds median {0};
    Microseconds p99 {0};
};

Figures measure(int count, const std::function<void()> &step)
{
    std::vector<Microseconds> times;
    for (int n = 0; n < count; ++n) {
        const auto before = std::chrono::steady_clock::now();
        step();
        times.push_back(std::chrono::steady_clock::now() - before);
    }
    std::sort(times.begin(), times.end());
    return {times[times.size() / 2], times[times.size() * 99 / 100]};
}

void print(const std::string &path, const Figures &figures)
{
    std::printf("%-36s %10.0f %10.0f\n", path.c_str(), figures.median.count(), figures.p99.count());
}

Figures measureStatements(TestFleet &fleet, const std::string &proxy,
                          const std::string &transaction, int count)
{
    CallerSession caller(fleet.callers(proxy), "casks");
    const Json body {{"statement", "get"}, {"parameters", {{"key", "oak"}}}, {"access", "read"}};
    return measure(count, [&] {
        const CallerAnswer answer = caller.inTransaction(transaction, "statements", body);
        if (answer.status == 200)
            return;
        std::cerr << "forwarding_measure: a statement failed: " << answer.body.dump() << '\n';
        std::exit(EXIT_FAILURE);
    });
}

// Asks so many peers one after another, each over an open connection.
Figures measureLookup(std::vector<PeerConnection> &peers, int hops, int count)
{
    wire::Header header;
    header.fleet = "test";
    header.vm = "measure";
    header.incarnation = 1;
    return measure(count, [&] {
        for (int hop = 0; hop < hops; ++hop) {
            wire::Header reply;
            peers[static_cast<std::size_t>(hop) % peers.size()].client().handshake(reply, header);
        }
    });
}

void run(int count)
{
    TestFleet fleet({{"a1", "fd-a", true}, {"a2", "fd-a", false}, {"a3", "fd-a", false}});
    fleet.addServer({"s1", "casks", "fd-a", {"s1"}, "", {}});
    CallerSession owner(fleet.callers("a1"), "casks");
    const auto isWritten = [&] {
        return owner.write("put", {{"key", "oak"}, {"value", "full"}}).status == 200;
    };
    waitUntil(isWritten, "the first write is acknowledged");
    const std::string transaction = owner.begin().body.at("transaction");
    const std::string ownerVm = transaction.substr(0, transaction.find('.'));

    std::printf("%-36s %10s %10s\n", "path of a statement", "p50 us", "p99 us");
    print("at its owner " + ownerVm, measureStatements(fleet, ownerVm, transaction, count));
    for (const std::string proxy : {"a1", "a2", "a3"}) {
        if (proxy != ownerVm)
            print("forwarded by " + proxy, measureStatements(fleet, proxy, transaction, count));
    }
    std::vector<PeerConnection> peers;
    for (const std::string peer : {"a1", "a2", "a3"}) {
        peers.emplace_back(fleet.peers(peer), Patience);
        peers.back().setTimeout(Patience);
    }
    for (const int size : FleetSizes) {
        const int hops = static_cast<int>(std::ceil(std::log2(size)));
        print("look-up alone, " + std::to_string(size) + " nodes, " + std::to_string(hops) + " hops",
              measureLookup(peers, hops, count));
    }
    owner.inTransaction(transaction, "rollback");
}

} // namespace

int main(int argc, char **argv)
{
    const int count = argc > 1 ? std::max(1, std::atoi(argv[1])) : DefaultStatements;
    try {
        run(count);
    } catch (const Error &error) {
        std::cerr << "forwarding_measure: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
