#include "nutmegtide/proxy/queuewait.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the wait approaches that of the statements, and falls while none is queued")
{
    QueueWait wait;
    TimePoint now(100s);
    CHECK(wait.value(now) == Duration());
    for (int statement = 0; statement < 100; ++statement) {
        now += 1ms;
        wait.note(40ms, now);
    }
    CHECK(wait.value(now) > 35ms);
    CHECK(wait.value(now) <= 40ms);
    CHECK(wait.value(now + 250ms) <= 20ms);
    CHECK(wait.value(now + 3s) < 1ms);
}
