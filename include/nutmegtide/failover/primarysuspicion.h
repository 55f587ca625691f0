#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// A home proxy's report on the primary of a database group.
struct HomeOpinion
{
    Term term = 0; // the highest term that the home knows
    bool isSuspected = false; // silent for the detection time, refusing, or there is no primary
};

struct SuspicionTimings
{
    // Within this time of a change, another one starts only if all reachable homes agree.
    std::chrono::milliseconds shortestBetweenChanges {5'000};
    // A home that has been silent for longer counts as unreachable.
    std::chrono::milliseconds opinionLifetime {2'500};
    // How long a new leader waits at most for the group's homes. Each home calls once a second.
    std::chrono::milliseconds maxGatherTime {1'000};
};

// Decides, at the control leader, when to change the primary of one database group: once a
// majority of the homes that control can reach report that they can't use it. Homes that are cut
// off from control don't count. A home whose term is below the published one refers to an earlier
// primary and counts as not suspecting.
//
// To keep a flapping link from causing one change after another, all reachable homes must agree
// within shortestBetweenChanges of the latest change.
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
    // Records the home's latest opinion.
    void report(const VmName &home, HomeOpinion opinion, TimePoint now);
    // The home confirms its latest opinion. Ignored for a home that has never reported.
    void renew(const VmName &home, TimePoint now);
    // A change of this group's primary was published; starts the time of the hysteresis.
    void onChangePublished(TimePoint now) { m_changedAt = now; }

    // Returns whether to change the primary now. `published` is the term in the control log.
    bool isChangeDue(Term published, TimePoint now) const;
    // Returns whether a new leader has heard each of the group's homes since it began to lead, or
    // has waited for maxGatherTime. Otherwise the first few homes could outvote the rest.
    bool isGathered(const std::vector<VmName> &homes, TimePoint leadingSince, TimePoint now) const;
    // Returns whether most reachable homes can use the primary again.
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
