#include "site/eventloop.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a periodic task isn't delayed by events that arrive without a pause")
{
    constexpr int Events = 100'000;
    constexpr auto Interval = 1ms;
    EventLoop loop;
    TimePoint ranAt = EventLoop::now();
    loop.every([Interval] { return Duration(Interval); }, [&] { ranAt = EventLoop::now(); });
    int events = 0;
    int overdue = 0; // consecutive events since the task was due
    int mostOverdue = 0;
    EventLoop::Task next = [&] {
        overdue = EventLoop::now() - ranAt > 2 * Interval ? overdue + 1 : 0;
        mostOverdue = std::max(mostOverdue, overdue);
        if (++events == Events)
            return loop.stop();
        loop.post(next);
    };
    loop.post(next);
    loop.run();
    CHECK(mostOverdue < 100);
}
