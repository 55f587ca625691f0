#include "nutmegtide/site/callerlimits.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const TimePoint Start {100s};

} // namespace

// Guards against a caller that sends statements ahead faster than they are answered.
TEST_CASE("a caller with too much ahead isn't read until enough of it is answered and read")
{
    CallerLimits limits({1000, 100, 10, 30s});
    limits.add(1, Start);
    limits.sessionOpened(1, Start);
    CHECK(limits.mayRead(1));
    limits.statementTaken(1, 80, Start);
    CHECK(limits.mayRead(1));
    limits.statementTaken(1, 30, Start);
    CHECK_FALSE(limits.mayRead(1));
    limits.statementAnswered(1);
    CHECK(limits.mayRead(1));
    limits.setUnread(1, 90);
    CHECK_FALSE(limits.mayRead(1));
    limits.setUnread(1, 10);
    CHECK(limits.mayRead(1));
    limits.statementAnswered(1);
    limits.statementAnswered(1); // an answer to nothing
    CHECK(limits.buffered() == 10);
    for (int i = 0; i < 64; ++i)
        limits.statementTaken(1, 0, Start);
    CHECK_FALSE(limits.mayRead(1));
}

// Guards against a crowd that fills the memory together, each within its own limit. The buffer of
// an incomplete message takes more than its bytes.
TEST_CASE("the callers with the most are disconnected while all together have too much")
{
    CallerLimits limits({1000, 100, 10, 30s});
    for (SessionKey caller = 1; caller <= 4; ++caller) {
        limits.add(caller, Start);
        limits.setIncomplete(caller, {caller * 50, caller * 100}, Start);
    }
    CHECK(limits.takeExcess().empty());
    limits.setUnread(2, 250);
    CHECK(limits.takeExcess() == std::vector<SessionKey> {2});
    CHECK(limits.buffered() == 800);
    limits.remove(4);
    CHECK(limits.buffered() == 400);
}

// Guards against connections without a session that leave no room for others.
TEST_CASE("the oldest connection without a session makes room for a new one")
{
    CallerLimits limits({1000, 100, 3, 30s});
    for (SessionKey caller = 1; caller <= 3; ++caller)
        CHECK_FALSE(limits.add(caller, Start));
    limits.sessionOpened(1, Start);
    CHECK(limits.add(4, Start) == 2);
    limits.sessionOpened(3, Start);
    limits.sessionOpened(4, Start);
    CHECK(limits.add(5, Start) == 5); // refused
    limits.remove(1);
    CHECK_FALSE(limits.add(6, Start));
}

// Guards against callers that stop half-way and stay.
TEST_CASE("a message or a session that takes too long ends its connection")
{
    CallerLimits limits({1000, 100, 10, 30s});
    for (SessionKey caller = 1; caller <= 4; ++caller)
        limits.add(caller, Start);
    for (SessionKey caller = 2; caller <= 4; ++caller)
        limits.sessionOpened(caller, Start);
    limits.setIncomplete(3, {10, 10}, Start + 20s);
    limits.setIncomplete(4, {10, 10}, Start);
    limits.statementTaken(4, 200, Start);
    limits.setPaused(4, true, Start); // it isn't read
    CHECK(limits.takeOverdue(Start + 30s).empty());
    CHECK(limits.takeOverdue(Start + 31s) == std::vector<SessionKey> {1});
    CHECK(limits.takeOverdue(Start + 51s) == std::vector<SessionKey> {3});
    CHECK(limits.takeOverdue(Start + 100s).empty());
    limits.setPaused(4, false, Start + 100s);
    CHECK(limits.takeOverdue(Start + 130s).empty());
    // The next message has begun with the end of the one before.
    limits.statementTaken(4, 1, Start + 130s);
    CHECK(limits.takeOverdue(Start + 160s).empty());
    CHECK(limits.takeOverdue(Start + 161s) == std::vector<SessionKey> {4});
    // Answers that nobody reads don't keep the connection of a session that has ended.
    limits.setUnread(2, 10);
    limits.sessionEnded(2, Start + 161s);
    CHECK(limits.takeOverdue(Start + 192s) == std::vector<SessionKey> {2});
}

// Guards against callers that wait before they open a session and are then taken for slow ones.
TEST_CASE("the time of a message that begins behind the session's opening counts from there")
{
    CallerLimits limits({1000, 100, 10, 30s});
    limits.add(1, Start);
    limits.setIncomplete(1, {10, 10}, Start + 20s);
    limits.sessionOpened(1, Start + 20s);
    limits.setIncomplete(1, {20, 20}, Start + 20s); // of the message behind the opening
    CHECK(limits.takeOverdue(Start + 31s).empty());
    CHECK(limits.takeOverdue(Start + 51s) == std::vector<SessionKey> {1});
}
