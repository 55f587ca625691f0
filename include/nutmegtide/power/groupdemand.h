#pragma once

#include "nutmegtide/failover/voterrepair.h"
#include "nutmegtide/power/powerplanner.h"

#include <map>

namespace nutmegtide {

// A server that has been silent for longer doesn't count as present.
constexpr std::chrono::seconds MaxServerSilence {5};

// Computes a group's demand for spare VMs from what its homes report about its servers. A joining
// server already counts as the replacement of a lost one.
GroupDemand demandOf(const DatabaseName &database,
                     const std::map<ServerId, VoterObservation> &presence, int wantedServers,
                     int queuedReads, TimePoint now);

} // namespace nutmegtide
