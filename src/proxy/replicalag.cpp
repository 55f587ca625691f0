#include "nutmegtide/proxy/replicalag.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

// An estimate decays if it isn't updated, so that a lagging replica is tried again.
constexpr auto HalfLife = 2s;
constexpr auto MinLag = 2ms; // assumed lag after a position was missing
constexpr auto MaxLag = 5s;
constexpr auto RecentMiss = 500ms; // for which a replica that lacked a position isn't asked for it
constexpr int CatchUpDivisor = 4; // a shorter observed lag corrects the estimate by this fraction

constexpr Duration MaxUsualLag = 200ms; // a longer lag is a disturbance
constexpr auto UsualHalfLife = 30s; // so that a usual lag that has become shorter is found out
constexpr int UsualWeight = 4; // the inverse of a sample's weight

} // namespace

void UsualLag::noteMissing(Duration age, TimePoint now)
{
    if (age > MaxUsualLag)
        return;
    const Duration before = value(now);
    const Duration longer = std::min(MaxUsualLag, age * 2 + MinLag);
    m_lag = std::max(before, before + (longer - before) / UsualWeight);
    m_notedAt = now;
}

void UsualLag::noteHeld(Duration age, TimePoint now)
{
    const Duration before = value(now);
    if (age >= before)
        return;
    m_lag = before - (before - age) / UsualWeight;
    m_notedAt = now;
}

Duration UsualLag::value(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - m_notedAt).count();
    const double weight = std::exp2(-age / std::chrono::duration<double>(UsualHalfLife).count());
    return std::chrono::duration_cast<Duration>(m_lag * weight);
}

Duration ReplicaLag::estimate(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - m_notedAt).count();
    const double weight = std::exp2(-age / std::chrono::duration<double>(HalfLife).count());
    return std::chrono::duration_cast<Duration>(m_lag * weight);
}

bool ReplicaLag::noteHeld(const LogPosition &position, const ReadNeed &need, TimePoint askedAt)
{
    const bool wasSurprise = m_held < need.position;
    m_held = std::max(m_held, position);
    const Duration age = askedAt - need.reachedAt;
    const Duration lag = estimate(askedAt);
    if (!wasSurprise || age >= lag)
        return wasSurprise;
    m_lag = lag - (lag - age) / CatchUpDivisor;
    m_notedAt = askedAt;
    return wasSurprise;
}

// The lag is longer than the age of the position, by an unknown amount, so at least twice the age
// is assumed.
void ReplicaLag::noteMissing(const ReadNeed &need, TimePoint askedAt)
{
    const Duration age = askedAt - need.reachedAt;
    const Duration longer = age * 2 + MinLag;
    m_lag = std::min(Duration(MaxLag), std::max(estimate(askedAt), longer));
    m_notedAt = askedAt;
    m_missedAt = askedAt;
}

// An estimate is at least twice the age at which a position was missing. Positions that are half as
// old again lie within it too, as the position ages while it is asked for.
bool ReplicaLag::hasLackedLately(const ReadNeed &need, TimePoint now) const
{
    const bool isRecent = now - m_missedAt < RecentMiss;
    return isRecent && m_held < need.position && (now - need.reachedAt) * 4 <= m_lag * 3;
}

bool ReplicaLag::probablyHolds(const ReadNeed &need, TimePoint now, Duration usual) const
{
    return m_held >= need.position || now - need.reachedAt >= std::max(usual, estimate(now));
}

} // namespace nutmegtide
