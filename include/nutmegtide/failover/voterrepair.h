#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/failover/groupledger.h"

#include <optional>
#include <vector>

namespace nutmegtide {

struct RepairTimings
{
    std::chrono::milliseconds lostAfter {10'000}; // a voter that no home hears for this is lost
    std::chrono::milliseconds maxSpareSilence {3'000}; // a spare must have been heard within this
    std::chrono::milliseconds minTimeBetweenChanges {5'000}; // of voters
    std::uint64_t maxEntriesBehind = 1'000; // of a new voter's log, against the primary's
};

// The latest observed state of one server of a group.
struct VoterObservation
{
    ServerId server;
    ServerState state = ServerState::Ready;
    LogPosition durable;
    TimePoint heardAt; // when any home last heard it
};

// Decides which voter of a group to replace: a lost or leaving one by a spare that has nearly all
// of the primary's log. Only one voter changes at a time, so that every majority of the old voters
// and every majority of the new ones share a server.
//
//   if (const auto voters = repair.voters(record, wanted, observations, now))
//       startChange(*voters);
class VoterRepair
{
public:
    explicit VoterRepair(RepairTimings timings)
        : m_timings(timings)
    { }

    // A change of this group's voters or primary was published; the next one has to wait.
    void onChangePublished(TimePoint now) { m_changedAt = now; }
    // Returns the new set of voters, or nothing if none has to be replaced or no spare qualifies.
    // `wanted` is the number of voters in the settings; a missing voter is added.
    std::optional<std::vector<ServerId>> voters(const GroupRecord &record, int wanted,
                                                const std::vector<VoterObservation> &observations,
                                                TimePoint now) const;

private:
    bool mustBeReplaced(const ServerId &voter, const std::vector<VoterObservation> &observations,
                        TimePoint now) const;
    std::optional<ServerId> bestSpare(const GroupRecord &record,
                                      const std::vector<VoterObservation> &observations,
                                      TimePoint now) const;

    const RepairTimings m_timings;
    std::optional<TimePoint> m_changedAt;
};

} // namespace nutmegtide
