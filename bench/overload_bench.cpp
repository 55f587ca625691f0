// Prints what callers get when they send more than the servers can do, for the
// admission queues and for the plain baseline. With --check it exits 1 when a
// stated bound is passed at five times the capacity. --seed N after it takes another seed.

#include "overloadmodel.h"

#include <cstdio>
#include <cstring>

using namespace nutmegtide;
using namespace nutmegtide::overload;

namespace {

constexpr Deployment Deployments[] = {{"Barricas", 20, 500us}, {"Ev Hizmetleri", 50, 1500us}};
constexpr double Loads[] = {1, 2, 5};
constexpr double JudgedLoad = 5;
constexpr int Homes[] = {1, 3};
constexpr double LeastGoodput = 0.9; // of the capacity of the slots, ways included
constexpr Duration SlowestRefusal = 5ms;
constexpr std::uint64_t UsualSeed = 2016;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double shareOf(const Outcome &outcome, AdmissionClass kind)
{
    const auto found = outcome.byClass.find(kind);
    return found == outcome.byClass.end()
            ? 0
            : 100.0 * double(found->second.first) / double(std::max(1L, found->second.second));
}

// Prints one row and returns whether it keeps the stated bounds.
bool report(const Scenario &scenario, std::uint64_t seed)
{
    Outcome outcome = Simulation(scenario, seed).run();
    const double retries = double(outcome.resent) / double(outcome.fresh);
    const double budget = RetryShare + RetryBudget::MostHeld / double(outcome.fresh);
    std::sort(outcome.refusalTimes.begin(), outcome.refusalTimes.end());
    const long slow = std::count_if(outcome.refusalTimes.begin(), outcome.refusalTimes.end(),
                                    [](Duration time) { return time > SlowestRefusal; });
    // A slot that the home has promised to a statement is taken while the request and
    // the answer are under way, since the server refuses what comes early.
    const std::chrono::duration<double> ways = 2 * scenario.deployment.oneWay;
    const double ofSlots = outcome.goodput(MeanServiceSeconds);
    const double ofReachable = outcome.goodput(MeanServiceSeconds + ways.count());
    const bool isKept = ofReachable >= LeastGoodput && slow == 0 && outcome.lateAnswers == 0
            && retries <= budget;
    std::printf("%-14s %-9s %5d %3.0fx %7.1f%% %7.1f%% %6ld %7ld %6ld %8.2f %7.1f%% %8.2f"
                " %5.0f%% %5.0f%% %5.0f%% %s\n",
                scenario.deployment.name,
                scenario.policy == Policy::Admission ? "admission" : "baseline", scenario.homes,
                scenario.load, 100 * ofSlots, 100 * ofReachable, outcome.lateAnswers,
                outcome.refused, slow, milliseconds(outcome.slowestRefusal), 100 * retries,
                outcome.fairness(), shareOf(outcome, AdmissionClass::Write),
                shareOf(outcome, AdmissionClass::AgedRead),
                shareOf(outcome, AdmissionClass::PlainRead), isKept ? "kept" : "broken");
    return isKept;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    const bool hasSeed = argumentCount > 3 && std::strcmp(arguments[2], "--seed") == 0;
    const std::uint64_t seed = hasSeed ? std::stoull(arguments[3]) : UsualSeed;
    bool isKept = true;
    std::printf("deployment     policy    homes load   slots reachable  late refused >5 ms  "
                "slowest  resent"
                " max/min write  aged plain bounds\n");
    for (const Deployment &deployment : Deployments) {
        for (const Policy policy : {Policy::Admission, Policy::Baseline}) {
            for (const int homes : Homes) {
                for (const double load : Loads) {
                    const bool isJudged = policy == Policy::Admission && load == JudgedLoad;
                    if (isCheck && !isJudged)
                        continue;
                    const bool isRowKept = report({deployment, policy, homes, load}, seed);
                    isKept = isKept && (isRowKept || !isJudged);
                }
            }
        }
    }
    return isCheck && !isKept ? 1 : 0;
}
