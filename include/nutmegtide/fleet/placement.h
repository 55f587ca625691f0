#pragma once

#include "nutmegtide/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtide {

// The properties of a VM that decide placement.
struct PlacementCandidate
{
    VmName vm;
    FailureDomain failureDomain;
    bool isDraining = false;
};

// The number of home proxies of a database.
struct PlacementRule
{
    int perDomain = 1; // in each failure domain
    int standbys = 1; // additional ones over the whole fleet
};

// Returns the weight of a candidate for a name; the candidate with the highest weight comes first.
std::uint64_t placementWeight(const std::string &name, const std::string &candidate);

// Chooses the home proxies of a database by rendezvous hashing: every process
// that knows the same VMs chooses the same homes, and a lost VM moves only the
// databases that it was home of.
//
// The homes come first, a failure domain at a time in order of weight, and the
// standbys last. Draining VMs are chosen only where no other VM is left.
std::vector<VmName> chooseHomes(const DatabaseName &database,
                                const std::vector<PlacementCandidate> &candidates,
                                const PlacementRule &rule);

// Returns all candidates by descending weight for the name. Draining VMs are left out unless all
// are draining.
std::vector<VmName> orderByPreference(const std::string &name,
                                      const std::vector<PlacementCandidate> &candidates);

} // namespace nutmegtide
