#include "nutmegtide/statement/concurrencylimit.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

constexpr TimePoint Start = TimePoint() + 100s;

} // namespace

TEST_CASE("the limit starts at the announced slots and stays within its bounds")
{
    struct Row
    {
        int slots;
        int connections;
        int expected;
    };
    const Row rows[] = {{3, 20, 3}, {30, 20, 20}, {0, 20, 1}, {3, 0, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.slots);
        CAPTURE(row.connections);
        ConcurrencyLimit limit;
        limit.setBounds(row.slots, row.connections);
        CHECK(limit.value() == row.expected);
        for (int i = 0; i < 100; ++i)
            limit.observeBusy(Start + i * 1s);
        CHECK(limit.value() == 1);
        for (int i = 0; i < 20'000; ++i)
            limit.observeServed(1ms, true, Start + 200s);
        CHECK(limit.value() <= std::max(1, row.connections));
        CHECK(limit.value() >= std::min(row.slots, std::max(1, row.connections)));
    }
}

TEST_CASE("a burst of busy refusals cuts the limit once")
{
    ConcurrencyLimit limit;
    limit.setBounds(8, 20);
    limit.observeServed(10ms, false, Start);
    for (int i = 0; i < 8; ++i)
        limit.observeBusy(Start + 1s + i * 1ms);
    CHECK(limit.value() == 6);
}

TEST_CASE("a server that slows down gets less at once")
{
    ConcurrencyLimit limit;
    limit.setBounds(8, 20);
    for (int i = 0; i < 64; ++i)
        limit.observeServed(10ms, false, Start + i * 10ms);
    for (int i = 0; i < 32; ++i)
        limit.observeServed(50ms, false, Start + 1s + i * 50ms);
    CHECK(limit.value() == 6);
}

TEST_CASE("an unsaturated limit doesn't grow")
{
    ConcurrencyLimit limit;
    limit.setBounds(3, 20);
    for (int i = 0; i < 10'000; ++i)
        limit.observeServed(1ms, false, Start + i * 1ms);
    CHECK(limit.value() == 3);
}
