#include "nutmegtide/failover/reportschedule.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const DatabaseName Casks("casks");
const DatabaseName Jars("jars");
const std::vector<VmName> Controls {VmName("a1"), VmName("b1"), VmName("c1")};

// Control VMs that answer at once. An empty leader means that an election is in progress.
struct Control
{
    VmName leader {"c1"};
    std::vector<VmName> dead {};
    std::size_t knownGroups = 2;
};

// A home with two groups, in virtual time.
class Home
{
public:
    // Makes and returns the calls that are due until `end`, in steps of one millisecond.
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

TEST_CASE("a home finds the leader and reports all its groups to it at once")
{
    Home home;
    const auto calls = home.runUntil(0ms, {});
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].databases.empty()); // asks the first control VM for the leader
    CHECK(calls[1].control == VmName("c1"));
    CHECK(calls[1].databases.empty());
    CHECK(calls[2].control == VmName("c1"));
    CHECK(calls[2].databases == std::vector<DatabaseName> {Casks, Jars});
}

TEST_CASE("without changes only the leader is called, once a second, with a full report every 3 s")
{
    Home home;
    home.runUntil(0ms, {});
    const auto calls = home.runUntil(30s, {});
    CHECK(countTo(calls, VmName("c1")) == calls.size());
    CHECK(countNaming(calls, Casks) == 10);
    CHECK(calls.size() == 30);
    CHECK(home.dueAt() <= TimePoint() + 31s);
}

TEST_CASE("a changed group is reported at once, without the others")
{
    struct Row
    {
        const char *name;
        GroupStatus sight;
        std::size_t withinSecond; // reports in the second after the change
    };
    const Row rows[] = {
            {"the primary is suspected", {1, true, {}}, 5},
            {"a new term", {2, false, {}}, 1},
            {"a new server", {1, false, {{ServerId("s1"), {}}}}, 1},
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

TEST_CASE("a new leader receives all groups of a home within one report interval")
{
    struct Row
    {
        const char *name;
        Control between; // the answers for one second before b1 leads
    };
    const Row rows[] = {
            {"the old leader is alive and names the new one", {VmName("b1"), {}}},
            {"the old leader is down", {VmName(), {VmName("c1")}}},
            {"an election is in progress", {VmName(), {}}},
            {"the others still name the old leader, which is down", {VmName("c1"), {VmName("c1")}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Home home;
        home.runUntil(10s, {});
        auto calls = home.runUntil(11s, row.between);
        Control after = row.between;
        after.leader = VmName("b1");
        const auto later = home.runUntil(11'900ms, after); // before the next full report is due
        calls.insert(calls.end(), later.begin(), later.end());
        CHECK(countNaming(calls, Casks) == 1);
        CHECK(countNaming(calls, Jars) == 1);
        CHECK(calls.back().control == VmName("b1"));
    }
}

TEST_CASE("without a leader a home asks for it only a few times a second")
{
    Home home;
    CHECK(home.runUntil(10s, {VmName(), {}}).size() <= 51);
    Home alone;
    CHECK(alone.runUntil(10s, {VmName(), Controls}).size() <= 51 * 4);
}

TEST_CASE("a leader that lost its records is sent everything again, at most once per heartbeat")
{
    Home home;
    home.runUntil(10'500ms, {});
    CHECK(countNaming(home.runUntil(11'400ms, {VmName("c1"), {}, 0}), Jars) == 1);
    Home other;
    other.runUntil(10'500ms, {});
    CHECK(other.runUntil(20'500ms, {VmName("c1"), {}, 0}).size() <= 21);
}
