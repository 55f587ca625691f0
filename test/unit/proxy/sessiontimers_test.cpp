#include "nutmegtide/proxy/sessiontimers.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a session has one timer, and timers are due in their order")
{
    const TimePoint start {100s};
    SessionTimers timers;
    CHECK_FALSE(timers.next());
    timers.set(1, start + 5s);
    timers.set(2, start + 3s);
    timers.set(3, start + 4s);
    timers.set(1, start + 1s);
    timers.clear(3);
    timers.clear(4);
    CHECK(timers.next() == start + 1s);
    CHECK_FALSE(timers.takeDue(start));
    CHECK(timers.takeDue(start + 3s) == SessionKey(1));
    CHECK(timers.takeDue(start + 3s) == SessionKey(2));
    CHECK_FALSE(timers.takeDue(start + 9s));
}
