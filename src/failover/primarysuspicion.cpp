#include "nutmegtide/failover/primarysuspicion.h"

#include <algorithm>

namespace nutmegtide {

void PrimarySuspicion::report(const VmName &home, HomeOpinion opinion, TimePoint now)
{
    m_opinions[home] = {opinion, now};
}

void PrimarySuspicion::renew(const VmName &home, TimePoint now)
{
    const auto found = m_opinions.find(home);
    if (found != m_opinions.end())
        found->second.at = now;
}

PrimarySuspicion::Count PrimarySuspicion::count(Term published, TimePoint now) const
{
    Count count;
    for (const auto &[home, received] : m_opinions) {
        if (now - received.at > m_timings.opinionLifetime)
            continue;
        ++count.reached;
        if (received.opinion.isSuspected && received.opinion.term >= published)
            ++count.suspecting;
    }
    return count;
}

bool PrimarySuspicion::isChangeDue(Term published, TimePoint now) const
{
    const Count counted = count(published, now);
    const bool isSoon = m_changedAt && now - *m_changedAt < m_timings.shortestBetweenChanges;
    if (isSoon)
        return counted.suspecting > 0 && counted.suspecting == counted.reached;
    return 2 * counted.suspecting > counted.reached;
}

bool PrimarySuspicion::isGathered(const std::vector<VmName> &homes, TimePoint leadingSince,
                                  TimePoint now) const
{
    if (now - leadingSince >= m_timings.maxGatherTime)
        return true;
    return std::all_of(homes.begin(), homes.end(), [&](const VmName &home) {
        const auto received = m_opinions.find(home);
        return received != m_opinions.end() && received->second.at >= leadingSince;
    });
}

bool PrimarySuspicion::isRecovered(Term published, TimePoint now) const
{
    const Count counted = count(published, now);
    return 2 * counted.suspecting < counted.reached;
}

} // namespace nutmegtide
