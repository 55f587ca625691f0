#pragma once

#include "nutmegtide/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtide {

// A VM as far as placement is concerned.
struct PlacementCandidate
{
    VmName vm;
    FailureDomain failureDomain;
    bool isDraining = false;
};

// How many home proxies a database has.
struct PlacementRule
{
    int perDomain = 1;
    int standbys = 1; // further ones over the whole fleet
};

// How much something of that name prefers a candidate; the highest weight goes first.
std::uint64_t placementWeight(const std::string &name, const std::string &candidate);

// Chooses the home proxies of a database by rendezvous hashing: every process
// that knows the same VMs names the same homes, and a lost VM moves only the
// databases that it was home of.
//
// The homes come first, a failure domain at a time in order of weight, and the
// standbys last. Draining VMs are chosen only where no other VM is left.
std::vector<VmName> chooseHomes(const DatabaseName &database,
                                const std::vector<PlacementCandidate> &candidates,
                                const PlacementRule &rule);

// All candidates in the order in which something of that name prefers them, by the same weights.
std::vector<VmName> orderByPreference(const std::string &name,
                                 const std::vector<PlacementCandidate> &candidates);

} // namespace nutmegtide
