#include "nutmegtide/failover/voterrepair.h"

#include <algorithm>

namespace nutmegtide {

namespace {

const VoterObservation *find(const std::vector<VoterObservation> &observations,
                             const ServerId &server)
{
    const auto found = std::find_if(observations.begin(), observations.end(),
                                    [&](const VoterObservation &observation) {
                                        return observation.server == server;
                                    });
    return found == observations.end() ? nullptr : &*found;
}

} // namespace

std::optional<std::vector<ServerId>> VoterRepair::voters(
        const GroupRecord &record, int wanted, const std::vector<VoterObservation> &observations,
        TimePoint now) const
{
    const bool isSoon = m_changedAt && now - *m_changedAt < m_timings.minTimeBetweenChanges;
    if (isSoon || record.isChangePending() || !record.pendingVoters.empty())
        return std::nullopt;
    const auto added = bestSpare(record, observations, now);
    if (!added)
        return std::nullopt;
    std::vector<ServerId> voters = record.voters;
    for (ServerId &voter : voters) {
        if (mustBeReplaced(voter, observations, now)) {
            voter = *added;
            return voters;
        }
    }
    if (voters.size() >= static_cast<std::size_t>(wanted))
        return std::nullopt;
    voters.push_back(*added);
    return voters;
}

bool VoterRepair::mustBeReplaced(const ServerId &voter,
                                 const std::vector<VoterObservation> &observations,
                                 TimePoint now) const
{
    const VoterObservation *observation = find(observations, voter);
    // A voter that no home has reported yet, as right after a start, isn't known to be lost.
    if (!observation)
        return false;
    return observation->state == ServerState::Leaving
            || now - observation->heardAt > m_timings.lostAfter;
}

std::optional<ServerId> VoterRepair::bestSpare(const GroupRecord &record,
                                               const std::vector<VoterObservation> &observations,
                                               TimePoint now) const
{
    const VoterObservation *primary = find(observations, record.primary);
    if (!primary)
        return std::nullopt;
    const VoterObservation *best = nullptr;
    for (const VoterObservation &observation : observations) {
        const auto &voters = record.voters;
        const bool isVoter = std::find(voters.begin(), voters.end(), observation.server)
                != voters.end();
        const bool isFresh = now - observation.heardAt <= m_timings.maxSpareSilence;
        const bool isCaughtUp = observation.durable.term == record.term
                && observation.durable.index + m_timings.maxEntriesBehind >= primary->durable.index;
        if (isVoter || !isFresh || !isCaughtUp || observation.state == ServerState::Leaving)
            continue;
        if (!best || best->durable < observation.durable)
            best = &observation;
    }
    return best ? std::optional(best->server) : std::nullopt;
}

} // namespace nutmegtide
