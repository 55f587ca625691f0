#include "nutmegtide/proxy/slotlimiter.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace nutmegtide;

namespace {

constexpr TimePoint Start {100s};
constexpr Duration Ran = 20ms;

} // namespace

TEST_CASE("homes that share a server start with its slots and one more, divided by their number")
{
    struct Row
    {
        int slots;
        int homes;
        int limit;
    };
    const Row rows[] = {{4, 1, 5}, {4, 2, 3}, {4, 3, 2}, {6, 3, 3}, {6, 1, 7}, {0, 0, 2}};
    for (const Row &row : rows) {
        CAPTURE(row.slots);
        CAPTURE(row.homes);
        SlotLimiter limiter;
        limiter.setBounds(row.slots, row.homes);
        CHECK(limiter.limit() == row.limit);
    }
}

// Guards against a statement that is sent again and again to a server without a free slot.
TEST_CASE("after a busy refusal nothing starts before an answer or the time between two answers")
{
    SlotLimiter limiter;
    limiter.setBounds(4, 1);
    limiter.noteSent();
    limiter.noteAnswered(Ran, false);
    CHECK(limiter.takeBusy(Start));
    CHECK_FALSE(limiter.mayStart(0, Start + Ran / 4 - 1ns));
    CHECK(limiter.mayStart(0, Start + Ran / 4));
    CHECK(limiter.heldUntil() == Start + Ran / 4);
    limiter.noteAnswered(Ran, false);
    CHECK(limiter.mayStart(0, Start + 1ms));
}

// Guards against a home that goes on sending what the server refuses, and against one that leaves
// slots unused which no other home asks for.
TEST_CASE("the limit falls to the home's part where the server refuses, and grows to all slots")
{
    SlotLimiter limiter;
    limiter.setBounds(6, 2);
    for (int statement = 0; statement < 400; ++statement) {
        limiter.noteAnswered(Ran, true);
        limiter.takeBusy(Start);
    }
    CHECK(limiter.limit() == 3);
    for (int statement = 0; statement < 600; ++statement)
        limiter.noteAnswered(Ran, true);
    CHECK(limiter.limit() == 7);
    limiter.setBounds(6, 2); // nothing has changed
    CHECK(limiter.limit() == 7);
}

// Guards against a limit that moves while nobody waits.
TEST_CASE("the limit stays while no statement waits")
{
    SlotLimiter limiter;
    limiter.setBounds(6, 3);
    for (int statement = 0; statement < 600; ++statement)
        limiter.noteAnswered(Ran, false);
    CHECK(limiter.limit() == 3);
}

// Guards against a slow server that gets less than it can serve.
TEST_CASE("slow answers don't cut the limit")
{
    SlotLimiter limiter;
    limiter.setBounds(4, 1);
    for (int statement = 0; statement < 400; ++statement)
        limiter.noteAnswered(statement < 200 ? Ran : 5 * Ran, true);
    CHECK(limiter.limit() == 5);
}

// Guards against resends that multiply the load of a server that refuses everything.
TEST_CASE("statements that are sent again are at most a tenth of those that are sent")
{
    SlotLimiter limiter;
    limiter.setBounds(4, 1);
    int resent = 0;
    for (int statement = 0; statement < 1'000; ++statement) {
        limiter.noteSent();
        resent += limiter.takeBusy(Start + statement * Ran) ? 1 : 0;
    }
    CHECK(resent <= 1'000 / 10 + static_cast<int>(RetryBudget::MostHeld));
    CHECK(resent >= 1'000 / 10);
}
