#include "nutmegtide/failover/primarysuspicion.h"

namespace nutmegtide {

void PrimarySuspicion::report(const VmName &home, HomeOpinion opinion, TimePoint now)
{
    m_heard[home] = {opinion, now};
}

PrimarySuspicion::Count PrimarySuspicion::count(Term published, TimePoint now) const
{
    Count count;
    for (const auto &[home, heard] : m_heard) {
        if (now - heard.at > m_timings.opinionKept)
            continue;
        ++count.reached;
        if (heard.opinion.isSuspected && heard.opinion.term >= published)
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

bool PrimarySuspicion::isRecovered(Term published, TimePoint now) const
{
    const Count counted = count(published, now);
    return 2 * counted.suspecting < counted.reached;
}

} // namespace nutmegtide
