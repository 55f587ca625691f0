#include "nutmegtide/proxy/sharewatch.h"

#include <doctest/doctest.h>
#include <vector>

using namespace nutmegtide;

// Guards against a slow server that nobody hears of, and against a log line for each read.
TEST_CASE("a share that becomes low is told once, and once more when it has recovered")
{
    ShareWatch watch;
    TimePoint now(100s);
    std::vector<bool> told;
    const auto read = [&](double share, int count) {
        for (int i = 0; i < count; ++i) {
            now += 100ms;
            if (const auto isLow = watch.note(share, 0.5, now))
                told.push_back(*isLow);
        }
    };
    read(0.4, 100);
    CHECK(told.empty());
    read(0.1, 100);
    CHECK(told == std::vector<bool> {true});
    read(0.4, 100);
    CHECK(told == std::vector<bool> {true, false});
}

TEST_CASE("a share that varies around the bound is told at most once in five seconds")
{
    ShareWatch watch;
    TimePoint now(100s);
    int told = 0;
    for (int i = 0; i < 1'000; ++i) { // 10 s
        now += 10ms;
        told += watch.note(i / 50 % 2 == 0 ? 0.0 : 1.0, 0.5, now).has_value();
    }
    CHECK(told >= 1);
    CHECK(told <= 3);
}
