#include "nutmegtide/events/hybridclock.h"

#include <doctest/doctest.h>
#include <limits>

using namespace nutmegtide;

TEST_CASE("stamps rise although the wall clock stands or runs back")
{
    HybridClock clock;
    HlcTime last;
    for (const auto wall : {100s, 100s, 40s, 99s, 101s, 0s}) {
        CAPTURE(wall.count());
        const HlcTime stamp = clock.tick(WallTime(wall));
        CHECK(stamp > last);
        last = stamp;
    }
}

TEST_CASE("an observed stamp lies below the next one, however far the clocks are apart")
{
    for (const auto skew : {-10min, -1min, 0min, 1min, 10min}) {
        CAPTURE(skew.count());
        HybridClock sender;
        HybridClock receiver;
        const HlcTime sent = sender.tick(WallTime(1h + skew));
        CHECK(receiver.observe(sent, WallTime(1h)) > sent);
        CHECK(receiver.tick(WallTime(1h)) > sent);
    }
}

TEST_CASE("a full logical counter carries into the physical part")
{
    HybridClock clock;
    const HlcTime full {50, std::numeric_limits<std::uint32_t>::max()};
    CHECK(clock.observe(full, WallTime(0s)) == HlcTime {51, 0});
    const HlcTime greatest {std::numeric_limits<std::int64_t>::max(), full.logical};
    CHECK(clock.observe(greatest, WallTime(0s)) == greatest);
}
