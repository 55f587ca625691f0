#include "nutmegtide/failover/followerreconciler.h"

namespace nutmegtide {

std::vector<ServerId> FollowerReconciler::serversToRedirect(
        const GroupRecord &record, const std::vector<ServerObservation> &observations, TimePoint now)
{
    LogPosition primaryAt;
    for (const ServerObservation &observation : observations) {
        if (observation.server == record.primary && observation.term == record.term)
            primaryAt = observation.durable;
    }
    std::vector<ServerId> servers;
    for (const ServerObservation &observation : observations) {
        const bool isBehind = observation.term < record.term || observation.durable < primaryAt;
        const auto redirected = m_redirectedAt.find(observation.server);
        const bool wasRedirected = redirected != m_redirectedAt.end()
                && now - redirected->second < m_interval;
        if (observation.server == record.primary || observation.term > record.term || !isBehind
            || wasRedirected)
            continue;
        m_redirectedAt[observation.server] = now;
        servers.push_back(observation.server);
    }
    return servers;
}

} // namespace nutmegtide
