#include "nutmegtide/power/powerplanner.h"

#include <algorithm>

namespace nutmegtide {

namespace {

bool isOrdering(const std::string &state)
{
    return state == "ordering_on" || state == "ordering_off";
}

// Tracks since when a condition has held without interruption.
void trackSince(std::optional<TimePoint> &since, bool holds, TimePoint now)
{
    if (!holds)
        since.reset();
    else if (!since)
        since = now;
}

bool hasLasted(const std::optional<TimePoint> &since, Duration time, TimePoint now)
{
    return since && now - *since >= time;
}

// Returns the events that lead from the chart's initial state to the recorded one.
std::vector<std::string> eventsLeadingTo(const std::string &state)
{
    const std::vector<std::string> path = {"needed", "on_confirmed", "not_needed", "drained"};
    const std::vector<std::string> states = {"off", "ordering_on", "on", "draining", "ordering_off"};
    const auto found = std::find(states.begin(), states.end(), state);
    const auto steps = found == states.end() ? 0 : found - states.begin();
    return {path.begin(), path.begin() + steps};
}

} // namespace

PowerPlanner::PowerPlanner(const Chart &chart, const PowerSettings &settings, Term epoch,
                           Duration orderRetry)
    : m_chart(chart)
    , m_settings(settings)
    , m_epoch(epoch)
    , m_orderRetry(orderRetry)
{
    for (const VmName &vm : settings.spares)
        m_spares.emplace(vm, m_chart);
}

PowerActions PowerPlanner::observe(const std::vector<GroupDemand> &demands, TimePoint now)
{
    PowerActions actions;
    repeatOrders(now, actions);
    for (const GroupDemand &demand : demands)
        handleDemand(demand, now, actions);
    return actions;
}

void PowerPlanner::handleDemand(const GroupDemand &demand, TimePoint now, PowerActions &actions)
{
    Demand &known = m_demands[demand.database];
    trackSince(known.saturatedSince, demand.isSaturated, now);
    trackSince(known.idleSince, demand.isIdle && !demand.hasLostVoter, now);
    if (hasOrderInFlight(demand.database))
        return;
    const bool isNeeded = demand.hasLostVoter
            || hasLasted(known.saturatedSince, m_settings.saturatedBeforeOn, now);
    if (isNeeded) {
        known.saturatedSince.reset();
        switchOn(demand.database, now, actions);
        return;
    }
    if (hasLasted(known.idleSince, m_settings.idleBeforeOff, now)) {
        known.idleSince.reset();
        switchOff(demand.database, now, actions);
    }
}

void PowerPlanner::switchOn(const DatabaseName &database, TimePoint now, PowerActions &actions)
{
    // Prefer a VM of the same group that is being drained, since it is already on.
    for (auto &[vm, spare] : m_spares) {
        if (spare.database == database && spare.chart.state() == "draining") {
            fire(vm, spare, "needed", now, actions);
            return;
        }
    }
    if (powered() >= m_settings.mostVms)
        return;
    for (auto &[vm, spare] : m_spares) {
        if (spare.chart.state() != "off")
            continue;
        spare.database = database;
        fire(vm, spare, "needed", now, actions);
        return;
    }
}

void PowerPlanner::switchOff(const DatabaseName &database, TimePoint now, PowerActions &actions)
{
    for (auto &[vm, spare] : m_spares) {
        if (spare.database != database || spare.chart.state() != "on")
            continue;
        fire(vm, spare, "not_needed", now, actions);
        return;
    }
}

PowerActions PowerPlanner::confirm(const OrderId &order, TimePoint now)
{
    return fireOrder(order, "on_confirmed", "off_confirmed", now);
}

PowerActions PowerPlanner::refuse(const OrderId &order, TimePoint now)
{
    return fireOrder(order, "order_refused", "order_refused", now);
}

PowerActions PowerPlanner::fireOrder(const OrderId &order, const char *onEvent,
                                     const char *offEvent, TimePoint now)
{
    PowerActions actions;
    for (auto &[vm, spare] : m_spares) {
        if (spare.order != order || !isOrdering(spare.chart.state()))
            continue;
        fire(vm, spare, spare.chart.state() == "ordering_on" ? onEvent : offEvent, now, actions);
    }
    return actions;
}

PowerActions PowerPlanner::drained(const VmName &vm, TimePoint now)
{
    PowerActions actions;
    const auto found = m_spares.find(vm);
    if (found != m_spares.end() && found->second.chart.state() == "draining")
        fire(vm, found->second, "drained", now, actions);
    return actions;
}

PowerActions PowerPlanner::lost(const VmName &vm, TimePoint now)
{
    PowerActions actions;
    const auto found = m_spares.find(vm);
    if (found == m_spares.end())
        return actions;
    const std::string state = found->second.chart.state();
    if (state == "on" || state == "draining")
        fire(vm, found->second, "vm_lost", now, actions);
    return actions;
}

void PowerPlanner::fire(const VmName &vm, Spare &spare, const std::string &event, TimePoint now,
                        PowerActions &actions)
{
    const ChartStep step = spare.chart.fire(event);
    for (const std::string &action : step.actions) {
        const bool isOrder = action == "order_on" || action == "order_off";
        if (isOrder) {
            // A repeated order keeps its id; a new one gets its own.
            if (step.from != step.to)
                spare.order = nextOrder(vm);
            spare.orderedAt = now;
        }
        if (action == "order_on")
            actions.push_back({PowerActionKind::OrderOn, vm, spare.database, spare.order});
        if (action == "order_off")
            actions.push_back({PowerActionKind::OrderOff, vm, spare.database, spare.order});
        if (action == "drain_server")
            actions.push_back({PowerActionKind::Drain, vm, spare.database, {}});
        if (action == "cancel_drain")
            actions.push_back({PowerActionKind::CancelDrain, vm, spare.database, {}});
    }
    if (spare.chart.state() == "off") {
        spare.database = DatabaseName();
        spare.order = OrderId();
    }
}

void PowerPlanner::repeatOrders(TimePoint now, PowerActions &actions)
{
    for (auto &[vm, spare] : m_spares) {
        if (isOrdering(spare.chart.state()) && now - spare.orderedAt >= m_orderRetry)
            fire(vm, spare, "order_due", now, actions);
    }
}

bool PowerPlanner::hasOrderInFlight(const DatabaseName &database) const
{
    return std::any_of(m_spares.begin(), m_spares.end(), [&](const auto &entry) {
        return entry.second.database == database && isOrdering(entry.second.chart.state());
    });
}

int PowerPlanner::powered() const
{
    const auto count = std::count_if(m_spares.begin(), m_spares.end(), [](const auto &entry) {
        return entry.second.chart.state() != "off";
    });
    return static_cast<int>(count);
}

OrderId PowerPlanner::nextOrder(const VmName &vm)
{
    return OrderId(vm.text() + '-' + std::to_string(m_epoch) + '-' + std::to_string(++m_orders));
}

std::vector<SpareRecord> PowerPlanner::records() const
{
    std::vector<SpareRecord> records;
    for (const auto &[vm, spare] : m_spares)
        records.push_back({vm, spare.chart.state(), spare.database, spare.order});
    return records;
}

void PowerPlanner::restore(const std::vector<SpareRecord> &records, TimePoint now)
{
    for (const SpareRecord &record : records) {
        // A VM that the settings no longer list still counts until it is off.
        Spare &spare = m_spares.emplace(record.vm, m_chart).first->second;
        for (const std::string &event : eventsLeadingTo(record.state))
            spare.chart.fire(event);
        spare.database = record.database;
        spare.order = record.order;
        spare.orderedAt = now;
    }
}

} // namespace nutmegtide
