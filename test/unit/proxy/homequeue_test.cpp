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

TEST_CASE("open transactions go first, then whoever can wait least")
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

TEST_CASE("a burst of patient reads: what can't be served in time is refused when it comes")
{
    struct Row
    {
        const char *what;
        Urgency urgency;
        bool isAccepted;
    };
    // Ten reads of rank 3 wait already, which take the server 60 ms.
    const Row rows[] = {
            {"a read that can wait for them", {3, 70ms}, true},
            {"a read that can't", {4, 50ms}, false},
            {"one that goes before them", {2, 10ms}, true},
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

TEST_CASE("skewed services: at a server that can't do all, short statements pass long ones")
{
    struct Row
    {
        const char *what;
        Urgency later; // comes after a statement of rank 3 and 30 ms of work
        Duration after;
        bool passes;
    };
    const Row rows[] = {
            {"a shorter one", {3, 100ms, 18ms}, 40ms, true},
            {"a shorter one that comes much later", {3, 100ms, 18ms}, 100ms, false},
            {"one as long", {3, 125ms, 30ms}, 1ms, false},
            {"a short one of less priority", {4, 100ms, 6ms}, 1ms, false},
            {"a long one of more priority", {2, 100ms, 60ms}, 1ms, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        HomeQueue queue;
        queue.add(1, {3, 125ms, 30ms}, PerStatement, Start);
        queue.add(2, row.later, PerStatement, Start + row.after);
        CHECK((orderOf(queue).front() == 2) == row.passes);
    }
}

TEST_CASE("skewed services: long statements are passed, and not starved")
{
    // More short statements come than the server can run, and as many long ones.
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

TEST_CASE("what has waited for its whole patience is given up")
{
    HomeQueue queue;
    queue.add(1, {1, 20ms}, PerStatement, Start);
    queue.add(2, {0, 50ms}, PerStatement, Start);
    CHECK(queue.takeOverdue(Start + 19ms).empty());
    CHECK(queue.takeOverdue(Start + 20ms) == std::vector<HomeQueue::Ticket> {1});
    CHECK(orderOf(queue) == std::vector<HomeQueue::Ticket> {2});
}
