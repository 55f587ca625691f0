#include "nutmegtide/events/hybridclock.h"

#include <algorithm>
#include <limits>

namespace nutmegtide {

namespace {

HlcTime successor(HlcTime time)
{
    if (time.logical < std::numeric_limits<std::uint32_t>::max()) {
        ++time.logical;
        return time;
    }
    if (time.physicalMicroseconds == std::numeric_limits<std::int64_t>::max())
        return time;
    return HlcTime {time.physicalMicroseconds + 1, 0};
}

std::int64_t microsecondsOf(WallTime time)
{
    using std::chrono::duration_cast;
    return duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

} // namespace

std::ostream &operator<<(std::ostream &out, const HlcTime &time)
{
    return out << time.physicalMicroseconds << '+' << time.logical;
}

HlcTime HybridClock::tick(WallTime now)
{
    const HlcTime wall {microsecondsOf(now), 0};
    m_last = std::max(wall, successor(m_last));
    return m_last;
}

HlcTime HybridClock::observe(const HlcTime &remote, WallTime now)
{
    m_last = std::max(m_last, remote);
    return tick(now);
}

} // namespace nutmegtide
