// Prints what a statement costs in messages, bytes and allocations with 1 to 64
// sessions, for one position watch a server that all waiting writes share and for
// one a write. With --check it exits 1 when a bound of the design is passed.

#include "costmodel.h"

#include <cstdlib>
#include <cstring>
#include <new>

std::size_t nutmegtide::cost::allocationCount = 0;

// Inlined, they would be taken for a mismatched pair by the compiler.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++nutmegtide::cost::allocationCount;
    if (void *memory = std::malloc(size > 0 ? size : 1))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace nutmegtide;
using namespace nutmegtide::cost;

namespace {

constexpr int SessionCounts[] = {1, 4, 16, 64};

struct PerStatement
{
    int sessions = 0;
    double peerCalls = 0;
    double requests = 0;
    double watches = 0;
    double bytes = 0;
    double allocations = 0;
    double watchBytes = 0;
    double watchAllocations = 0;
};

PerStatement measure(Access access, int sessions, Watching watching)
{
    const Outcome outcome = Simulation(access, sessions, watching).run();
    const double count = double(outcome.statements);
    const Cost &peer = outcome.peer;
    const Cost &backend = outcome.backend;
    const Cost &watch = outcome.watch;
    return {sessions,
            double(peer.messages) / count,
            double(backend.messages) / count,
            double(watch.messages) / count,
            double(peer.bytes + backend.bytes + watch.bytes) / count,
            double(peer.allocations + backend.allocations + watch.allocations) / count,
            double(watch.bytes) / count,
            double(watch.allocations) / count};
}

// Sessions must not raise what a statement costs, and share the watches.
bool isKept(const PerStatement &cost, const PerStatement &single, const PerStatement &fewer,
            Access access)
{
    constexpr double LongerNumbers = 1.01; // positions grow with what has been written
    // A statement that waits has its place, its session's count and its flow's round.
    constexpr double QueueEntries = 3; // allocations
    const bool isShared = access == Access::Read ? cost.watches == 0
                                                 : cost.watches <= fewer.watches
                    && (cost.sessions == 1 || cost.watches < single.watches);
    return cost.peerCalls == 1 && cost.requests == 1 && isShared
            && cost.bytes <= LongerNumbers * single.bytes
            && cost.allocations <= single.allocations + QueueEntries;
}

// Prints the rows of one kind and returns whether the shared watch keeps the bounds.
bool report(Access access, Watching watching)
{
    bool isAllKept = true;
    PerStatement single;
    PerStatement fewer;
    for (const int sessions : SessionCounts) {
        const PerStatement cost = measure(access, sessions, watching);
        if (sessions == 1)
            single = fewer = cost;
        const bool isRowKept = isKept(cost, single, fewer, access);
        isAllKept = isAllKept && isRowKept;
        std::printf("%-6s %-7s %8d %6.3f %7.3f %7.3f %7.0f %7.1f %11.0f %12.1f %s\n",
                    access == Access::Read ? "read" : "write",
                    watching == Watching::Shared ? "shared" : "own", sessions, cost.peerCalls,
                    cost.requests, cost.watches, cost.bytes, cost.allocations, cost.watchBytes,
                    cost.watchAllocations, isRowKept ? "kept" : "broken");
        fewer = cost;
    }
    return isAllKept;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    std::printf("kind   watch   sessions  peer backend watches   bytes allocs"
                " watch bytes watch allocs bounds\n");
    bool isAllKept = report(Access::Read, Watching::Shared);
    isAllKept = report(Access::Write, Watching::Shared) && isAllKept;
    if (!isCheck)
        report(Access::Write, Watching::Own);
    return isCheck && !isAllKept ? 1 : 0;
}
