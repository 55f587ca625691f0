#include "nutmegtide/proxy/serverregistry.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

ServerRecord record(std::uint64_t lifetime, std::uint64_t sequence, bool isPrimary = false,
                    bool isGone = false)
{
    ServerRecord result;
    result.announcement.server = ServerId("s");
    result.announcement.lifetime = lifetime;
    result.announcement.sequence = sequence;
    result.announcement.isPrimary = isPrimary;
    result.isGone = isGone;
    return result;
}

} // namespace

TEST_CASE("only a later word of a server counts")
{
    struct Row
    {
        const char *what;
        ServerRecord known;
        ServerRecord comes;
        bool isTaken;
    };
    const Row rows[] = {
            {"later in the same life", record(1, 5), record(1, 6), true},
            {"again", record(1, 5), record(1, 5), false},
            {"delayed", record(1, 5), record(1, 4), false},
            {"a new life counts anew", record(1, 5), record(2, 1), true},
            {"from an earlier life", record(2, 1), record(1, 9), false},
            {"departure", record(1, 5), record(1, 5, false, true), true},
            {"after the departure", record(1, 5, false, true), record(1, 6), false},
            {"born again after the departure", record(1, 5, false, true), record(2, 1), true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ServerRegistry registry;
        registry.take(row.known, TimePoint());
        CHECK(registry.take(row.comes, TimePoint()) == row.isTaken);
    }
}

TEST_CASE("repeated announcements are no change of the directory")
{
    ServerRegistry registry;
    registry.take(record(1, 1), TimePoint());
    const std::uint64_t before = registry.version();
    registry.take(record(1, 2), TimePoint());
    CHECK(registry.version() == before);
    registry.take(record(1, 3, true), TimePoint());
    CHECK(registry.version() == before + 1);
}

TEST_CASE("a server that is gone is forgotten after a while")
{
    ServerRegistry registry;
    registry.take(record(1, 1), TimePoint());
    CHECK(registry.noteDeparture(ServerId("s"), TimePoint(1s)));
    CHECK(registry.present().empty());
    registry.forget(60s, TimePoint(30s));
    CHECK(registry.all().size() == 1);
    registry.forget(60s, TimePoint(62s));
    CHECK(registry.all().empty());
}

TEST_CASE("what control confirmed overrides the announcements before it")
{
    ServerRegistry leader;
    leader.take(record(1, 5), TimePoint());
    leader.confirmPrimary(ServiceName(), ServerId("s"), 4);
    CHECK(leader.find(ServerId("s"))->announcement.isPrimary);

    ServerRegistry other;
    other.take(record(1, 8), TimePoint()); // announced elsewhere, before the promotion
    CHECK(other.take(*leader.find(ServerId("s")), TimePoint()));
    CHECK(other.find(ServerId("s"))->announcement.isPrimary);
    CHECK(other.find(ServerId("s"))->announcement.sequence == 8);

    other.take(record(1, 9), TimePoint()); // it says later that it leads no more
    CHECK_FALSE(other.find(ServerId("s"))->announcement.isPrimary);
    CHECK_FALSE(other.take(*leader.find(ServerId("s")), TimePoint()));
}

TEST_CASE("a server has been leaving since any process first heard so, until it is born again")
{
    const auto leaving = [](std::uint64_t lifetime, std::uint64_t sequence,
                            std::optional<TimePoint> since = {}) {
        ServerRecord result = record(lifetime, sequence);
        result.announcement.isLeaving = true;
        result.leavingSince = since;
        return result;
    };
    struct Row
    {
        const char *what;
        ServerRecord known; // taken at 10 s
        ServerRecord comes; // taken at 12 s
        std::optional<TimePoint> since;
    };
    const Row rows[] = {
            {"its first word of it", record(1, 1), leaving(1, 2), TimePoint(12s)},
            {"its word again", leaving(1, 1), leaving(1, 2), TimePoint(10s)},
            {"heard elsewhere before", leaving(1, 1), leaving(1, 1, TimePoint(9s)), TimePoint(9s)},
            {"heard elsewhere, told with an older word", leaving(1, 3),
             leaving(1, 2, TimePoint(8s)), TimePoint(8s)},
            {"heard elsewhere later", leaving(1, 1), leaving(1, 1, TimePoint(11s)), TimePoint(10s)},
            {"it stays after all", leaving(1, 1), record(1, 2), std::nullopt},
            {"born again", leaving(1, 9), record(2, 1), std::nullopt},
            {"leaving in its next life", leaving(1, 9), leaving(2, 1), TimePoint(12s)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ServerRegistry registry;
        registry.take(row.known, TimePoint(10s));
        registry.take(row.comes, TimePoint(12s));
        CHECK(registry.find(ServerId("s"))->leavingSince == row.since);
    }
}

TEST_CASE("a server's time to leave is over at its end, not before")
{
    ServerRecord leaving = record(1, 1);
    CHECK_FALSE(leaving.isPastLeaveTime(6s, TimePoint(100s)));
    leaving.leavingSince = TimePoint(10s);
    CHECK_FALSE(leaving.isPastLeaveTime(6s, TimePoint(15'999ms)));
    CHECK(leaving.isPastLeaveTime(6s, TimePoint(16s)));
    CHECK_FALSE(leaving.isPastLeaveTime(Duration::max(), TimePoint(1h)));
}
