#pragma once

#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/events/recorder.h"
#include "nutmegtide/power/powerledger.h"
#include "serve/platformclient.h"
#include "serve/settingssource.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace nutmegtide {

// Runs the power planner on the control leader: records what it is about to
// order in the control log, then orders it from the platform.
class PowerRole
{
public:
    // Says what the groups ask for at this moment.
    using DemandSource = std::function<std::vector<GroupDemand>()>;

    PowerRole(const SettingsSource &settings, Recorder &recorder, const ChartLibrary &charts,
              ReplicatedLog &log, const PowerLedger &ledger, Endpoint platform,
              DemandSource demands);
    ~PowerRole();
    PowerRole(const PowerRole &) = delete;
    PowerRole &operator=(const PowerRole &) = delete;

    void start();

private:
    void run();
    void lead();
    // Makes a planner for the settings in force, with what is known of the spares.
    void renewPlanner(Revision revision);
    void carryOut(const PowerActions &actions);
    void order(const PowerAction &action);
    bool record();
    void recordIfLeading();

    const SettingsSource &m_settings;
    Recorder &m_recorder;
    const ChartLibrary &m_charts;
    ReplicatedLog &m_log;
    const PowerLedger &m_ledger;
    const PlatformClient m_platform;
    const DemandSource m_demands;
    std::optional<PowerPlanner> m_planner; // set while this process leads
    Revision m_plannedRevision = 0; // of the planner's settings
    std::uint64_t m_planners = 0; // made so far
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
