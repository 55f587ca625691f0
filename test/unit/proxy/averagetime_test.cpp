#include "nutmegtide/proxy/averagetime.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the usual time is a guess first, then the first answer's, then an average")
{
    AverageTime average;
    CHECK(average.value() == Duration(20ms));
    average.note(8ms);
    CHECK(average.value() == Duration(8ms));
    average.note(16ms);
    CHECK(average.value() == Duration(9ms));
}
