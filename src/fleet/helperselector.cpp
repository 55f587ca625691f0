#include "nutmegtide/fleet/helperselector.h"

#include <algorithm>

namespace nutmegtide {

std::vector<VmName> HelperSelector::choose(const VmName &target,
                                           const std::vector<VmName> &candidates, std::size_t most,
                                           std::mt19937_64 &generator)
{
    TargetState &state = m_targets[target];
    const auto isCandidate = [&](const VmName &vm) {
        return std::find(candidates.begin(), candidates.end(), vm) != candidates.end();
    };
    std::vector<VmName> chosen;
    if (most > 0 && isCandidate(state.lastSuccessful))
        chosen.push_back(state.lastSuccessful);
    bool isNewRound = false;
    while (chosen.size() < std::min(most, candidates.size())) {
        if (state.remaining.empty()) {
            if (isNewRound)
                break;
            isNewRound = true;
            state.remaining = candidates;
            std::shuffle(state.remaining.begin(), state.remaining.end(), generator);
        }
        const VmName helper = popNext(state);
        const bool isChosen = std::find(chosen.begin(), chosen.end(), helper) != chosen.end();
        if (!isChosen && isCandidate(helper))
            chosen.push_back(helper);
    }
    return chosen;
}

// Prefers the helper that last reached any target: a member that has lost most of its links
// reaches all targets through the same helper.
VmName HelperSelector::popNext(TargetState &state) const
{
    auto next = std::find(state.remaining.begin(), state.remaining.end(), m_lastSuccessful);
    if (next == state.remaining.end())
        next = std::prev(state.remaining.end());
    VmName helper = *next;
    state.remaining.erase(next);
    return helper;
}

void HelperSelector::noteSuccess(const VmName &target, const VmName &helper)
{
    m_targets[target].lastSuccessful = helper;
    m_lastSuccessful = helper;
}

} // namespace nutmegtide
