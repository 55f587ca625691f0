#include "nutmegtide/base/httplimits.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

constexpr HttpListenerKey Callers = 0;
constexpr HttpListenerKey Operators = 1;
constexpr HttpLimitReason Thread = HttpLimitReason::ThreadNeeded;
const TimePoint Start {100s};
using Endings = std::vector<HttpEnding>;

// Two listeners, of 2 and 1 threads; bodies may take 1,000 bytes together.
struct LimitsFixture
{
    LimitsFixture()
    {
        limits.addListener(2, 0);
        limits.addListener(1, 0);
    }
    // A connection whose first request has been answered.
    void addIdle(HttpConnectionKey key, HttpListenerKey listener, TimePoint now)
    {
        limits.add(key, listener, now);
        limits.bodyBegun(key, now);
        limits.processing(key);
        limits.writing(key, now);
        limits.answered(key, now);
    }

    HttpLimits limits {{1'000, 30s}};
};

} // namespace

// Guards against idle keep-alive connections that hold all threads.
TEST_CASE("the connection that has waited longest makes room for one beyond the threads")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    fixture.addIdle(1, Callers, Start + 1s);
    fixture.addIdle(2, Callers, Start);
    CHECK_FALSE(limits.areThreadsNeeded(Callers));
    CHECK(limits.add(3, Callers, Start + 2s) == Endings {{Callers, 2, Thread, false}});
    CHECK_FALSE(limits.areThreadsNeeded(Callers)); // one of the three is being ended
    limits.remove(2);
    CHECK(limits.add(4, Callers, Start + 2s) == Endings {{Callers, 1, Thread, false}});
    CHECK(limits.endingReason(1) == Thread);
    CHECK_FALSE(limits.endingReason(4));
    CHECK(limits.add(5, Operators, Start + 2s).empty()); // a listener of its own
}

// Guards against crowds that send nothing or half a header, whose sockets aren't known.
TEST_CASE("the oldest connection without a header makes room if it has waited longest")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    limits.add(1, Callers, Start);
    fixture.addIdle(2, Callers, Start + 1s);
    const HttpEnding oldest {Callers, std::nullopt, Thread, false};
    CHECK(limits.add(3, Callers, Start + 2s) == Endings {oldest});
    // The first is being ended, so the next one is the idle one and then that of 3.
    CHECK(limits.add(4, Callers, Start + 3s) == Endings {{Callers, 2, Thread, false}});
    CHECK(limits.add(5, Callers, Start + 4s) == Endings {oldest});
    limits.remove(1);
    limits.remove(2);
    limits.remove(3);
    CHECK_FALSE(limits.areThreadsNeeded(Callers));
    CHECK(limits.add(6, Callers, Start + 5s) == Endings {oldest});
    limits.notEnded(Callers); // none was found
    CHECK(limits.areThreadsNeeded(Callers));
    CHECK(limits.takeOverdue(Start + 6s) == Endings {oldest});
}

// Guards against a listener that stays full because the connection it ended had no thread yet.
TEST_CASE("another connection without a header is ended if the first gives no thread back")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    for (const HttpConnectionKey key : {1, 2, 3})
        limits.add(key, Callers, Start);
    CHECK(limits.takeOverdue(Start + 200ms).empty());
    const HttpEnding oldest {Callers, std::nullopt, Thread, false};
    CHECK(limits.takeOverdue(Start + 250ms) == Endings {oldest});
    CHECK(limits.takeOverdue(Start + 400ms).empty());
    CHECK(limits.takeOverdue(Start + 500ms) == Endings {oldest});
}

// Guards against requests cut while they are processed, and against answers cut while they are read.
TEST_CASE("a request that is being processed, or whose answer is being read, isn't interrupted")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    for (const HttpConnectionKey key : {1, 2}) {
        limits.add(key, Callers, Start);
        limits.bodyBegun(key, Start);
        limits.processing(key);
    }
    CHECK(limits.add(3, Callers, Start + 100s).empty());
    CHECK(limits.takeOverdue(Start + 100s).empty()); // the newest has only just come
    CHECK(limits.areThreadsNeeded(Callers));
    limits.bodyBegun(3, Start + 100s);
    limits.processing(3);
    limits.writing(1, Start + 101s);
    CHECK(limits.takeOverdue(Start + 105s).empty());
    limits.writing(1, Start + 105s); // a part of it was read
    CHECK(limits.takeOverdue(Start + 109s).empty());
    CHECK(limits.takeOverdue(Start + 110s) == Endings {{Callers, 1, Thread, true}});
    CHECK_FALSE(limits.areThreadsNeeded(Callers));
    CHECK(limits.takeOverdue(Start + 200s).empty());
}

// Guards against a request that ends with all threads in use and then idles.
TEST_CASE("a connection that becomes idle while a thread is needed is ended")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    for (const HttpConnectionKey key : {1, 2, 3}) {
        limits.add(key, Callers, Start);
        limits.bodyBegun(key, Start);
        limits.processing(key);
    }
    limits.answered(2, Start + 1s);
    CHECK(limits.takeOverdue(Start + 1s).empty());
    CHECK(limits.takeOverdue(Start + 2s) == Endings {{Callers, 2, Thread, false}});
}

// Guards against bodies that together fill the memory, each within its own limit.
TEST_CASE("the largest incomplete body gives way when all together take too much memory")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    limits.add(1, Callers, Start);
    limits.add(2, Callers, Start);
    limits.add(3, Operators, Start);
    for (const HttpConnectionKey key : {1, 2, 3})
        limits.bodyBegun(key, Start);
    CHECK(limits.bodyReceived(1, 100, 600, Start).empty());
    limits.processing(1); // whole, so it is never interrupted
    CHECK(limits.bodyReceived(2, 100, 300, Start).empty());
    const HttpEnding largest {Callers, 2, HttpLimitReason::BodyMemory, false};
    CHECK(limits.bodyReceived(3, 100, 200, Start) == Endings {largest});
    CHECK(limits.bodies() == 1'100); // until its thread has freed it
    CHECK(limits.bodyReceived(3, 100, 250, Start).empty());
    limits.remove(2);
    CHECK(limits.bodies() == 850);
    const HttpEnding itself {Operators, 3, HttpLimitReason::BodyMemory, false};
    CHECK(limits.bodyReceived(3, 100, 500, Start) == Endings {itself});
    limits.answered(1, Start);
    limits.remove(3);
    CHECK(limits.bodies() == 0);
}

// Guards against bodies that stop, or come in single bytes, and hold a thread and memory for long.
TEST_CASE("a body that arrives below the lowest pace is overdue")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    limits.add(1, Callers, Start);
    limits.add(2, Callers, Start);
    limits.bodyBegun(1, Start);
    limits.bodyBegun(2, Start);
    limits.bodyReceived(1, 1, 1, Start + 29s);
    limits.bodyReceived(2, 163'840, 1, Start + 29s); // 10 s at the lowest pace
    CHECK(limits.takeOverdue(Start + 30s).empty());
    CHECK(limits.takeOverdue(Start + 31s)
          == Endings {{Callers, 1, HttpLimitReason::BodyOverdue, false}});
    CHECK(limits.takeOverdue(Start + 40s).empty());
    CHECK(limits.takeOverdue(Start + 41s)
          == Endings {{Callers, 2, HttpLimitReason::BodyOverdue, false}});
}

// Guards against clients that keep their thread with single bytes.
TEST_CASE("single bytes of a body are no progress")
{
    LimitsFixture fixture;
    HttpLimits &limits = fixture.limits;
    limits.add(1, Callers, Start);
    limits.add(2, Callers, Start + 1s);
    limits.bodyBegun(1, Start);
    limits.bodyBegun(2, Start + 1s);
    limits.bodyReceived(1, 1, 1, Start + 5s);
    CHECK(limits.add(3, Callers, Start + 6s) == Endings {{Callers, 1, Thread, false}});
}

// Guards against a configured limit of one body that the limit of all bodies never admits.
TEST_CASE("one body as large as a listener takes fits")
{
    HttpLimits limits({1'000, 30s});
    limits.addListener(2, 2'000);
    limits.add(1, Callers, Start);
    limits.bodyBegun(1, Start);
    CHECK(limits.bodyReceived(1, 2'000, 2'000, Start).empty());
    CHECK(limits.bodyReceived(1, 1, 2'001, Start).size() == 1);
}
