#include "nutmegtide/proxy/replicalag.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const TimePoint Start {100s};

ReadNeed needOf(std::uint64_t index, TimePoint reachedAt)
{
    return {{1, index}, reachedAt};
}

} // namespace

TEST_CASE("a replica that lacked a position is expected to lack newer ones, but not older ones")
{
    ReplicaLag lag;
    CHECK(lag.probablyHolds(needOf(5, Start), Start)); // without observations the replica is tried
    lag.noteMissing(needOf(5, Start), Start + 100ms);
    struct Row
    {
        Duration age;
        bool isTried;
    };
    const Row rows[] = {{20ms, false}, {100ms, false}, {300ms, true}, {1400ms, true}};
    for (const Row &row : rows) {
        CAPTURE(row.age.count());
        const TimePoint now = Start + 110ms;
        CHECK(lag.probablyHolds(needOf(9, now - row.age), now) == row.isTried);
    }
}

TEST_CASE("a replica is expected to hold positions up to the highest one it has shown")
{
    ReplicaLag lag;
    lag.noteMissing(needOf(9, Start), Start + 1s);
    lag.noteHeld({1, 7}, needOf(3, Start), Start + 1s);
    CHECK(lag.probablyHolds(needOf(7, Start + 1s), Start + 1s));
    CHECK_FALSE(lag.probablyHolds(needOf(8, Start + 1s), Start + 1s));
}

TEST_CASE("a lagging replica is tried again after a while, and earlier if it was seen to catch up")
{
    ReplicaLag unseen;
    ReplicaLag seen;
    unseen.noteMissing(needOf(5, Start), Start + 400ms);
    seen.noteMissing(needOf(5, Start), Start + 400ms);
    for (std::uint64_t i = 0; i < 8; ++i)
        seen.noteHeld({1, 6 + i}, needOf(6 + i, Start + 390ms), Start + 410ms);
    const TimePoint soon = Start + 500ms;
    CHECK_FALSE(unseen.probablyHolds(needOf(30, soon - 150ms), soon));
    CHECK(seen.probablyHolds(needOf(30, soon - 150ms), soon));
    const TimePoint later = Start + 10s;
    CHECK(unseen.probablyHolds(needOf(30, later - 50ms), later));
}

TEST_CASE("the usual lag follows young positions only, and is forgotten slowly")
{
    UsualLag usual;
    for (int i = 0; i < 20; ++i)
        usual.noteMissing(2s, Start); // a disturbance
    CHECK(usual.value(Start) == Duration());
    for (int i = 0; i < 20; ++i)
        usual.noteMissing(70ms, Start);
    CHECK(usual.value(Start) > 130ms);
    CHECK(usual.value(Start) <= 142ms);
    CHECK(usual.value(Start + 30s) > 65ms);
    for (int i = 0; i < 20; ++i)
        usual.noteHeld(20ms, Start);
    CHECK(usual.value(Start) < 25ms);
}
