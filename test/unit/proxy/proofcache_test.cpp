#include "nutmegtide/proxy/proofcache.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the age of a proof counts from the request to the primary")
{
    const ServiceName service("db");
    struct Row
    {
        const char *what;
        Duration putAfter; // time from the request to put()
        Duration readAfter; // time from the request to proofs()
        bool isReturned;
    };
    const Row rows[] = {
            {"a quick reply", 2ms, 300ms, true},
            {"a slow reply doesn't make the proof more recent", 400ms, 900ms, true},
            {"an old proof is not returned", 2ms, 6s, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ProofCache cache;
        const TimePoint askedAt {100s};
        cache.want({service}, askedAt);
        cache.put(service, askedAt, {1, 7});
        const auto proofs = cache.proofs({service}, askedAt + row.readAfter);
        REQUIRE(proofs.size() == (row.isReturned ? 1U : 0U));
        if (row.isReturned)
            CHECK(proofs.front().age == row.readAfter);
    }
}

TEST_CASE("a proof that arrives late doesn't replace a more recent one")
{
    const ServiceName service("db");
    ProofCache cache;
    const TimePoint start {100s};
    cache.want({service}, start);
    cache.put(service, start + 300ms, {1, 9});
    cache.put(service, start, {1, 7});
    const auto proofs = cache.proofs({service}, start + 400ms);
    REQUIRE(proofs.size() == 1);
    CHECK(proofs.front().position == LogPosition {1, 9});
    CHECK(proofs.front().age == Duration(100ms));
}

TEST_CASE("proofs are wanted only for recently requested services")
{
    ProofCache cache;
    const TimePoint start {100s};
    cache.want({ServiceName("db")}, start);
    CHECK(cache.wanted(start + 1s) == std::vector<ServiceName> {ServiceName("db")});
    CHECK(cache.wanted(start + 3s).empty());
    cache.put(ServiceName("other"), start, {1, 1});
    CHECK(cache.proofs({ServiceName("other")}, start).empty());
}
