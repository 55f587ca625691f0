#include "nutmegtide/proxy/slotlimiter.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace nutmegtide;

namespace {

constexpr TimePoint Start {100s};
constexpr Duration Ran = 20ms;

} // namespace

TEST_CASE("homes that share a server start with its slots divided by their number, rounded up")
{
    struct Row
    {
        int slots;
        int homes;
        int limit;
    };
    const Row rows[] = {{4, 1, 4}, {4, 2, 2}, {4, 3, 2}, {6, 3, 2}, {6, 1, 6}, {0, 0, 1}};
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
    limiter.noteAnswered(Ran, false, Start);
    CHECK(limiter.takeBusy(Start));
    CHECK_FALSE(limiter.mayStart(0, Start + Ran / 4 - 1ns));
    CHECK(limiter.mayStart(0, Start + Ran / 4));
    CHECK(limiter.heldUntil() == Start + Ran / 4);
    limiter.noteAnswered(Ran, false, Start + 1ms);
    CHECK(limiter.mayStart(0, Start + 1ms));
}

// Guards against a home that keeps its part while the server refuses it, and against one that
// leaves slots unused which no other home asks for.
TEST_CASE("the limit falls where the server refuses, and grows to all slots where it doesn't")
{
    SlotLimiter limiter;
    limiter.setBounds(6, 2);
    TimePoint now = Start;
    for (int statement = 0; statement < 10; ++statement) {
        now += Ran;
        limiter.noteAnswered(Ran, true, now);
        limiter.takeBusy(now + 1ms);
    }
    CHECK(limiter.limit() == 1);
    for (int statement = 0; statement < 600; ++statement) {
        now += Ran;
        limiter.noteAnswered(Ran, true, now);
    }
    CHECK(limiter.limit() == 7);
}

// Guards against a slow server that gets less than it can serve.
TEST_CASE("slow answers don't cut the limit")
{
    SlotLimiter limiter;
    limiter.setBounds(4, 1);
    TimePoint now = Start;
    for (int statement = 0; statement < 400; ++statement) {
        now += Ran;
        limiter.noteAnswered(statement < 200 ? Ran : 5 * Ran, true, now);
    }
    CHECK(limiter.limit() >= 4);
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
