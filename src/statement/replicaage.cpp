#include "nutmegtide/statement/replicaage.h"

#include <algorithm>

namespace nutmegtide {

ReplicaAge::ReplicaAge(Duration spacing, std::size_t capacity)
    : m_spacing(spacing)
    , m_capacity(std::max<std::size_t>(capacity, 2))
{ }

void ReplicaAge::observePrimary(Term term, const LogPosition &position, TimePoint notLaterThan)
{
    const bool isOlderTerm = !m_unproved.empty() && term < m_unproved.back().term;
    if (isOlderTerm)
        return;
    std::erase_if(m_unproved, [term](const Observation &known) { return known.term < term; });
    append(m_unproved, {term, position, notLaterThan});
}

void ReplicaAge::confirmLeadership(Term term, TimePoint confirmedAt)
{
    while (!m_unproved.empty()) {
        const Observation &oldest = m_unproved.front();
        if (oldest.term != term || oldest.moment > confirmedAt)
            return;
        append(m_proved, oldest);
        m_unproved.pop_front();
    }
}

std::optional<Duration> ReplicaAge::provedAge(const LogPosition &applied, TimePoint now) const
{
    const auto latest = std::find_if(m_proved.rbegin(), m_proved.rend(),
                                     [&applied](const Observation &known) {
                                         return known.position <= applied;
                                     });
    if (latest == m_proved.rend())
        return std::nullopt;
    return std::max(now - latest->moment, Duration::zero());
}

// The newest observation is always kept. It takes the place of the one before
// when that one is closer than the spacing to its own predecessor. One that comes
// out of order is dropped, which makes an age only larger.
void ReplicaAge::append(std::deque<Observation> &observations, const Observation &observation) const
{
    if (!observations.empty() && observation.moment < observations.back().moment)
        return;
    const std::size_t size = observations.size();
    const bool isCrowded = size >= 2
            && observations[size - 1].moment - observations[size - 2].moment < m_spacing;
    if (isCrowded)
        observations.pop_back();
    observations.push_back(observation);
    if (observations.size() > m_capacity)
        observations.pop_front();
}

} // namespace nutmegtide
