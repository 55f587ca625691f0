#pragma once

#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/events/recorder.h"
#include "nutmegtide/failover/followerreconciler.h"
#include "nutmegtide/failover/homereports.h"
#include "nutmegtide/failover/primarychange.h"
#include "nutmegtide/failover/primarysuspicion.h"
#include "nutmegtide/failover/voterrepair.h"
#include "nutmegtide/power/groupdemand.h"
#include "peer_types.h"
#include "serve/directory.h"
#include "serve/identity.h"
#include "serve/serverworkers.h"
#include "serve/settingssource.h"
#include "serve/sharedledger.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace nutmegtide {

// Changes of primary on a control VM. While this VM leads control, it takes the reports
// of the homes, starts the changes and carries out their actions.
class ChangeRole
{
public:
    ChangeRole(const Identity &identity, const SettingsSource &settings, const Directory &directory,
               Recorder &recorder);
    ~ChangeRole();
    ChangeRole(const ChangeRole &) = delete;
    ChangeRole &operator=(const ChangeRole &) = delete;

    // To be registered with the log for CommandKind::Group.
    SharedLedger &ledger() { return m_ledger; }
    // The log must outlive stop().
    void start(ReplicatedLog &log);
    void stop();

    // Takes what a home sees of its groups, as the leader; any other VM only names the
    // leader. Groups that a call leaves out are as they were. Thread-safe.
    wire::GroupReportReply report(const wire::Header &header,
                                  const std::vector<wire::GroupReport> &reports);

    // Says what the reported groups ask of the spare VMs. Thread-safe.
    std::vector<GroupDemand> demands() const;

private:
    // What is known of one group from reports.
    struct Group
    {
        explicit Group(SuspicionTimings timings)
            : suspicion(timings)
        { }

        PrimarySuspicion suspicion;
        FollowerReconciler care {std::chrono::milliseconds(500)};
        std::map<ServerId, Endpoint> addresses;
        VoterRepair repair {RepairTimings()};
        std::map<ServerId, ServerObservation> observations;
        std::map<ServerId, VoterObservation> presence;
        int queuedReads = 0;
        std::optional<GroupCommand> announced; // an adoption, from what the primary announces
        // An adoption that was proposed, but isn't recorded yet, and when its outcome was unknown.
        std::optional<GroupCommand> unrecorded;
        TimePoint unrecordedSince {};
        bool isAdoptionRecorded = false;
        std::unique_ptr<PrimaryChange> change;
        EventId cause; // of the change's next event
        bool isProposing = false;
        bool isReported = false; // since the last decision; a group without news costs nothing
    };

    // Returns how many groups of this home are known.
    std::size_t takeCall(const wire::Header &header, const std::vector<wire::GroupReport> &reports,
                         TimePoint now);
    void take(const VmName &home, const wire::GroupReport &report, TimePoint now);
    void run();
    // Expect the lock to be held.
    void noteLeading(bool isLeader, TimePoint now);
    bool isAnyChangeOpen() const;
    void propose();
    // These expect the lock to be held.
    // Records an adoption once it is committed, which may be after its proposal has timed out.
    void recordAdoption(const DatabaseName &database, Group &group);
    void step(const DatabaseName &database, Group &group, TimePoint now);
    bool isGathered(const DatabaseName &database, const Group &group, TimePoint now) const;
    void startChange(const DatabaseName &database, Group &group, const GroupRecord &record,
                     std::optional<ServerId> suspect, const std::vector<ServerId> &voters,
                     TimePoint now);
    void stepChange(const DatabaseName &database, Group &group, const GroupRecord &record,
                    TimePoint now);
    std::optional<std::vector<ServerId>> repairedVoters(const DatabaseName &database,
                                                        const Group &group,
                                                        const GroupRecord &record,
                                                        TimePoint now) const;
    void careForFollowers(const DatabaseName &database, Group &group, const GroupRecord &record,
                          TimePoint now);
    void perform(const DatabaseName &database, const ChangeActions &actions);
    void performOne(const DatabaseName &database, const ChangeAction &action);
    void record(const DatabaseName &database, const RecordChangeEvent &event);
    void post(const DatabaseName &database, const ServerId &server, std::size_t slot,
              const ServerWorkers::Job &job);
    void enqueue(const GroupCommand &command);
    // Runs `answer` on the change of the group, if it is still under way.
    template <typename Answer>
    void feed(const DatabaseName &database, const Answer &answer);
    template <typename Exchange>
    ServerWorkers::Job guarded(const DatabaseName &database, Term term, Exchange exchange);
    SuspicionTimings suspicionTimings() const;

    const Identity &m_identity;
    const SettingsSource &m_settings;
    const Directory &m_directory;
    Recorder &m_recorder;
    const ChartLibrary m_charts = ChartLibrary::embedded();
    SharedLedger m_ledger;
    std::atomic<ReplicatedLog *> m_log = nullptr; // null until start()

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_proposed;
    std::map<DatabaseName, Group> m_groups;
    HomeReports m_homeReports;
    std::optional<TimePoint> m_leadingSince;
    std::deque<GroupCommand> m_proposals;
    std::uint64_t m_changes = 0;
    bool m_isStopping = false;
    ServerWorkers m_workers;
    std::thread m_thread;
    std::thread m_proposer;
};

template <typename Answer>
void ChangeRole::feed(const DatabaseName &database, const Answer &answer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_groups.find(database);
    if (found == m_groups.end() || !found->second.change || m_isStopping)
        return;
    perform(database, answer(*found->second.change));
    m_changed.notify_all();
}

} // namespace nutmegtide
