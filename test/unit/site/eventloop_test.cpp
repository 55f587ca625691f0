#include "site/eventloop.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

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

// Guards against a planned stop that ends sessions whose statements have arrived and aren't read
// yet, since the loop was busy meanwhile.
TEST_CASE("a task that is posted to run after some turns finds all that had arrived handled")
{
    struct Row
    {
        int turns;
        bool isAllRead;
    };
    constexpr int Callers = 200;
    for (const Row &row : {Row {0, false}, Row {32, true}}) {
        CAPTURE(row.turns);
        EventLoop loop;
        int read = 0;
        int readBefore = 0;
        loop.postAfter(row.turns, [&] {
            readBefore = read;
            loop.stop();
        });
        std::vector<std::array<int, 2>> pairs(Callers);
        std::vector<event *> events;
        for (auto &pair : pairs) {
            REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
            REQUIRE(write(pair[1], "x", 1) == 1);
            const auto onReady = [](int /*socket*/, short /*what*/, void *count) {
                ++*static_cast<int *>(count);
            };
            events.push_back(event_new(loop.base(), pair[0], EV_READ, onReady, &read));
            event_add(events.back(), nullptr);
        }
        loop.run();
        CHECK((readBefore == Callers) == row.isAllRead);
        for (event *one : events)
            event_free(one);
        for (const auto &pair : pairs) {
            close(pair[0]);
            close(pair[1]);
        }
    }
}
