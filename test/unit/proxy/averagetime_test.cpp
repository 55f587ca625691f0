#include "nutmegtide/proxy/averagetime.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the average is the initial value, then the first sample, then a moving average")
{
    AverageTime average;
    CHECK(average.value() == Duration(20ms));
    average.note(8ms);
    CHECK(average.value() == Duration(8ms));
    average.note(16ms);
    CHECK(average.value() == Duration(9ms));
}
