// Prints the failover gap that callers see, and the same for fixed health checks.
// With --check it exits 1 when a stated bound is passed.

#include "failovergapmodel.h"

#include <cstdio>
#include <cstring>

using namespace nutmegtide;
using namespace nutmegtide::failovergap;

namespace {

constexpr int Trials = 40; // of eight callers each
constexpr unsigned FirstSeed = 2016;

struct Row
{
    Scenario scenario;
    std::chrono::milliseconds bound; // of the p99; zero: not judged
};

// The intervals of docs/CAPACITY.md: seldom enough for 3,100 nodes.
FailoverSettings largeSize()
{
    FailoverSettings settings;
    settings.primaryAnnounceInterval = 1s;
    settings.replicaAnnounceInterval = 5s;
    settings.detectionTime = 4s;
    return settings;
}

const Deployment Barricas {"Barricas", 500us, 3ms, {}};
const Deployment EvHizmetleri {"Ev Hizmetleri", 1500us, 1ms, {}};
const Deployment Large {"large size", 40ms, 20ms, largeSize()};

const Row Rows[] = {
        {{Barricas, Fault::Refused, false}, 300ms},
        {{Barricas, Fault::Silent, false}, 1000ms},
        {{EvHizmetleri, Fault::Refused, false}, 300ms},
        {{EvHizmetleri, Fault::Silent, false}, 1000ms},
        {{Large, Fault::Refused, false}, 18'000ms},
        {{Large, Fault::Silent, false}, 18'000ms},
        {{Barricas, Fault::Refused, true}, 0ms},
        {{Barricas, Fault::Silent, true}, 0ms},
        {{EvHizmetleri, Fault::Refused, true}, 0ms},
        {{EvHizmetleri, Fault::Silent, true}, 0ms},
};

double quantile(std::vector<Duration> &gaps, double part)
{
    if (gaps.empty())
        return 0;
    const auto at = gaps.begin() + long(part * double(gaps.size() - 1));
    std::nth_element(gaps.begin(), at, gaps.end());
    return std::chrono::duration<double, std::milli>(*at).count();
}

// Prints one row and returns whether it keeps its bound.
bool report(const Row &row, const Chart &chart)
{
    Outcome outcome;
    for (unsigned i = 0; i < Trials; ++i)
        Trial(row.scenario, chart, FirstSeed + i).run(outcome);
    const double p99 = quantile(outcome.gaps, 0.99);
    const bool isJudged = row.bound > 0ms;
    const bool isKept = p99 <= double(row.bound.count()) && outcome.lost == 0
            && outcome.doubled == 0 && outcome.unserved == 0;
    std::printf("%-14s %-8s %-9s %8.1f %8.1f %8.1f %8ld %5d %7d %8d %s\n",
                row.scenario.deployment.name,
                row.scenario.fault == Fault::Refused ? "refused" : "silent",
                row.scenario.isBaseline ? "baseline" : "fencing", quantile(outcome.gaps, 0.5), p99,
                quantile(outcome.gaps, 1), long(row.bound.count()), outcome.lost, outcome.doubled,
                outcome.unserved,
                !isJudged        ? ""
                        : isKept ? "kept"
                                 : "broken");
    return isKept || !isJudged;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    const ChartLibrary charts = ChartLibrary::embedded();
    bool isKept = true;
    std::printf(
            "deployment     fault    way        p50 ms   p99 ms   max ms    bound  lost doubled "
            "unserved\n");
    for (const Row &row : Rows) {
        const bool isWanted = !isCheck || row.bound > 0ms;
        isKept = (!isWanted || report(row, charts.chart("primary_change"))) && isKept;
    }
    return isCheck && !isKept ? 1 : 0;
}
