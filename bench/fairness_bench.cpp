// Prints the share of statements that a home serves under uneven load, by workspace and by class,
// for the order by rank and for fair sharing on the same arrivals. With --check it exits 1 if a
// stated bound is exceeded. --seed N after it takes another seed.

#include "unit/proxy/fairnessmodel.h"

#include <cstdio>
#include <cstring>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr Duration RunTime = 60s;
constexpr std::uint64_t UsualSeed = 2016;

FairnessOutcome report(const FairnessLoad &load, bool isFair, std::uint64_t seed)
{
    FairnessOutcome outcome = FairnessModel(load, isFair, seed).run(RunTime);
    std::printf("%-20s %-5s %7.1f%% %7.1f%% %7.1f%% %7.1f%% %7.1f%% %7.1f%% %8ld %8.0f\n",
                load.name, isFair ? "fair" : "rank", 100 * outcome.others.share(),
                100 * outcome.surging.share(), 100 * outcome.byRank[1].share(),
                100 * outcome.byRank[2].share(), 100 * outcome.byRank[3].share(),
                100 * outcome.transactions.share(), outcome.refused,
                std::chrono::duration<double, std::milli>(outcome.longestRefusal).count());
    return outcome;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    const bool hasSeed = argumentCount > 3 && std::strcmp(arguments[2], "--seed") == 0;
    const std::uint64_t seed = hasSeed ? std::stoull(arguments[3]) : UsualSeed;
    bool isKept = true;
    std::printf("%-20s %-5s %8s %8s %8s %8s %8s %8s %8s %8s\n", "load", "order", "others",
                "surging", "class 1", "class 2", "class 3", "transact", "refused", "slow ms");
    for (const FairnessLoad &load : FairnessLoads) {
        const FairnessOutcome before = report(load, false, seed);
        const FairnessOutcome after = report(load, true, seed);
        if (!isWithinBounds(load, before, after)) {
            std::printf("%s: a bound is exceeded\n", load.name);
            isKept = false;
        }
    }
    return isCheck && !isKept ? 1 : 0;
}
