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

using OrderId = Name<struct OrderIdTag>; // of an order to the platform

// What a database group asks of the spare VMs.
struct GroupDemand
{
    DatabaseName database;
    bool hasLostVoter = false; // fewer voters answer than the settings ask for
    bool isSaturated = false; // reads wait for a slot at every replica
    bool isIdle = false; // the group would do with one server less
};

enum class PowerActionKind {
    OrderOn,
    OrderOff,
    Drain, // the VM's backend server is to leave; then drained() is called
    CancelDrain,
};

struct PowerAction
{
    PowerActionKind kind = PowerActionKind::OrderOn;
    VmName vm;
    DatabaseName database; // the group that the VM serves
    OrderId order; // empty for Drain and CancelDrain

    bool operator==(const PowerAction &) const = default;
};

using PowerActions = std::vector<PowerAction>;

// Where one spare VM stands; what has to survive a change of the control leader.
struct SpareRecord
{
    VmName vm;
    std::string state; // of charts/power.toml
    DatabaseName database;
    OrderId order;

    bool operator==(const SpareRecord &) const = default;
};

// Decides which spare VMs are powered. Never more VMs are on, or ordered on, than
// the settings allow; a group has one order in flight at a time; a VM is drained
// before it is switched off. A lost voter is replaced at once; saturation and
// idleness count only after they have lasted, so that load that comes and goes
// doesn't switch VMs on and off.
//
//   PowerPlanner planner(charts.chart("power"), settings.power, 1, 5s);
//   run(planner.observe(demands, now)); // on every tick
//   run(planner.confirm(order, now)); // the platform has carried it out
//
// An order without an answer is repeated under its own id, which the platform
// carries out once.
class PowerPlanner
{
public:
    // The chart must outlive the planner. The epoch makes order ids unique over
    // changes of the control leader; its term serves.
    PowerPlanner(const Chart &chart, const PowerSettings &settings, Term epoch, Duration orderRetry);

    PowerActions observe(const std::vector<GroupDemand> &demands, TimePoint now);
    PowerActions confirm(const OrderId &order, TimePoint now);
    PowerActions refuse(const OrderId &order, TimePoint now);
    PowerActions drained(const VmName &vm, TimePoint now);
    PowerActions lost(const VmName &vm, TimePoint now);

    // Counts VMs that are on or ordered on, and those not yet confirmed off.
    int powered() const;
    std::vector<SpareRecord> records() const;
    // Takes over what an earlier leader had recorded.
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
