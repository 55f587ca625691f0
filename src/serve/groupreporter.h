#pragma once

#include "nutmegtide/events/recorder.h"
#include "serve/directory.h"
#include "serve/homegroups.h"
#include "serve/identity.h"
#include "serve/peerclient.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace nutmegtide {

// Tells control what this home sees of its groups: at once when the suspicion of a
// primary changes, and else at a fixed interval. Each control VM has a thread of its
// own, so that a dead one delays no report to another.
class GroupReporter
{
public:
    GroupReporter(const Identity &identity, const HomeGroups &groups, const Directory &directory,
                  const SettingsSource &settings, PeerClients &peers, Recorder &recorder);
    ~GroupReporter();
    GroupReporter(const GroupReporter &) = delete;
    GroupReporter &operator=(const GroupReporter &) = delete;

    void start();
    void stop();

private:
    // What was last said of a group.
    struct Said
    {
        bool isSuspected = false;
        Term term = 0;
        TimePoint at;
    };

    void run();
    void reportTo(const VmName &control);
    bool send(const Endpoint &control, const std::vector<wire::GroupReport> &reports);
    void recordChanges();
    // Leaves the groups that this VM is no longer home of, and records both ways.
    void checkHomes();

    const Identity &m_identity;
    const HomeGroups &m_groups;
    const Directory &m_directory;
    const SettingsSource &m_settings;
    PeerClients &m_peers;
    Recorder &m_recorder;
    std::map<DatabaseName, std::set<ServerId>> m_present; // servers on the time line
    std::map<DatabaseName, bool> m_suspected;
    std::map<DatabaseName, bool> m_isHome; // on the time line
    TimePoint m_homesCheckedAt;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
    std::map<VmName, std::thread> m_senders;
};

} // namespace nutmegtide
