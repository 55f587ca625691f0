#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/failover/groupledger.h"

#include <map>
#include <vector>

namespace nutmegtide {

// What a home last heard from one server of a group.
struct ServerObservation
{
    ServerId server;
    Term term = 0;
    ServerRole role = ServerRole::Replica;
    LogPosition durable;
};

// Finds the servers that don't replicate from the published primary, such as a former primary
// that came back, or a replica that restarted. It names each of them at most once in `interval`.
// An order to follow can be repeated, since it has no further effect on a server.
class FollowerReconciler
{
public:
    explicit FollowerReconciler(Duration interval)
        : m_interval(interval)
    { }

    // Returns the servers to order to follow the primary. Call it only while no change is running.
    std::vector<ServerId> serversToRedirect(const GroupRecord &record,
                                            const std::vector<ServerObservation> &observations,
                                            TimePoint now);

private:
    const Duration m_interval;
    std::map<ServerId, TimePoint> m_redirectedAt;
};

} // namespace nutmegtide
