#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// What one home proxy says of the primary of a database group.
struct HomeOpinion
{
    Term term = 0; // the highest that the home has heard of
    bool isSuspected = false; // silent for the detection time, refusing, or none is there
};

struct SuspicionTimings
{
    std::chrono::milliseconds shortestBetweenChanges {5'000};
    std::chrono::milliseconds opinionLifetime {
            2'500}; // a home that is silent for longer is not reached
    // A new leader waits for all homes of the group, at most for this. Each calls it once a second.
    std::chrono::milliseconds maxGatherTime {1'000};
};

// Decides at the control leader when the primary of one database group is to be
// changed: once most of the homes that control can reach can't use it. Homes that
// are cut off from control don't count, and a home whose term is older than the
// published one speaks of an earlier primary.
//
// Hysteresis keeps a flapping link from causing change after change: within
// shortestBetweenChanges of the last one all reachable homes must agree.
//
//   suspicion.report(home, {7, true}, now);
//   if (suspicion.isChangeDue(record.term, now)) ...
class PrimarySuspicion
{
public:
    explicit PrimarySuspicion(SuspicionTimings timings)
        : m_timings(timings)
    { }

    void setTimings(SuspicionTimings timings) { m_timings = timings; }
    void report(const VmName &home, HomeOpinion opinion, TimePoint now);
    // The home says that its latest opinion stands.
    void renew(const VmName &home, TimePoint now);
    // A change of this group was published.
    void onChangePublished(TimePoint now) { m_changedAt = now; }

    // `published` is the term in the control log.
    bool isChangeDue(Term published, TimePoint now) const;
    // True once a leader has heard each of the group's homes since it leads, or has waited
    // long enough. A few homes alone must not outvote those that are about to report.
    bool isGathered(const std::vector<VmName> &homes, TimePoint leadingSince, TimePoint now) const;
    // True once most reachable homes can use the primary again.
    bool isRecovered(Term published, TimePoint now) const;

private:
    struct ReceivedOpinion
    {
        HomeOpinion opinion;
        TimePoint at;
    };
    struct Count
    {
        int reached = 0;
        int suspecting = 0;
    };

    Count count(Term published, TimePoint now) const;

    SuspicionTimings m_timings;
    std::map<VmName, ReceivedOpinion> m_opinions;
    std::optional<TimePoint> m_changedAt;
};

} // namespace nutmegtide
