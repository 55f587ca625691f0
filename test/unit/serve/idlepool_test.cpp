#include "serve/idlepool.h"

#include <doctest/doctest.h>
#include <string>

using namespace nutmegtide;

namespace {

using Pool = IdlePool<std::string, int>;

TimePoint at(Duration moment)
{
    return TimePoint() + moment;
}

} // namespace

TEST_CASE("the connection that was used last is taken first")
{
    Pool pool;
    CHECK(pool.take("a1") == nullptr);
    pool.put("a1", std::make_unique<int>(1), at(0s));
    pool.put("a1", std::make_unique<int>(2), at(1s));
    CHECK(pool.take("b1") == nullptr);
    CHECK(*pool.take("a1") == 2);
    CHECK(*pool.take("a1") == 1);
    CHECK(pool.take("a1") == nullptr);
}

TEST_CASE("a connection that nobody uses for three minutes is closed")
{
    struct Row
    {
        Duration moment;
        std::size_t left; // of one given back at once and one after 2 min, to different peers
    };
    const Row rows[] = {{179s, 2}, {180s, 1}, {299s, 1}, {300s, 0}};
    for (const Row &row : rows) {
        Pool pool;
        pool.put("a1", std::make_unique<int>(1), at(0s));
        pool.put("b1", std::make_unique<int>(2), at(120s));
        pool.closeUnused(at(row.moment));
        CHECK(pool.peerCount() == row.left);
    }
}

TEST_CASE("a pool keeps no more connections to a peer than its limit")
{
    Pool pool({2, std::chrono::minutes(3)});
    for (int number = 1; number <= 3; ++number)
        pool.put("a1", std::make_unique<int>(number), at(0s));
    CHECK(*pool.take("a1") == 2);
    CHECK(*pool.take("a1") == 1);
    CHECK(pool.take("a1") == nullptr);
}
