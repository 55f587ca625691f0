// Prints how rules for the choice of a server spread reads, when they know the servers' load from
// old reports only. With --check it measures only the rule of LoadBalancer and exits 1 when it
// passes a stated bound. --seed N after it takes another seed.

#include "balancemodel.h"

#include <cstdio>
#include <cstring>

using namespace nutmegtide;
using namespace nutmegtide::balance;

namespace {

struct NamedRule
{
    Rule rule;
    const char *name;
};

constexpr NamedRule Rules[] = {
        {Rule::Balanced, "balanced"},      {Rule::Random, "random"},
        {Rule::LowestCost, "lowest cost"}, {Rule::TwoChoices, "two choices"},
        {Rule::ProposedShares, "shares"},  {Rule::Subset, "subset"},
};

struct NamedTrouble
{
    Trouble trouble;
    const char *name;
    bool areServersEqual;
};

constexpr NamedTrouble Troubles[] = {
        {Trouble::None, "equal", true},
        {Trouble::Slow, "one slow", false},
        {Trouble::Failing, "one fails", false},
        {Trouble::Silent, "one silent", true},
};
constexpr Duration Ages[] = {100ms, 500ms, 2s};
constexpr int EntryVms[] = {60, 300, 3'000};
constexpr std::uint64_t UsualSeed = 2016;

// Target of docs/design/load-and-limits.md, Part C.
constexpr double MaxBusiestToMean = 1.25;
// When many entry VMs leave a server at once, its share changes by about its fair one.
constexpr double MaxSwing = 1.0 / Servers; // of a server's share, from a second to the next

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void print(const char *trouble, const Scenario &scenario, const char *rule, Outcome &outcome)
{
    std::sort(outcome.waits.begin(), outcome.waits.end());
    double sum = 0;
    for (const Duration wait : outcome.waits)
        sum += milliseconds(wait);
    const std::size_t count = std::max<std::size_t>(1, outcome.waits.size());
    std::printf("%-10s %4.1f s %5d %-12s %8.2f %8.2f%% %7.2f%% %7.1f %7.1f %7.1f%%\n", trouble,
                milliseconds(scenario.reportAge) / 1'000, scenario.entryVms, rule,
                outcome.busiestToMean(), 100.0 * double(outcome.refused) / double(outcome.arrivals),
                100.0 * double(outcome.failed) / double(outcome.arrivals), sum / double(count),
                milliseconds(outcome.waits[count * 99 / 100]), 100 * outcome.swing());
}

bool isKept(const Outcome &outcome)
{
    return outcome.busiestToMean() <= MaxBusiestToMean && outcome.swing() <= MaxSwing;
}

// Measures all rules in one scenario and returns whether the bounds are kept. They are for servers
// that are equally fast.
bool report(const NamedTrouble &trouble, Scenario scenario, bool isCheck, std::uint64_t seed)
{
    bool isBalancedKept = true;
    for (const NamedRule &rule : Rules) {
        scenario.rule = rule.rule;
        if (isCheck && rule.rule != Rule::Balanced)
            continue;
        Outcome outcome = Model(scenario, seed).run();
        print(trouble.name, scenario, rule.name, outcome);
        if (rule.rule == Rule::Balanced && trouble.areServersEqual)
            isBalancedKept = isKept(outcome);
    }
    if (!isBalancedKept)
        std::printf("%-10s broken: busiest to mean above %.2f, or a swing above %.1f%%\n",
                    trouble.name, MaxBusiestToMean, 100 * MaxSwing);
    return isBalancedKept;
}

} // namespace

int main(int argc, char **argv)
{
    const bool isCheck = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    std::uint64_t seed = UsualSeed;
    for (int i = 1; i + 1 < argc; ++i) {
        if (std::strcmp(argv[i], "--seed") == 0)
            seed = std::strtoull(argv[i + 1], nullptr, 10);
    }
    std::printf("servers    reports   VMs rule          busiest  refused  failed    mean     p99   "
                "swing\n");
    bool areKept = true;
    for (const NamedTrouble &trouble : Troubles) {
        for (const Duration age : Ages) {
            for (const int entryVms : EntryVms)
                areKept = report(trouble, {Rule::Balanced, trouble.trouble, entryVms, age}, isCheck,
                                 seed)
                        && areKept;
        }
    }
    return isCheck && !areKept ? 1 : 0;
}
