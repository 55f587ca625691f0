// Prints the share of reads that replicas serve and what waiting for a replica
// buys. With --check it runs the policy in use and exits 1 when a stated bound is passed.

#include "replicasharemodel.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <vector>

using namespace nutmegtide;
using namespace nutmegtide::replicashare;

namespace {

double quantile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    const auto at = values.begin() + long(part * double(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

const Deployment Deployments[] = {{"Barricas", 500us, 3ms}, {"Ev Hizmetleri", 1500us, 1ms}};
const Policy Policies[] = {
        {"primary", 0ms, false}, {"no wait", 0ms, true},  {"wait 5", 5ms, true},
        {"wait 10", 10ms, true}, {"wait 15", 15ms, true}, {"wait 20", 20ms, true},
        {"wait 40", 40ms, true},
};
constexpr const char *JudgedPolicy = "wait 15";

const char *nameOf(Fault fault)
{
    if (fault == Fault::None)
        return "healthy";
    return fault == Fault::StalledReplica ? "stalled" : "cut off";
}

// Prints one row and returns whether it keeps the stated bounds.
bool report(const Scenario &scenario)
{
    Outcome outcome = Simulation(scenario, 2016).run();
    const Milliseconds ways = 2 * scenario.deployment.toClient
            + 2 * scenario.deployment.betweenDomains;
    const Milliseconds bound = LatencyAllowance + ways;
    const double p99 = quantile(outcome.latencies, 0.99);
    const double least = scenario.fault == Fault::None ? HealthyShare : DamagedShare;
    const bool isKept = outcome.share() >= least && outcome.wrong == 0 && p99 <= bound.count();
    std::printf("%-14s %-8s %-8s %-8s %6.2f%% %6ld %7ld %8ld %7.1f %7.1f %6.1f %6.0f %s\n",
                scenario.deployment.name, scenario.reads == Reads::FirstSoon ? "first" : "all",
                nameOf(scenario.fault), scenario.policy.name, 100 * outcome.share(), outcome.wrong,
                outcome.refused, outcome.total, p99, bound.count(), quantile(outcome.lags, 0.5),
                quantile(outcome.lags, 0.99), isKept ? "kept" : "broken");
    return isKept;
}

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> all;
    for (const Reads reads : {Reads::FirstSoon, Reads::AllSoon}) {
        for (const Deployment &deployment : Deployments) {
            for (const Fault fault : {Fault::None, Fault::StalledReplica, Fault::DomainCutOff}) {
                for (const Policy &policy : Policies)
                    all.push_back({deployment, policy, fault, reads});
            }
        }
    }
    return all;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    bool isKept = true;
    std::printf("deployment     reads    fault    policy     share  wrong refused    reads     p99"
                "   bound lag50  lag99 bounds\n");
    for (const Scenario &scenario : scenarios()) {
        const bool isJudged = std::strcmp(scenario.policy.name, JudgedPolicy) == 0
                && scenario.reads == Reads::FirstSoon;
        if (isCheck && !isJudged)
            continue;
        const bool isRowKept = report(scenario);
        isKept = isKept && (isRowKept || !isJudged);
    }
    return isCheck && !isKept ? 1 : 0;
}
