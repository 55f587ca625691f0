#pragma once

#include "nutmegtide/fleet/groupsight.h"

#include <optional>

namespace nutmegtide {

struct ReportTimings
{
    // Any call says that the groups it doesn't name are unchanged. The leader keeps
    // an opinion for 2.5 s, so one call may be lost.
    std::chrono::milliseconds heartbeat {1'000};
    // Whole reports carry positions and silence; a server counts as present for 5 s.
    std::chrono::milliseconds fullReport {3'000};
    std::chrono::milliseconds suspected {200}; // whole reports while a primary is suspected
    std::chrono::milliseconds searchInterval {200}; // after no control VM has named a live leader
};

// One call to a control VM. Without databases it asks who leads, or tells the leader
// that nothing has changed.
struct ReportCall
{
    VmName control;
    std::vector<DatabaseName> databases;
};

struct ReportAnswer
{
    bool isLeader = false;
    VmName leader; // empty while the answering VM knows none
    std::size_t knownGroups = 0; // of this home at the leader
};

// Decides when a home reports which of its groups to which control VM: to the leader
// only, a group at once when its sight changes, and seldom else. A control VM that
// doesn't lead is only asked for the leader's name. A leader that knows another
// number of this home's groups than were sent has begun anew and is sent all.
//
//   if (const auto call = schedule.next(controls, sights, now))
//       answer ? schedule.onAnswer(*call, sights, *answer, now) : schedule.onFailure(now);
//   sleepUntil(schedule.dueAt(now)); // or until a sight changes
class ReportSchedule
{
public:
    using Sights = std::map<DatabaseName, GroupSight>;

    explicit ReportSchedule(ReportTimings timings = {})
        : m_timings(timings)
    { }

    // Returns the call that is due now, if any.
    std::optional<ReportCall> next(const std::vector<VmName> &controls, const Sights &sights,
                                   TimePoint now);
    // `sights` are those that the call was made from.
    void onAnswer(const ReportCall &call, const Sights &sights, const ReportAnswer &answer,
                  TimePoint now);
    // The call brought no answer.
    void onFailure(TimePoint now);
    // Returns when the next call is due while no sight changes.
    TimePoint dueAt(TimePoint now) const;

private:
    struct SentReport
    {
        GroupSight sight;
        TimePoint at;
    };

    Duration intervalOf(const GroupSight &sight) const;
    std::vector<DatabaseName> dueDatabases(const Sights &sights, TimePoint now) const;
    // Gives the leader up and asks `wanted` next, or else the next one in turn.
    void searchLeader(const VmName &candidate, TimePoint now);
    void pauseSearch(TimePoint now);
    void resetSentReports(TimePoint now);

    const ReportTimings m_timings;
    std::optional<VmName> m_leader; // it said so itself
    VmName m_candidate; // named by another control VM, asked next
    std::size_t m_nextControl = 0;
    std::size_t m_controlsAsked = 0; // control VMs since the latest pause
    std::size_t m_controls = 0;
    TimePoint m_nextSearchAt;
    TimePoint m_lastAnswerAt; // latest call that the leader answered
    std::optional<TimePoint> m_lastResetAt; // latest time that all was sent again
    std::map<DatabaseName, SentReport> m_sentReports;
};

} // namespace nutmegtide
