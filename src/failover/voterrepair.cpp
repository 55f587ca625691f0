#include "nutmegtide/failover/voterrepair.h"

#include <algorithm>

namespace nutmegtide {

namespace {

const VoterSighting *find(const std::vector<VoterSighting> &sightings, const ServerId &server)
{
    const auto found = std::find_if(sightings.begin(), sightings.end(),
                                    [&](const VoterSighting &sighting) {
                                        return sighting.server == server;
                                    });
    return found == sightings.end() ? nullptr : &*found;
}

} // namespace

std::optional<std::vector<ServerId>> VoterRepair::voters(const GroupRecord &record, int wanted,
                                                         const std::vector<VoterSighting> &sightings,
                                                         TimePoint now) const
{
    const bool isSoon = m_changedAt && now - *m_changedAt < m_timings.shortestBetween;
    if (isSoon || record.isChangePending() || !record.pendingVoters.empty())
        return std::nullopt;
    const auto added = spare(record, sightings, now);
    if (!added)
        return std::nullopt;
    std::vector<ServerId> voters = record.voters;
    for (ServerId &voter : voters) {
        if (isToGo(voter, sightings, now)) {
            voter = *added;
            return voters;
        }
    }
    if (voters.size() >= static_cast<std::size_t>(wanted))
        return std::nullopt;
    voters.push_back(*added);
    return voters;
}

bool VoterRepair::isToGo(const ServerId &voter, const std::vector<VoterSighting> &sightings,
                         TimePoint now) const
{
    const VoterSighting *sighting = find(sightings, voter);
    // A voter that nobody has named yet, such as right after a start, isn't known to be lost.
    if (!sighting)
        return false;
    return sighting->state == ServerState::Leaving || now - sighting->heardAt > m_timings.lostAfter;
}

std::optional<ServerId> VoterRepair::spare(const GroupRecord &record,
                                           const std::vector<VoterSighting> &sightings,
                                           TimePoint now) const
{
    const VoterSighting *primary = find(sightings, record.primary);
    if (!primary)
        return std::nullopt;
    const VoterSighting *best = nullptr;
    for (const VoterSighting &sighting : sightings) {
        const auto &voters = record.voters;
        const bool isVoter = std::find(voters.begin(), voters.end(), sighting.server)
                != voters.end();
        const bool isFresh = now - sighting.heardAt <= m_timings.freshWithin;
        const bool isNear = sighting.durable.term == record.term
                && sighting.durable.index + m_timings.mostEntriesBehind >= primary->durable.index;
        if (isVoter || !isFresh || !isNear || sighting.state == ServerState::Leaving)
            continue;
        if (!best || best->durable < sighting.durable)
            best = &sighting;
    }
    return best ? std::optional(best->server) : std::nullopt;
}

} // namespace nutmegtide
