#include "nutmegtide/failover/reportschedule.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const DatabaseName Casks("casks");
const DatabaseName Jars("jars");
const std::vector<VmName> Controls {VmName("a1"), VmName("b1"), VmName("c1")};

// Control VMs that answer at once. An empty leader is an election that goes on.
struct Control
{
    VmName leader {"c1"};
    std::vector<VmName> dead {};
    std::size_t knownGroups = 2;
};

// One home with two groups, and the calls that it made.
class Home
{
public:
    // Makes the calls that are due until the given moment, one step a millisecond.
    std::vector<ReportCall> runUntil(Duration end, const Control &control)
    {
        std::vector<ReportCall> calls;
        for (; m_now <= TimePoint() + end; m_now += 1ms) {
            while (const auto call = m_schedule.next(Controls, sights, m_now)) {
                calls.push_back(*call);
                answer(*call, control);
                REQUIRE(calls.size() < 1'000);
            }
        }
        return calls;
    }
    TimePoint dueAt() const { return m_schedule.dueAt(m_now); }

    ReportSchedule::Sights sights {{Casks, {1, false, {}}}, {Jars, {1, false, {}}}};

private:
    void answer(const ReportCall &call, const Control &control)
    {
        const auto &dead = control.dead;
        if (std::find(dead.begin(), dead.end(), call.control) != dead.end())
            return m_schedule.onFailure(m_now);
        const bool isLeader = call.control == control.leader;
        m_schedule.onAnswer(call, sights,
                            {isLeader, control.leader, isLeader ? control.knownGroups : 0}, m_now);
    }

    ReportSchedule m_schedule;
    TimePoint m_now;
};

std::size_t countTo(const std::vector<ReportCall> &calls, const VmName &control)
{
    return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [&](const ReportCall &call) { return call.control == control; }));
}

std::size_t countNaming(const std::vector<ReportCall> &calls, const DatabaseName &database)
{
    return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(), [&](const ReportCall &call) {
                const auto &named = call.databases;
                return std::find(named.begin(), named.end(), database) != named.end();
            }));
}

} // namespace

TEST_CASE("a home finds the leader and tells it all its groups at once")
{
    Home home;
    const auto calls = home.runUntil(0ms, {});
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].databases.empty()); // a question to the first control VM
    CHECK(calls[1].control == VmName("c1"));
    CHECK(calls[1].databases.empty());
    CHECK(calls[2].control == VmName("c1"));
    CHECK(calls[2].databases == std::vector<DatabaseName> {Casks, Jars});
}

TEST_CASE("while nothing changes only the leader is called, each second, and told all each 3 s")
{
    Home home;
    home.runUntil(0ms, {});
    const auto calls = home.runUntil(30s, {});
    CHECK(countTo(calls, VmName("c1")) == calls.size());
    CHECK(countNaming(calls, Casks) == 10);
    CHECK(calls.size() == 30);
    CHECK(home.dueAt() <= TimePoint() + 31s);
}

TEST_CASE("a changed group is told at once, and alone")
{
    struct Row
    {
        const char *name;
        GroupSight sight;
        std::size_t withinSecond; // reports in the second after the change
    };
    const Row rows[] = {
            {"the primary is suspected", {1, true, {}}, 5},
            {"a new term", {2, false, {}}, 1},
            {"a server comes", {1, false, {{ServerId("s1"), {}}}}, 1},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Home home;
        home.runUntil(1500ms, {});
        home.sights[Casks] = row.sight;
        const auto first = home.runUntil(1501ms, {});
        REQUIRE(first.size() == 1);
        CHECK(first[0].databases == std::vector<DatabaseName> {Casks});
        const auto later = home.runUntil(2499ms, {});
        CHECK(countNaming(first, Casks) + countNaming(later, Casks) == row.withinSecond);
        CHECK(countNaming(later, Jars) == 0);
    }
}

TEST_CASE("a new leader hears all groups of a home within one report interval")
{
    struct Row
    {
        const char *name;
        Control between; // for a second, before b1 leads
    };
    const Row rows[] = {
            {"the old leader lives and names it", {VmName("b1"), {}}},
            {"the old leader is dead", {VmName(), {VmName("c1")}}},
            {"an election goes on", {VmName(), {}}},
            {"the others still name the dead leader", {VmName("c1"), {VmName("c1")}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Home home;
        home.runUntil(10s, {});
        auto calls = home.runUntil(11s, row.between);
        Control after = row.between;
        after.leader = VmName("b1");
        const auto later = home.runUntil(11'900ms, after); // before all is due anyway
        calls.insert(calls.end(), later.begin(), later.end());
        CHECK(countNaming(calls, Casks) == 1);
        CHECK(countNaming(calls, Jars) == 1);
        CHECK(calls.back().control == VmName("b1"));
    }
}

TEST_CASE("without a leader a home asks a few times a second")
{
    Home home;
    CHECK(home.runUntil(10s, {VmName(), {}}).size() <= 51);
    Home alone;
    CHECK(alone.runUntil(10s, {VmName(), Controls}).size() <= 51 * 4);
}

TEST_CASE("a leader that has begun anew is sent all again, once a heartbeat at most")
{
    Home home;
    home.runUntil(10'500ms, {});
    CHECK(countNaming(home.runUntil(11'400ms, {VmName("c1"), {}, 0}), Jars) == 1);
    Home other;
    other.runUntil(10'500ms, {});
    CHECK(other.runUntil(20'500ms, {VmName("c1"), {}, 0}).size() <= 21);
}
