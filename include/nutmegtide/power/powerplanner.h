#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/charts/chart.h"
#include "nutmegtide/settings/fleetsettings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

using OrderId = Name<struct OrderIdTag>; // identifies an order to the platform

// A database group's demand for spare VMs.
struct GroupDemand
{
    DatabaseName database;
    bool hasLostVoter = false; // fewer servers are present than the settings ask for
    bool isSaturated = false; // reads are queued because no replica has a free slot
    bool isIdle = false; // the group needs one server less
};

enum class PowerActionKind {
    OrderOn,
    OrderOff,
    Drain, // make the VM's backend server leave, then call drained()
    CancelDrain,
};

// An action that the planner requests from its caller.
struct PowerAction
{
    PowerActionKind kind = PowerActionKind::OrderOn;
    VmName vm;
    DatabaseName database; // the group that the VM serves
    OrderId order; // empty for Drain and CancelDrain

    bool operator==(const PowerAction &) const = default;
};

using PowerActions = std::vector<PowerAction>;

// The state of one spare VM that has to survive a change of the control leader.
struct SpareRecord
{
    VmName vm;
    std::string state; // a state of charts/power.toml
    DatabaseName database;
    OrderId order;

    bool operator==(const SpareRecord &) const = default;
};

// Decides which spare VMs are powered on. The number of VMs that are on, or ordered on, never
// exceeds the settings. A group has at most one order in flight, and a VM is drained before it is
// switched off. A lost voter is replaced at once; saturation and idleness count only after they
// have lasted for the set time, so that short changes of load don't switch VMs on and off.
//
//   PowerPlanner planner(charts.chart("power"), settings.power, 1, 5s);
//   run(planner.observe(demands, now)); // on every tick
//   run(planner.confirm(order, now)); // the platform has carried the order out
//
// An order without an answer is repeated under the same id, so that the platform carries it out
// only once.
class PowerPlanner
{
public:
    // The chart must outlive the planner. `epoch` keeps order ids unique across changes of the
    // control leader; pass the leader's term.
    PowerPlanner(const Chart &chart, const PowerSettings &settings, Term epoch, Duration orderRetry);

    // Updates the demands and returns the actions that are due, including repeated orders.
    PowerActions observe(const std::vector<GroupDemand> &demands, TimePoint now);
    // The platform has carried out, or refused, an order. Unknown or outdated orders are ignored.
    PowerActions confirm(const OrderId &order, TimePoint now);
    PowerActions refuse(const OrderId &order, TimePoint now);
    // The VM's backend server has left after a Drain.
    PowerActions drained(const VmName &vm, TimePoint now);
    // The VM has failed while it was on or being drained.
    PowerActions lost(const VmName &vm, TimePoint now);

    // Returns how many VMs are on or ordered on, or not yet confirmed off.
    int powered() const;
    std::vector<SpareRecord> records() const;
    // Restores the state that an earlier leader has recorded.
    void restore(const std::vector<SpareRecord> &records, TimePoint now);

private:
    struct Spare
    {
        explicit Spare(const Chart &chart)
            : chart(chart)
        { }

        ChartInstance chart;
        DatabaseName database;
        OrderId order;
        TimePoint orderedAt;
    };

    struct Demand
    {
        std::optional<TimePoint> saturatedSince;
        std::optional<TimePoint> idleSince;
    };

    void fire(const VmName &vm, Spare &spare, const std::string &event, TimePoint now,
              PowerActions &actions);
    PowerActions fireOrder(const OrderId &order, const char *onEvent, const char *offEvent,
                           TimePoint now);
    void handleDemand(const GroupDemand &demand, TimePoint now, PowerActions &actions);
    void switchOn(const DatabaseName &database, TimePoint now, PowerActions &actions);
    void switchOff(const DatabaseName &database, TimePoint now, PowerActions &actions);
    void repeatOrders(TimePoint now, PowerActions &actions);
    bool hasOrderInFlight(const DatabaseName &database) const;
    OrderId nextOrder(const VmName &vm);

    const Chart &m_chart;
    const PowerSettings m_settings;
    const Term m_epoch;
    const Duration m_orderRetry;
    std::uint64_t m_orders = 0;
    std::map<VmName, Spare> m_spares;
    std::map<DatabaseName, Demand> m_demands;
};

} // namespace nutmegtide
