#pragma once

#include "nutmegtide/failover/voterrepair.h"
#include "nutmegtide/power/powerplanner.h"

#include <map>

namespace nutmegtide {

// How long a server may be silent and still counts as there.
constexpr std::chrono::seconds MaxServerSilence {5};

// Says what a group asks of the spare VMs, from what its homes report of its
// servers. A server that joins already takes a lost one's place.
GroupDemand demandOf(const DatabaseName &database,
                     const std::map<ServerId, VoterObservation> &presence, int wantedServers,
                     int queuedReads, TimePoint now);

} // namespace nutmegtide
