#include "serve/powerrole.h"

namespace nutmegtide {

namespace {

constexpr auto TickInterval = 500ms;
constexpr auto OrderRetry = 5s;
constexpr auto PlatformTimeout = 2s;
constexpr auto RecordTimeout = 2s;

EventFields fieldsOf(const PowerAction &action)
{
    EventFields fields;
    fields.database = action.database;
    fields.details = {{"vm", action.vm.text()},
                      {"order", action.order.text()},
                      {"on", action.kind == PowerActionKind::OrderOn ? "true" : "false"}};
    return fields;
}

} // namespace

PowerRole::PowerRole(const SettingsSource &settings, Recorder &recorder, const ChartLibrary &charts,
                     ReplicatedLog &log, const PowerLedger &ledger, Endpoint platform,
                     DemandSource demands)
    : m_settings(settings)
    , m_recorder(recorder)
    , m_charts(charts)
    , m_log(log)
    , m_ledger(ledger)
    , m_platform(std::move(platform))
    , m_demands(std::move(demands))
{ }

PowerRole::~PowerRole()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void PowerRole::start()
{
    m_thread = std::thread([this] { run(); });
}

void PowerRole::run()
{
    while (!m_isStopping) {
        if (m_log.isLeader())
            lead();
        else
            m_planner.reset();
        std::this_thread::sleep_for(TickInterval);
    }
}

void PowerRole::lead()
{
    const Revision revision = m_settings.revision();
    if (!m_planner || revision != m_plannedRevision)
        renewPlanner(revision);
    carryOut(m_planner->observe(m_demands(), Clock::now()));
}

void PowerRole::renewPlanner(Revision revision)
{
    const std::vector<SpareRecord> records = m_planner ? m_planner->records() : m_ledger.records();
    // The recorder's incarnation makes the order ids of each leader its own, and
    // the count those of each planner.
    const Term epoch = m_recorder.identity().incarnation + m_planners++;
    m_planner.emplace(m_charts.chart("power"), m_settings.current()->power, epoch, OrderRetry);
    m_planner->restore(records, Clock::now());
    m_plannedRevision = revision;
}

bool PowerRole::record()
{
    try {
        m_log.propose({CommandKind::Power, encodeSpares(m_planner->records())}, RecordTimeout);
        return true;
    } catch (const ProposalError &) {
        return false;
    }
}

void PowerRole::recordIfLeading()
{
    // Carrying out further actions may have ended the leadership.
    if (m_planner)
        record();
}

void PowerRole::carryOut(const PowerActions &actions)
{
    if (actions.empty())
        return;
    // An order that isn't recorded must not be sent: the next leader would not know of it.
    if (!record()) {
        m_planner.reset();
        return;
    }
    for (const PowerAction &action : actions) {
        const bool isOrder = action.kind == PowerActionKind::OrderOn
                || action.kind == PowerActionKind::OrderOff;
        if (isOrder && m_planner)
            order(action);
    }
}

void PowerRole::order(const PowerAction &action)
{
    const EventId ordered = m_recorder.record(EventKind::PowerOrdered, fieldsOf(action));
    try {
        m_platform.power(action.vm, action.kind == PowerActionKind::OrderOn, action.order,
                         PlatformTimeout);
        m_recorder.record(EventKind::PowerConfirmed, fieldsOf(action), ordered);
        carryOut(m_planner->confirm(action.order, Clock::now()));
        recordIfLeading();
    } catch (const PlatformRefusal &) {
        carryOut(m_planner->refuse(action.order, Clock::now()));
        recordIfLeading();
    } catch (const PlatformError &) {
        // The planner repeats the order under its id.
        return;
    }
}

} // namespace nutmegtide
