#pragma once

#include "nutmegtide/fleet/groupstatus.h"

#include <optional>

namespace nutmegtide {

// The intervals of a home's calls to control.
struct ReportTimings
{
    // Each call confirms the groups that it doesn't name. The leader keeps an opinion for 2.5 s,
    // so one call may be lost.
    std::chrono::milliseconds heartbeat {1'000};
    // Full reports carry positions and silence; a server counts as present for 5 s.
    std::chrono::milliseconds fullReport {3'000};
    std::chrono::milliseconds suspected {200}; // full reports while a primary is suspected
    std::chrono::milliseconds searchInterval {200}; // when no control VM has named a live leader
};

// One call to a control VM. Without databases it asks for the leader, or confirms to the leader
// that nothing has changed.
struct ReportCall
{
    VmName control;
    std::vector<DatabaseName> databases;
};

struct ReportAnswer
{
    bool isLeader = false;
    VmName leader; // empty if the answering VM knows of none
    std::size_t knownGroups = 0; // how many of this home's groups the leader knows
};

// Decides when a home reports which of its groups to which control VM. Reports go to the leader
// only: a changed group at once, an unchanged one at long intervals. Other control VMs are only
// asked for the leader's name. If the leader knows a different number of this home's groups than
// were sent, it has restarted its records, and everything is sent again.
//
//   if (const auto call = schedule.next(controls, sights, now))
//       answer ? schedule.onAnswer(*call, sights, *answer, now) : schedule.onFailure(now);
//   sleepUntil(schedule.dueAt(now)); // or until a sight changes
class ReportSchedule
{
public:
    using Sights = std::map<DatabaseName, GroupStatus>;

    explicit ReportSchedule(ReportTimings timings = {})
        : m_timings(timings)
    { }

    // Returns the call that is due now, if any.
    std::optional<ReportCall> next(const std::vector<VmName> &controls, const Sights &sights,
                                   TimePoint now);
    // Handles the answer to a call. `sights` are those that the call was made from.
    void onAnswer(const ReportCall &call, const Sights &sights, const ReportAnswer &answer,
                  TimePoint now);
    // The call got no answer; another control VM is asked for the leader.
    void onFailure(TimePoint now);
    // Returns when the next call is due if no sight changes.
    TimePoint dueAt(TimePoint now) const;

private:
    struct SentReport
    {
        GroupStatus sight;
        TimePoint at;
    };

    Duration intervalOf(const GroupStatus &sight) const;
    std::vector<DatabaseName> dueDatabases(const Sights &sights, TimePoint now) const;
    // Drops the leader and asks `candidate` next or, if that is empty, the next VM in turn.
    void searchLeader(const VmName &candidate, TimePoint now);
    void pauseSearch(TimePoint now);
    void resetSentReports(TimePoint now);

    const ReportTimings m_timings;
    std::optional<VmName> m_leader; // confirmed by itself
    VmName m_candidate; // named by another control VM, asked next
    std::size_t m_nextControl = 0;
    std::size_t m_controlsAsked = 0; // since the latest pause
    std::size_t m_controls = 0;
    TimePoint m_nextSearchAt;
    TimePoint m_lastAnswerAt; // of the leader
    std::optional<TimePoint> m_lastResetAt; // when everything was last scheduled to be sent again
    std::map<DatabaseName, SentReport> m_sentReports;
};

} // namespace nutmegtide
