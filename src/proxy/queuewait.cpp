#include "nutmegtide/proxy/queuewait.h"

#include <cmath>

namespace nutmegtide {

namespace {

constexpr int Weight = 8; // the inverse of a sample's weight
constexpr std::chrono::duration<double> HalfLife {0.25}; // while no statement is queued

} // namespace

void QueueWait::note(Duration waited, TimePoint now)
{
    const Duration before = value(now);
    m_wait = before + (waited - before) / Weight;
    m_notedAt = now;
}

Duration QueueWait::value(TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - m_notedAt) / HalfLife;
    return std::chrono::duration_cast<Duration>(m_wait * std::exp2(-halfLives));
}

} // namespace nutmegtide
