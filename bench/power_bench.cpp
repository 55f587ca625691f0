// Spare VM-hours over a seeded day with failures: the planner against spares that
// are always on and against none. The bound: the planner serves as much as spares
// that are always on, to within one percent, with fewer VM-hours.

#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/power/powerplanner.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <random>

using namespace nutmegtide;

namespace {

constexpr int Seed = 2026;
constexpr int Groups = 3;
constexpr int Spares = 3;
constexpr int BaseServers = 3; // of each group
constexpr int DaySeconds = 86'400;
constexpr int BootSeconds = 90;
constexpr int RepairSeconds = 7'200; // until a failed server is back
constexpr double FailuresPerServerDay = 0.3;
constexpr double ServedTolerance = 0.01;
constexpr double SaturatedShare = 0.95; // of the capacity
constexpr double IdleShare = 0.6; // of the capacity without one server

struct Result
{
    const char *name;
    double served = 0; // share of the load
    double vmHours = 0; // of spares
};

// The load of a group in servers' worth, by the second of the day.
double loadAt(int group, int second)
{
    constexpr double Pi = 3.14159265358979;
    const double phase = 2 * Pi * (second / double(DaySeconds)) + group;
    const double peak = second % 21'600 < 900 ? 0.8 : 0; // an hour's end of the month, four a day
    return 2.0 + 0.9 * std::sin(phase) + peak;
}

struct Group
{
    std::vector<int> repairedAt = std::vector<int>(BaseServers, 0); // second of the day
    std::map<VmName, int> readyAt; // spares that serve the group

    int servers(int second) const
    {
        const auto isReady = [second](int at) { return at <= second; };
        const auto base = std::count_if(repairedAt.begin(), repairedAt.end(), isReady);
        const auto extra = std::count_if(readyAt.begin(), readyAt.end(),
                                         [&](const auto &spare) { return isReady(spare.second); });
        return static_cast<int>(base + extra);
    }
};

class Day
{
public:
    explicit Day(int alwaysOn)
        : m_alwaysOn(alwaysOn)
        , m_planner(powerChart(), settings(alwaysOn), 1, 5s)
    { }

    Result run(const char *name)
    {
        double load = 0;
        double served = 0;
        double spareSeconds = 0;
        for (int second = 0; second < DaySeconds; ++second) {
            failServers(second);
            if (m_alwaysOn < 0)
                plan(second);
            for (int i = 0; i < Groups; ++i) {
                const double wanted = loadAt(i, second);
                const int spare = m_alwaysOn > 0 ? m_alwaysOn / Groups : 0;
                load += wanted;
                served += std::min(wanted, double(m_groups[i].servers(second) + spare));
            }
            spareSeconds += m_alwaysOn < 0 ? m_planner.powered() : m_alwaysOn;
        }
        return {name, served / load, spareSeconds / 3600};
    }

private:
    static const Chart &powerChart()
    {
        static const ChartLibrary charts = ChartLibrary::embedded();
        return charts.chart("power");
    }

    static PowerSettings settings(int alwaysOn)
    {
        PowerSettings settings;
        settings.mostVms = alwaysOn < 0 ? Spares : 0;
        for (int i = 0; i < Spares; ++i)
            settings.spares.emplace_back("spare-" + std::to_string(i));
        return settings;
    }

    void failServers(int second)
    {
        std::uniform_real_distribution<double> chance;
        for (Group &group : m_groups) {
            for (int &repairedAt : group.repairedAt) {
                const bool fails = chance(m_generator) < FailuresPerServerDay / DaySeconds;
                if (fails && repairedAt <= second)
                    repairedAt = second + RepairSeconds;
            }
        }
    }

    void plan(int second)
    {
        const TimePoint now {std::chrono::seconds(second)};
        std::vector<GroupDemand> demands;
        for (int i = 0; i < Groups; ++i) {
            const int servers = m_groups[i].servers(second);
            const double load = loadAt(i, second);
            GroupDemand demand;
            demand.database = databaseOf(i);
            const bool isBooting = servers < BaseServers
                    && int(m_groups[i].readyAt.size()) + servers >= BaseServers;
            demand.hasLostVoter = servers < BaseServers && !isBooting;
            demand.isSaturated = load > SaturatedShare * servers;
            demand.isIdle = servers > BaseServers && load < IdleShare * (servers - 1);
            demands.push_back(demand);
        }
        carryOut(m_planner.observe(demands, now), second);
    }

    void carryOut(const PowerActions &actions, int second)
    {
        const TimePoint now {std::chrono::seconds(second)};
        for (const PowerAction &action : actions) {
            Group &group = groupOf(action.database);
            if (action.kind == PowerActionKind::OrderOn) {
                group.readyAt[action.vm] = second + BootSeconds;
                carryOut(m_planner.confirm(action.order, now), second);
            }
            if (action.kind == PowerActionKind::Drain) {
                group.readyAt.erase(action.vm);
                carryOut(m_planner.drained(action.vm, now), second);
            }
            if (action.kind == PowerActionKind::OrderOff)
                carryOut(m_planner.confirm(action.order, now), second);
        }
    }

    static DatabaseName databaseOf(int group)
    {
        return DatabaseName("db-" + std::to_string(group));
    }
    Group &groupOf(const DatabaseName &database)
    {
        for (int i = 0; i < Groups; ++i) {
            if (databaseOf(i) == database)
                return m_groups[i];
        }
        return m_groups[0];
    }

    const int m_alwaysOn; // spares; below 0: the planner decides
    PowerPlanner m_planner;
    std::mt19937_64 m_generator {Seed};
    std::vector<Group> m_groups = std::vector<Group>(Groups);
};

} // namespace

int main(int argc, char **argv)
{
    const bool isChecked = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    const Result planned = Day(-1).run("planner");
    const Result always = Day(Spares).run("always on");
    const Result none = Day(0).run("none");
    std::printf("%-10s %10s %10s\n", "spares", "served", "VM-hours");
    for (const Result &result : {planned, always, none})
        std::printf("%-10s %9.2f%% %10.1f\n", result.name, 100 * result.served, result.vmHours);
    const bool isWithin = planned.served >= always.served - ServedTolerance
            && planned.vmHours < always.vmHours && planned.served > none.served;
    std::printf("bound: served within %.0f%% of always on, fewer VM-hours: %s\n",
                100 * ServedTolerance, isWithin ? "held" : "broken");
    return isChecked && !isWithin ? 1 : 0;
}
