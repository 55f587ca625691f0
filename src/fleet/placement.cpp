#include "nutmegtide/fleet/placement.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace nutmegtide {

namespace {

struct WeightedCandidate
{
    const PlacementCandidate *candidate;
    std::uint64_t weight;
};

std::vector<WeightedCandidate> orderByWeight(const std::string &name,
                                             const std::vector<PlacementCandidate> &candidates)
{
    const bool isAnyServing = std::any_of(candidates.begin(), candidates.end(),
                                          [](const PlacementCandidate &candidate) {
                                              return !candidate.isDraining;
                                          });
    std::vector<WeightedCandidate> order;
    for (const PlacementCandidate &candidate : candidates) {
        if (isAnyServing && candidate.isDraining)
            continue;
        order.push_back({&candidate, placementWeight(name, candidate.vm.text())});
    }
    std::sort(order.begin(), order.end(),
              [](const WeightedCandidate &left, const WeightedCandidate &right) {
                  return left.weight != right.weight ? left.weight > right.weight
                                                     : left.candidate->vm < right.candidate->vm;
              });
    return order;
}

} // namespace

std::uint64_t placementWeight(const std::string &name, const std::string &candidate)
{
    const std::string key = name + '\0' + candidate;
    return XXH3_64bits(key.data(), key.size());
}

std::vector<VmName> chooseHomes(const DatabaseName &database,
                                const std::vector<PlacementCandidate> &candidates,
                                const PlacementRule &rule)
{
    std::map<FailureDomain, int> taken;
    std::vector<VmName> homes;
    std::vector<VmName> others;
    for (const WeightedCandidate &entry : orderByWeight(database.text(), candidates)) {
        const bool isHome = taken[entry.candidate->failureDomain]++ < rule.perDomain;
        (isHome ? homes : others).push_back(entry.candidate->vm);
    }
    const auto standbys = std::min<std::size_t>(others.size(),
                                                static_cast<std::size_t>(rule.standbys));
    homes.insert(homes.end(), others.begin(),
                 others.begin() + static_cast<std::ptrdiff_t>(standbys));
    return homes;
}

std::vector<VmName> orderByPreference(const std::string &name,
                                      const std::vector<PlacementCandidate> &candidates)
{
    std::vector<VmName> order;
    for (const WeightedCandidate &entry : orderByWeight(name, candidates))
        order.push_back(entry.candidate->vm);
    return order;
}

} // namespace nutmegtide
