#pragma once

#include "nutmegtide/base/ids.h"

#include <map>
#include <random>
#include <vector>

namespace nutmegtide {

// Chooses the members through which another one is probed that doesn't answer.
//
// The helper that reached a member last is asked first, and the others in turn, so a member
// with a single link left is found through it soon and from then on at once. Each turn starts
// with the helper that reached any member last, so a member that has a single link left itself
// finds the others through it.
//
//   HelperSelector helpers;
//   for (const VmName &helper : helpers.choose(target, candidates, 3, generator)) ...
//   helpers.noteSuccess(target, helper);
class HelperSelector
{
public:
    // Returns at most this many of the candidates.
    std::vector<VmName> choose(const VmName &target, const std::vector<VmName> &candidates,
                               std::size_t most, std::mt19937_64 &generator);
    void noteSuccess(const VmName &target, const VmName &helper);
    // The member answers by itself, or is gone.
    void forget(const VmName &target) { m_targets.erase(target); }

private:
    struct TargetState
    {
        VmName lastSuccessful; // reached it; empty for none
        std::vector<VmName> remaining; // not asked in this turn yet
    };

    VmName popNext(TargetState &state) const;

    std::map<VmName, TargetState> m_targets;
    VmName m_lastSuccessful; // reached any target; empty for none
};

} // namespace nutmegtide
