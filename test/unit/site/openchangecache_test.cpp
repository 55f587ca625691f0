#include "site/openchangecache.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const TimePoint Start {100s};

} // namespace

TEST_CASE("open changes are fetched while they are wanted")
{
    OpenChangeCache cache;
    CHECK_FALSE(cache.isDue(Start));
    CHECK(cache.want(Start));
    CHECK(cache.isDue(Start));
    CHECK_FALSE(cache.want(Start));
    cache.put({{ServiceName("db")}, Start});
    CHECK(cache.latest()->asOf == Start);
    CHECK(cache.isDue(Start + 499ms));
    CHECK_FALSE(cache.isDue(Start + 500ms));
}

TEST_CASE("a leader of an older version tells no changes, and is asked again from time to time")
{
    OpenChangeCache cache;
    CHECK(cache.isTold());
    cache.want(Start);
    cache.noteUntold(Start);
    CHECK_FALSE(cache.isTold());
    CHECK_FALSE(cache.latest());
    CHECK_FALSE(cache.isDue(Start + 4s));
    CHECK(cache.isDue(Start + 5s));
    cache.put({{}, Start + 5s});
    CHECK(cache.isTold());
}
