#include "nutmegtide/fleet/groupstatus.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr Duration MinLostTime = 3s;

} // namespace

StatusTimeouts statusTimeouts(const FailoverSettings &settings)
{
    return {settings.detectionTime,
            std::max<Duration>(MinLostTime, 2 * settings.replicaAnnounceInterval)};
}

ServerStatus statusOf(const GroupServer &server, const StatusTimeouts &timeouts, TimePoint now)
{
    const Announcement &announcement = server.announcement;
    return {announcement.incarnation,  announcement.term,
            announcement.durable.term, announcement.role,
            announcement.state,        announcement.voters,
            server.isRefusing,         now - server.heardAt > timeouts.lostAfter};
}

GroupStatus statusOf(const GroupState &group, const StatusTimeouts &timeouts, TimePoint now)
{
    GroupStatus status;
    const auto primary = group.primary();
    status.term = group.term();
    status.isSuspected = !primary || group.isSuspect(*primary, timeouts.suspectedAfter, now);
    for (const auto &[id, server] : group.servers())
        status.servers[id] = statusOf(server, timeouts, now);
    return status;
}

TimePoint statusChangesAt(const GroupState &group, const StatusTimeouts &timeouts, TimePoint now)
{
    // A server changes once its silence is longer than the timeout, hence the added tick.
    constexpr Duration Tick {1};
    TimePoint due = TimePoint::max();
    const auto take = [&](TimePoint moment) {
        if (moment > now)
            due = std::min(due, moment);
    };
    if (const auto primary = group.primary())
        take(group.find(*primary)->heardAt + timeouts.suspectedAfter + Tick);
    for (const auto &[id, server] : group.servers())
        take(server.heardAt + timeouts.lostAfter + Tick);
    return due;
}

} // namespace nutmegtide
