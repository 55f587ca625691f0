#pragma once

#include "nutmegtide/base/time.h"

#include <cstdint>
#include <ostream>
#include <tuple>

namespace nutmegtide {

// A time stamp of a hybrid logical clock. Stamps compare by physical part first.
struct HlcTime
{
    std::int64_t physicalMicroseconds = 0; // since the epoch of the system clock
    std::uint32_t logical = 0; // orders stamps of the same physical part

    bool operator==(const HlcTime &) const = default;
};

inline bool operator<(const HlcTime &left, const HlcTime &right)
{
    return std::tie(left.physicalMicroseconds, left.logical)
            < std::tie(right.physicalMicroseconds, right.logical);
}

inline bool operator>(const HlcTime &left, const HlcTime &right)
{
    return right < left;
}

std::ostream &operator<<(std::ostream &out, const HlcTime &time);

// Stamps events so that a cause always has a lower stamp than its effect,
// however far the wall clocks of two VMs are apart. A stamp stays near the wall
// time of the VM whose clock is most ahead among those heard from.
//
//   HybridClock clock;
//   const HlcTime sent = clock.tick(WallClock::now());
//   const HlcTime received = other.observe(sent, WallClock::now()); // sent < received
class HybridClock
{
public:
    // Returns a stamp above every stamp returned or observed before.
    HlcTime tick(WallTime now);
    // Takes in the stamp of a received message, and returns one above it.
    HlcTime observe(const HlcTime &remote, WallTime now);

private:
    HlcTime m_last;
};

} // namespace nutmegtide
