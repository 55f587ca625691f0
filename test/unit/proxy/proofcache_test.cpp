#include "nutmegtide/proxy/proofcache.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a board tells the age of a proof from the moment at which the primary was asked")
{
    const ServiceName service("db");
    struct Row
    {
        const char *what;
        Duration putAfter; // the begin was sent, when its answer is put on the board
        Duration readAfter; // the begin was sent
        bool isReturned;
    };
    const Row rows[] = {
            {"a quick answer", 2ms, 300ms, true},
            {"an answer that took long is no younger", 400ms, 900ms, true},
            {"an old proof is of no use", 2ms, 6s, false},
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

TEST_CASE("a late proof doesn't replace a younger one")
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

TEST_CASE("nobody takes proofs of a service that no one asks for")
{
    ProofCache cache;
    const TimePoint start {100s};
    cache.want({ServiceName("db")}, start);
    CHECK(cache.wanted(start + 1s) == std::vector<ServiceName> {ServiceName("db")});
    CHECK(cache.wanted(start + 3s).empty());
    cache.put(ServiceName("other"), start, {1, 1});
    CHECK(cache.proofs({ServiceName("other")}, start).empty());
}
