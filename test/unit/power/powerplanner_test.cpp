#include "nutmegtide/power/powerplanner.h"

#include "nutmegtide/charts/chartlibrary.h"

#include <doctest/doctest.h>

#include <random>

using namespace nutmegtide;

namespace {

const DatabaseName Casks("casks");
const DatabaseName Payroll("payroll");
constexpr auto OrderRetry = 5s;

const Chart &powerChart()
{
    static const ChartLibrary charts = ChartLibrary::embedded();
    return charts.chart("power");
}

PowerSettings settingsFor(int mostVms)
{
    PowerSettings settings;
    settings.mostVms = mostVms;
    settings.spares = {VmName("v1"), VmName("v2"), VmName("v3")};
    settings.saturatedBeforeOn = 30s;
    settings.idleBeforeOff = 600s;
    return settings;
}

GroupDemand lostVoter(const DatabaseName &database)
{
    return {database, true, false, false};
}

GroupDemand saturated(const DatabaseName &database)
{
    return {database, false, true, false};
}

GroupDemand idle(const DatabaseName &database)
{
    return {database, false, false, true};
}

} // namespace

TEST_CASE("a lost voter is replaced at once, saturation adds a VM only after it has lasted")
{
    PowerPlanner planner(powerChart(), settingsFor(3), 1, OrderRetry);
    const TimePoint start;
    const PowerActions ordered = planner.observe({lostVoter(Casks), saturated(Payroll)}, start);
    REQUIRE(ordered.size() == 1);
    CHECK((ordered[0].kind == PowerActionKind::OrderOn));
    CHECK((ordered[0].database == Casks));
    CHECK(planner.observe({saturated(Payroll)}, start + 4s).empty());
    // An interruption of the saturation restarts its time.
    planner.confirm(ordered[0].order, start + 4s);
    planner.observe({{Payroll, false, false, false}}, start + 20s);
    CHECK(planner.observe({saturated(Payroll)}, start + 31s).empty());
    CHECK(planner.observe({saturated(Payroll)}, start + 61s).size() == 1);
}

TEST_CASE("an order without an answer is repeated under the same id, and a group has only one")
{
    PowerPlanner planner(powerChart(), settingsFor(3), 1, OrderRetry);
    const TimePoint start;
    const PowerActions first = planner.observe({lostVoter(Casks)}, start);
    REQUIRE(first.size() == 1);
    CHECK(planner.observe({lostVoter(Casks)}, start + 1s).empty());
    const PowerActions repeated = planner.observe({lostVoter(Casks)}, start + 6s);
    REQUIRE(repeated.size() == 1);
    CHECK((repeated[0] == first[0]));
    CHECK(planner.powered() == 1);
}

TEST_CASE("a new control leader repeats the recorded order instead of making another")
{
    PowerPlanner before(powerChart(), settingsFor(3), 1, OrderRetry);
    const TimePoint start;
    const PowerActions first = before.observe({lostVoter(Casks)}, start);
    PowerPlanner after(powerChart(), settingsFor(3), 2, OrderRetry);
    after.restore(before.records(), start + 1s);
    CHECK((after.records() == before.records()));
    const PowerActions repeated = after.observe({lostVoter(Casks)}, start + 7s);
    REQUIRE(repeated.size() == 1);
    CHECK((repeated[0] == first[0]));
}

TEST_CASE("a spare is drained before it is switched off, and a new demand cancels the drain")
{
    PowerPlanner planner(powerChart(), settingsFor(3), 1, OrderRetry);
    TimePoint now;
    const PowerActions on = planner.observe({lostVoter(Casks)}, now);
    planner.confirm(on[0].order, now);
    planner.observe({idle(Casks)}, now);
    now += 601s;
    const PowerActions drain = planner.observe({idle(Casks)}, now);
    REQUIRE(drain.size() == 1);
    CHECK((drain[0].kind == PowerActionKind::Drain));
    const PowerActions cancelled = planner.observe({lostVoter(Casks)}, now + 1s);
    REQUIRE(cancelled.size() == 1);
    CHECK((cancelled[0].kind == PowerActionKind::CancelDrain));
    planner.observe({idle(Casks)}, now + 2s);
    now += 700s;
    planner.observe({idle(Casks)}, now);
    const PowerActions off = planner.drained(on[0].vm, now);
    REQUIRE(off.size() == 1);
    CHECK((off[0].kind == PowerActionKind::OrderOff));
    CHECK((off[0].order != on[0].order));
    planner.confirm(off[0].order, now);
    CHECK(planner.powered() == 0);
}

TEST_CASE("the configured number of VMs is never exceeded, whatever the demands and answers")
{
    constexpr int Rounds = 20'000;
    constexpr int MostVms = 2;
    std::mt19937_64 generator(7);
    PowerPlanner planner(powerChart(), settingsFor(MostVms), 1, OrderRetry);
    TimePoint now;
    std::vector<OrderId> orders;
    for (int round = 0; round < Rounds; ++round) {
        now += std::chrono::milliseconds(generator() % 20'000);
        std::vector<GroupDemand> demands;
        for (const DatabaseName &database : {Casks, Payroll})
            demands.push_back(
                    {database, generator() % 9 == 0, generator() % 2 == 0, generator() % 3 != 0});
        for (const PowerAction &action : planner.observe(demands, now)) {
            if (!action.order.isEmpty())
                orders.push_back(action.order);
            if (action.kind == PowerActionKind::Drain && generator() % 2 == 0)
                planner.drained(action.vm, now);
        }
        if (!orders.empty() && generator() % 2 == 0)
            planner.confirm(orders[generator() % orders.size()], now);
        if (!orders.empty() && generator() % 10 == 0)
            planner.refuse(orders[generator() % orders.size()], now);
        if (generator() % 50 == 0)
            planner.lost(VmName("v1"), now);
        REQUIRE_MESSAGE(planner.powered() <= MostVms, "round ", round);
    }
}
