#pragma once

#include "nutmegtide/events/recorder.h"
#include "nutmegtide/failover/reportschedule.h"
#include "serve/directory.h"
#include "serve/homegroups.h"
#include "serve/identity.h"
#include "serve/peerclient.h"
#include "serve/signal.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace nutmegtide {

// Tells the control leader what this home sees of its groups, as ReportSchedule
// decides, and puts what changes on the time line. One thread watches the groups and
// one makes the calls, so that a call without an answer delays no event.
class GroupReporter
{
public:
    GroupReporter(const Identity &identity, HomeGroups &groups, const Directory &directory,
                  const SettingsSource &settings, PeerClients &peers, Recorder &recorder);
    ~GroupReporter();
    GroupReporter(const GroupReporter &) = delete;
    GroupReporter &operator=(const GroupReporter &) = delete;

    void start();
    void stop();

private:
    void watch();
    // Returns when the sights may change without a message.
    TimePoint takeSights();
    void recordChanges(const DatabaseName &database, const GroupStatus &sight);
    void report();
    ReportSchedule::Sights currentSights() const;
    std::vector<VmName> controls() const;
    // Returns nothing where the call brought no answer.
    std::optional<ReportAnswer> send(const ReportCall &call);

    // Leaves the groups that this VM is no longer home of, and records both ways.
    void checkHomes();
    void recordHome(const DatabaseName &database, const HomeGroup &group);

    const Identity &m_identity;
    HomeGroups &m_groups;
    const Directory &m_directory;
    const SettingsSource &m_settings;
    PeerClients &m_peers;
    Recorder &m_recorder;
    std::map<DatabaseName, std::set<ServerId>> m_present; // servers on the time line
    std::map<DatabaseName, bool> m_suspected;
    std::map<DatabaseName, bool> m_isHome; // on the time line
    TimePoint m_homesCheckedAt;
    mutable std::mutex m_mutex;
    ReportSchedule::Sights m_sights;
    Signal m_sightsChanged;
    std::atomic<bool> m_isStopping = false;
    std::thread m_watcher;
    std::thread m_sender;
};

} // namespace nutmegtide
