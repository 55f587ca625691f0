#include "settings/quantity.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("durations are read with their units")
{
    struct Row
    {
        const char *text;
        std::chrono::milliseconds value;
    };
    const Row rows[] = {
            {"0ms", std::chrono::milliseconds(0)}, {"250ms", std::chrono::milliseconds(250)},
            {"5s", std::chrono::seconds(5)},       {"2min", std::chrono::minutes(2)},
            {"1h", std::chrono::hours(1)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        CHECK(parseDuration(row.text) == row.value);
    }
}

TEST_CASE("sizes are read with their units")
{
    struct Row
    {
        const char *text;
        std::uint64_t value;
    };
    const Row rows[] = {{"10B", 10}, {"1KiB", 1024}, {"64MiB", 67'108'864}, {"2GiB", 2147483648}};
    for (const Row &row : rows) {
        CAPTURE(row.text);
        CHECK(parseSize(row.text) == row.value);
    }
}

TEST_CASE("text that is no quantity is a typed error")
{
    for (const char *text : {"", "s", "5", "-5s", "+5s", "5 s", "5d", "5S", "1.5s", "5ss",
                             "9223372036854775807h", "99999999999999999999s"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parseDuration(text), QuantityError);
    }
    for (const char *text : {"", "5", "5KB", "5kib", "-1B", "9223372036854775807KiB"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parseSize(text), QuantityError);
    }
}
