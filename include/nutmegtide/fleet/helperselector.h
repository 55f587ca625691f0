#pragma once

#include "nutmegtide/base/ids.h"

#include <map>
#include <random>
#include <vector>

namespace nutmegtide {

// Chooses the helpers through which a member that doesn't answer is probed.
//
// The helper that last reached the member is asked first and the others in turn, so a member
// with a single working link is soon found through it, and from then on at once. Each round starts
// with the helper that last reached any member, so a member that has only a single working link
// itself finds the others through it.
//
//   HelperSelector helpers;
//   for (const VmName &helper : helpers.choose(target, candidates, 3, generator)) ...
//   helpers.noteSuccess(target, helper);
class HelperSelector
{
public:
    // Returns at most `most` of the candidates.
    std::vector<VmName> choose(const VmName &target, const std::vector<VmName> &candidates,
                               std::size_t most, std::mt19937_64 &generator);
    // Records that the helper reached the target.
    void noteSuccess(const VmName &target, const VmName &helper);
    // Drops what is known of a target that answers directly again or was removed.
    void forget(const VmName &target) { m_targets.erase(target); }

private:
    struct TargetState
    {
        VmName lastSuccessful; // the helper that last reached it; empty for none
        std::vector<VmName> remaining; // not asked in this round yet
    };

    VmName popNext(TargetState &state) const;

    std::map<VmName, TargetState> m_targets;
    VmName m_lastSuccessful; // the helper that last reached any target; empty for none
};

} // namespace nutmegtide
