#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/failover/groupledger.h"

#include <map>
#include <vector>

namespace nutmegtide {

// What a home has last heard of one server of a group.
struct ServerObservation
{
    ServerId server;
    Term term = 0;
    ServerRole role = ServerRole::Replica;
    LogPosition durable;
};

// Finds the servers that don't replicate from the published primary, such as an old
// primary that came back, or a replica that started again. Each of them is told to
// follow at most once in `interval`; a repeated order has no effect on a server.
class FollowerReconciler
{
public:
    explicit FollowerReconciler(Duration interval)
        : m_interval(interval)
    { }

    // Returns the servers to be told now. Call it only while no change is under way.
    std::vector<ServerId> serversToRedirect(const GroupRecord &record,
                                   const std::vector<ServerObservation> &observations, TimePoint now);

private:
    const Duration m_interval;
    std::map<ServerId, TimePoint> m_redirectedAt;
};

} // namespace nutmegtide
