#include "nutmegtide/failover/followercare.h"

namespace nutmegtide {

std::vector<ServerId> FollowerCare::straying(const GroupRecord &record,
                                             const std::vector<ServerSighting> &sightings,
                                             TimePoint now)
{
    LogPosition primaryAt;
    for (const ServerSighting &sighting : sightings) {
        if (sighting.server == record.primary && sighting.term == record.term)
            primaryAt = sighting.durable;
    }
    std::vector<ServerId> servers;
    for (const ServerSighting &sighting : sightings) {
        const bool isBehind = sighting.term < record.term || sighting.durable < primaryAt;
        const auto told = m_toldAt.find(sighting.server);
        const bool isTold = told != m_toldAt.end() && now - told->second < m_interval;
        if (sighting.server == record.primary || sighting.term > record.term || !isBehind || isTold)
            continue;
        m_toldAt[sighting.server] = now;
        servers.push_back(sighting.server);
    }
    return servers;
}

} // namespace nutmegtide
