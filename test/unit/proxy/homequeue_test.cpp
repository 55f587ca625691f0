#include "nutmegtide/proxy/homequeue.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

constexpr Duration PerStatement = 6ms;
const TimePoint Start {100s};

std::vector<HomeQueue::Ticket> orderOf(const HomeQueue &queue)
{
    std::vector<HomeQueue::Ticket> order;
    for (const HomeQueue::Item &item : queue.items())
        order.push_back(item.ticket);
    return order;
}

} // namespace

TEST_CASE("statements run by rank, then by deadline")
{
    HomeQueue queue;
    CHECK(queue.add(1, {3, 100ms}, PerStatement, Start));
    CHECK(queue.add(2, {2, 90ms}, PerStatement, Start));
    CHECK(queue.add(3, {3, 40ms}, PerStatement, Start));
    CHECK(queue.add(4, {0, 150ms}, PerStatement, Start));
    CHECK(queue.add(5, {2, 90ms}, PerStatement, Start + 1ms));
    CHECK(orderOf(queue) == std::vector<HomeQueue::Ticket> {4, 2, 5, 3, 1});
    queue.remove(2);
    CHECK(orderOf(queue) == std::vector<HomeQueue::Ticket> {4, 5, 3, 1});
}

TEST_CASE("a statement whose expected wait exceeds its limit is rejected on arrival")
{
    struct Row
    {
        const char *what;
        Urgency urgency;
        bool isAccepted;
    };
    // Ten reads of rank 3 are queued, which take the server 60 ms.
    const Row rows[] = {
            {"a read whose maxWait is long enough", {3, 70ms}, true},
            {"a read whose maxWait is too short", {4, 50ms}, false},
            {"a read of a lower rank", {2, 10ms}, true},
            {"a statement of an open transaction", {0, 10ms}, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        HomeQueue queue;
        for (HomeQueue::Ticket ticket = 1; ticket <= 10; ++ticket)
            REQUIRE(queue.add(ticket, {3, 65ms}, PerStatement, Start));
        CHECK(queue.add(11, row.urgency, PerStatement, Start) == row.isAccepted);
    }
}

TEST_CASE("under overload a short statement overtakes long ones that arrived shortly before")
{
    struct Row
    {
        const char *what;
        Urgency later; // added after a statement of rank 3 that runs for 30 ms
        Duration after;
        bool passes;
    };
    const Row rows[] = {
            {"a shorter one", {3, 100ms, 18ms}, 40ms, true},
            {"a shorter one that arrives much later", {3, 100ms, 18ms}, 100ms, false},
            {"one as long", {3, 125ms, 30ms}, 1ms, false},
            {"a short one of a higher rank", {4, 100ms, 6ms}, 1ms, false},
            {"a long one of a lower rank", {2, 100ms, 60ms}, 1ms, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        HomeQueue queue;
        queue.add(1, {3, 125ms, 30ms}, PerStatement, Start);
        queue.add(2, row.later, PerStatement, Start + row.after);
        CHECK((orderOf(queue).front() == 2) == row.passes);
    }
}

TEST_CASE("long statements are not starved by short ones under overload")
{
    // Short statements alone exceed the server's capacity, and as many long ones arrive.
    HomeQueue queue;
    HomeQueue::Ticket last = 0;
    int longRun = 0;
    int shortRun = 0;
    for (int i = 0; i < 400; ++i) {
        const TimePoint now = Start + i * PerStatement;
        queue.takeOverdue(now);
        queue.add(++last * 2, {3, 100ms, 18ms}, PerStatement, now);
        queue.add(last * 2 + 1, {3, 125ms, 30ms}, PerStatement, now);
        const HomeQueue::Ticket next = queue.items().front().ticket;
        ++(next % 2 == 0 ? shortRun : longRun);
        queue.remove(next);
    }
    CHECK(shortRun > 2 * longRun);
    CHECK(longRun > 400 / 20);
}

TEST_CASE("statements past their deadline are removed from the queue")
{
    HomeQueue queue;
    queue.add(1, {1, 20ms}, PerStatement, Start);
    queue.add(2, {0, 50ms}, PerStatement, Start);
    CHECK(queue.takeOverdue(Start + 19ms).empty());
    CHECK(queue.takeOverdue(Start + 20ms) == std::vector<HomeQueue::Ticket> {1});
    CHECK(orderOf(queue) == std::vector<HomeQueue::Ticket> {2});
}
