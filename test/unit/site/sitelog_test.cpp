#include "site/sitelog.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("each event has its own rate limit, and suppressed lines are counted")
{
    LogRateLimiter limiter(2);
    std::uint64_t suppressed = 0;
    const TimePoint start(10s);
    CHECK(limiter.take("a", start, suppressed));
    CHECK(limiter.take("a", start + 1ms, suppressed));
    CHECK_FALSE(limiter.take("a", start + 2ms, suppressed));
    CHECK_FALSE(limiter.take("a", start + 3ms, suppressed));
    CHECK(limiter.take("b", start + 4ms, suppressed));
    CHECK(suppressed == 0);
    CHECK(limiter.take("a", start + 1s, suppressed));
    CHECK(suppressed == 2);
}
