#include "nutmegtide/fleet/helperchoice.h"

#include <algorithm>

namespace nutmegtide {

std::vector<VmName> HelperChoice::choose(const VmName &target,
                                         const std::vector<VmName> &candidates, std::size_t most,
                                         std::mt19937_64 &generator)
{
    Target &state = m_targets[target];
    const auto isCandidate = [&](const VmName &vm) {
        return std::find(candidates.begin(), candidates.end(), vm) != candidates.end();
    };
    std::vector<VmName> chosen;
    if (most > 0 && isCandidate(state.latest))
        chosen.push_back(state.latest);
    bool isNewTurn = false;
    while (chosen.size() < std::min(most, candidates.size())) {
        if (state.left.empty()) {
            if (isNewTurn)
                break;
            isNewTurn = true;
            state.left = candidates;
            std::shuffle(state.left.begin(), state.left.end(), generator);
        }
        const VmName helper = state.left.back();
        state.left.pop_back();
        const bool isChosen = std::find(chosen.begin(), chosen.end(), helper) != chosen.end();
        if (!isChosen && isCandidate(helper))
            chosen.push_back(helper);
    }
    return chosen;
}

void HelperChoice::noteReached(const VmName &target, const VmName &helper)
{
    m_targets[target].latest = helper;
}

} // namespace nutmegtide
