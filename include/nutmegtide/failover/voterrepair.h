#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/failover/groupledger.h"

#include <optional>
#include <vector>

namespace nutmegtide {

struct RepairTimings
{
    std::chrono::milliseconds lostAfter {10'000}; // silence to all homes that makes a voter lost
    std::chrono::milliseconds maxSpareSilence {3'000}; // a spare must have been heard within this
    std::chrono::milliseconds minTimeBetweenChanges {5'000}; // two changes of voters
    std::uint64_t maxEntriesBehind = 1'000; // of a spare that may become a voter
};

// One server of a group, as far as its part as a voter is concerned.
struct VoterObservation
{
    ServerId server;
    ServerState state = ServerState::Ready;
    LogPosition durable;
    TimePoint heardAt; // by any home
};

// Decides which voter of a group to exchange: a lost or leaving one against a spare
// that has nearly all of the primary's log. One voter changes at a time, so that
// the majorities of the old and the new voters share a server.
//
//   if (const auto voters = repair.voters(record, wanted, sightings, now))
//       startChange(*voters);
class VoterRepair
{
public:
    explicit VoterRepair(RepairTimings timings)
        : m_timings(timings)
    { }

    // A change of this group's voters or primary was published.
    void onChangePublished(TimePoint now) { m_changedAt = now; }
    // Returns the voters to change to, nothing while the group is whole or no spare fits.
    // `wanted` is the number of voters that the settings name.
    std::optional<std::vector<ServerId>> voters(const GroupRecord &record, int wanted,
                                                const std::vector<VoterObservation> &observations,
                                                TimePoint now) const;

private:
    bool mustBeReplaced(const ServerId &voter, const std::vector<VoterObservation> &observations,
                TimePoint now) const;
    std::optional<ServerId> bestSpare(const GroupRecord &record,
                                  const std::vector<VoterObservation> &observations, TimePoint now) const;

    const RepairTimings m_timings;
    std::optional<TimePoint> m_changedAt;
};

} // namespace nutmegtide
