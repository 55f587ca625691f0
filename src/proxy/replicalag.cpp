#include "nutmegtide/proxy/replicalag.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

// An estimate decays if it isn't updated, so that a lagging replica is tried again.
constexpr auto HalfLife = 2s;
constexpr auto MinLag = 2ms; // assumed lag after a position was missing
constexpr auto MaxLag = 5s;
constexpr int CatchUpDivisor = 4; // a shorter observed lag corrects the estimate by this fraction

} // namespace

Duration ReplicaLag::estimate(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - m_notedAt).count();
    const double weight = std::exp2(-age / std::chrono::duration<double>(HalfLife).count());
    return std::chrono::duration_cast<Duration>(m_lag * weight);
}

void ReplicaLag::noteHeld(const LogPosition &position, const ReadNeed &need, TimePoint askedAt)
{
    const bool wasSurprise = m_held < need.position;
    m_held = std::max(m_held, position);
    const Duration age = askedAt - need.reachedAt;
    const Duration lag = estimate(askedAt);
    if (!wasSurprise || age >= lag)
        return;
    m_lag = lag - (lag - age) / CatchUpDivisor;
    m_notedAt = askedAt;
}

// The lag is longer than the age of the position, by an unknown amount, so at least twice the age
// is assumed.
void ReplicaLag::noteMissing(const ReadNeed &need, TimePoint askedAt)
{
    const Duration age = askedAt - need.reachedAt;
    const Duration longer = age * 2 + MinLag;
    m_lag = std::min(Duration(MaxLag), std::max(estimate(askedAt), longer));
    m_notedAt = askedAt;
}

bool ReplicaLag::probablyHolds(const ReadNeed &need, TimePoint now) const
{
    return m_held >= need.position || now - need.reachedAt >= estimate(now);
}

} // namespace nutmegtide
