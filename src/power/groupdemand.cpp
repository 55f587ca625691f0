#include "nutmegtide/power/groupdemand.h"

#include <algorithm>

namespace nutmegtide {

GroupDemand demandOf(const DatabaseName &database,
                     const std::map<ServerId, VoterObservation> &presence, int wantedServers,
                     int queuedReads, TimePoint now)
{
    const auto present = std::count_if(presence.begin(), presence.end(), [now](const auto &entry) {
        const VoterObservation &server = entry.second;
        return now - server.heardAt <= MaxServerSilence && server.state != ServerState::Leaving;
    });
    GroupDemand demand;
    demand.database = database;
    demand.hasLostVoter = present < wantedServers;
    demand.isSaturated = queuedReads > 0;
    demand.isIdle = present > wantedServers && queuedReads == 0;
    return demand;
}

} // namespace nutmegtide
