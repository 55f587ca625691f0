#include "nutmegtide/fleet/groupsight.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr Duration ShortestLostTime = 3s;

} // namespace

SightLimits sightLimits(const FailoverSettings &settings)
{
    return {settings.detectionTime,
            std::max<Duration>(ShortestLostTime, 2 * settings.replicaAnnounceInterval)};
}

ServerSight sightOf(const GroupServer &server, const SightLimits &limits, TimePoint now)
{
    const Announcement &said = server.said;
    return {said.incarnation,  said.term,
            said.durable.term, said.role,
            said.state,        said.voters,
            server.isRefusing, now - server.heardAt > limits.lostAfter};
}

GroupSight sightOf(const GroupState &group, const SightLimits &limits, TimePoint now)
{
    GroupSight sight;
    const auto primary = group.primary();
    sight.term = group.term();
    sight.isSuspected = !primary || group.isSuspect(*primary, limits.suspectedAfter, now);
    for (const auto &[id, server] : group.servers())
        sight.servers[id] = sightOf(server, limits, now);
    return sight;
}

TimePoint sightDueAt(const GroupState &group, const SightLimits &limits, TimePoint now)
{
    // Silence counts once it is longer than the limit, hence the tick beyond it.
    constexpr Duration Tick {1};
    TimePoint due = TimePoint::max();
    const auto take = [&](TimePoint moment) {
        if (moment > now)
            due = std::min(due, moment);
    };
    if (const auto primary = group.primary())
        take(group.find(*primary)->heardAt + limits.suspectedAfter + Tick);
    for (const auto &[id, server] : group.servers())
        take(server.heardAt + limits.lostAfter + Tick);
    return due;
}

} // namespace nutmegtide
