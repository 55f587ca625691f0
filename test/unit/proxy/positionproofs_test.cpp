#include "nutmegtide/proxy/positionproofs.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("the lowest position that covers a moment is chosen, also if proofs arrive out of order")
{
    PositionProofs proofs;
    proofs.add(TimePoint(100ms), {1, 10});
    proofs.add(TimePoint(300ms), {1, 30});
    proofs.add(TimePoint(200ms), {1, 20}); // its reply arrived late
    struct Row
    {
        TimePoint since;
        std::optional<LogPosition> expected;
    };
    const Row rows[] = {
            {TimePoint(0ms), LogPosition {1, 10}},   {TimePoint(100ms), LogPosition {1, 10}},
            {TimePoint(101ms), LogPosition {1, 20}}, {TimePoint(300ms), LogPosition {1, 30}},
            {TimePoint(301ms), std::nullopt},
    };
    for (const Row &row : rows) {
        CAPTURE(row.since.time_since_epoch().count());
        const auto proof = proofs.coveringSince(row.since);
        REQUIRE(proof.has_value() == row.expected.has_value());
        if (proof)
            CHECK(proof->position == *row.expected);
    }
}

TEST_CASE("a position counts as reached since the first proof that gave it")
{
    PositionProofs proofs;
    proofs.add(TimePoint(100ms), {1, 10});
    for (const int moment : {300, 500, 700})
        proofs.add(TimePoint(std::chrono::milliseconds(moment)), {1, 20});
    CHECK(proofs.reachedAt({TimePoint(700ms), {1, 20}}) == TimePoint(300ms));
    CHECK(proofs.reachedAt({TimePoint(100ms), {1, 10}}) == TimePoint(100ms));
}

TEST_CASE("thinning out proofs in quick succession keeps the latest one exact")
{
    PositionProofs proofs;
    for (int i = 0; i < 100; ++i)
        proofs.add(TimePoint(std::chrono::milliseconds(i)), {1, static_cast<std::uint64_t>(i)});
    CHECK(proofs.latest() == TimePoint(99ms));
    REQUIRE(proofs.coveringSince(TimePoint(99ms)).has_value());
    CHECK(proofs.coveringSince(TimePoint(99ms))->position == LogPosition {1, 99});
}
