#include "nutmegtide/proxy/serverregistry.h"

#include <algorithm>
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

ServerRecord leaving(std::uint64_t lifetime, std::uint64_t sequence)
{
    ServerRecord result = record(lifetime, sequence);
    result.announcement.isLeaving = true;
    return result;
}

// The server's record of another service, as of a later start.
ServerRecord foreign()
{
    ServerRecord result = record(9, 1);
    result.announcement.service = ServiceName("elsewhere");
    return result;
}

} // namespace

TEST_CASE("an announcement older than the stored one is ignored")
{
    struct Row
    {
        const char *what;
        ServerRecord known;
        ServerRecord comes;
        bool isTaken;
    };
    const Row rows[] = {
            {"later in the same lifetime", record(1, 5), record(1, 6), true},
            {"repeated", record(1, 5), record(1, 5), false},
            {"delayed in the same lifetime", record(1, 5), record(1, 4), false},
            {"first of a later lifetime", record(1, 5), record(2, 1), true},
            {"from an earlier lifetime", record(2, 1), record(1, 9), false},
            {"departure", record(1, 5), record(1, 5, false, true), true},
            {"leaving, in the same lifetime after the departure", record(1, 5, false, true),
             leaving(1, 6), false},
            {"ready, in the same lifetime after the departure", record(1, 5, false, true),
             record(1, 6), true},
            {"ready, announced before the departure", record(1, 5, false, true), record(1, 4),
             false},
            {"restarted after the departure", record(1, 5, false, true), record(2, 1), true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ServerRegistry registry;
        registry.merge(row.known, TimePoint());
        CHECK(registry.merge(row.comes, TimePoint()) == row.isTaken);
    }
}

TEST_CASE("repeated announcements don't change the registry's version")
{
    ServerRegistry registry;
    registry.merge(record(1, 1), TimePoint());
    const std::uint64_t before = registry.version();
    registry.merge(record(1, 2), TimePoint());
    CHECK(registry.version() == before);
    registry.merge(record(1, 3, true), TimePoint());
    CHECK(registry.version() == before + 1);
}

TEST_CASE("a server that left is removed after a while")
{
    ServerRegistry registry;
    registry.merge(record(1, 1), TimePoint());
    CHECK(registry.noteDeparture(ServerId("s"), TimePoint(1s)));
    CHECK(registry.present().empty());
    registry.forget(60s, TimePoint(30s));
    CHECK(registry.all().size() == 1);
    registry.forget(60s, TimePoint(62s));
    CHECK(registry.all().empty());
}

TEST_CASE("a primary that control confirmed overrides earlier announcements")
{
    ServerRegistry leader;
    leader.merge(record(1, 5), TimePoint());
    leader.confirmPrimary(ServiceName(), ServerId("s"), 4);
    CHECK(leader.find(ServerId("s"))->announcement.isPrimary);

    ServerRegistry other;
    other.merge(record(1, 8),
                TimePoint()); // reaches the other registry before the confirmation does
    CHECK(other.merge(*leader.find(ServerId("s")), TimePoint()));
    CHECK(other.find(ServerId("s"))->announcement.isPrimary);
    CHECK(other.find(ServerId("s"))->announcement.sequence == 8);

    other.merge(record(1, 9), TimePoint()); // a later announcement that it is no longer the primary
    CHECK_FALSE(other.find(ServerId("s"))->announcement.isPrimary);
    CHECK_FALSE(other.merge(*leader.find(ServerId("s")), TimePoint()));
}

TEST_CASE("leavingSince is the earliest time known to any process, until the server restarts")
{
    const auto leaving = [](std::uint64_t lifetime, std::uint64_t sequence,
                            std::optional<TimePoint> since = std::nullopt) {
        ServerRecord result = record(lifetime, sequence);
        result.announcement.isLeaving = true;
        result.leavingSince = since;
        return result;
    };
    struct Row
    {
        const char *what;
        ServerRecord known; // merged at 10 s
        ServerRecord comes; // merged at 12 s
        std::optional<TimePoint> since;
    };
    const Row rows[] = {
            {"first announcement that it leaves", record(1, 1), leaving(1, 2), TimePoint(12s)},
            {"repeated announcement", leaving(1, 1), leaving(1, 2), TimePoint(10s)},
            {"another process learned it earlier", leaving(1, 1), leaving(1, 1, TimePoint(9s)),
             TimePoint(9s)},
            {"the same, with an older announcement", leaving(1, 3), leaving(1, 2, TimePoint(8s)),
             TimePoint(8s)},
            {"another process learned it later", leaving(1, 1), leaving(1, 1, TimePoint(11s)),
             TimePoint(10s)},
            {"no longer leaving", leaving(1, 1), record(1, 2), std::nullopt},
            {"restarted", leaving(1, 9), record(2, 1), std::nullopt},
            {"leaving again after a restart", leaving(1, 9), leaving(2, 1), TimePoint(12s)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ServerRegistry registry;
        registry.merge(row.known, TimePoint(10s));
        registry.merge(row.comes, TimePoint(12s));
        CHECK(registry.find(ServerId("s"))->leavingSince == row.since);
    }
}

TEST_CASE("a server is past its leave time when that time has elapsed, not before")
{
    ServerRecord leaving = record(1, 1);
    CHECK_FALSE(leaving.isPastLeaveTime(6s, TimePoint(100s)));
    leaving.leavingSince = TimePoint(10s);
    CHECK_FALSE(leaving.isPastLeaveTime(6s, TimePoint(15'999ms)));
    CHECK(leaving.isPastLeaveTime(6s, TimePoint(16s)));
    CHECK_FALSE(leaving.isPastLeaveTime(Duration::max(), TimePoint(1h)));
}

// Guards against a follower that is told changes only and misses one.
TEST_CASE("the changes since a version are those of each kind, once each")
{
    const auto named = [](const char *server, std::uint64_t sequence) {
        ServerRecord result = record(1, sequence);
        result.announcement.server = ServerId(server);
        result.announcement.service = ServiceName(server);
        return result;
    };
    ServerRegistry registry;
    for (const char *server : {"a", "b", "c", "d"})
        registry.merge(named(server, 1), TimePoint());
    const std::uint64_t before = registry.version();
    CHECK(registry.changedSince(0, 10).records.size() == registry.size());
    CHECK(registry.changedSince(before, 10).records.empty());

    registry.merge(named("a", 2), TimePoint()); // the sequence alone is no change
    ServerRecord leaving = named("b", 2);
    leaving.announcement.isLeaving = true;
    registry.merge(leaving, TimePoint());
    registry.noteDeparture(ServerId("c"), TimePoint());
    registry.confirmPrimary(ServiceName("d"), ServerId("d"), 1);
    registry.merge(named("e", 1), TimePoint());
    for (const std::size_t most : {1U, 3U, 10U}) { // in one answer
        CAPTURE(most);
        std::vector<ServerId> changed;
        std::uint64_t known = before;
        while (known != registry.version()) {
            const ServerRegistry::Changes next = registry.changedSince(known, most);
            REQUIRE(next.records.size() <= most);
            REQUIRE(next.version > known);
            known = next.version;
            for (const ServerRecord &one : next.records)
                changed.push_back(one.announcement.server);
        }
        std::sort(changed.begin(), changed.end());
        CHECK(changed
              == std::vector<ServerId> {ServerId("b"), ServerId("c"), ServerId("d"), ServerId("e")});
    }
    registry.forget(std::chrono::milliseconds(1), TimePoint(std::chrono::hours(1)));
    CHECK(registry.changedSince(before, 10).records.size() == 3); // "c" is forgotten
    CHECK(registry.recordsAfter(ServerId("b"), 2).front().announcement.server == ServerId("d"));
    CHECK(registry.recordsAfter(ServerId("e"), 2).empty());
}

// Guards against a departure that was held up until its server had started again, and hid it for good.
TEST_CASE("words about a server say the same in any order, on any way")
{
    struct Row
    {
        const char *name;
        std::vector<ServerRecord> words; // the last one is a departure where `departs`
        bool departs;
        bool isPresent;
        std::uint64_t sequence;
    };
    const Row rows[] = {
            {"ready, departure", {record(1, 5)}, true, false, 5},
            {"leaving, departure", {record(1, 5), leaving(1, 6)}, true, false, 6},
            {"started again, then the departure of the first run",
             {record(1, 5), record(2, 1)},
             true,
             false,
             1},
            {"the same, and ready again", {record(1, 5), record(2, 1), record(2, 2)}, false, true, 2},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ServerRegistry registry;
        for (const ServerRecord &word : row.words)
            registry.merge(word, TimePoint());
        if (row.departs)
            registry.noteDeparture(ServerId("s"), TimePoint());
        REQUIRE(registry.find(ServerId("s")) != nullptr);
        CHECK(registry.find(ServerId("s"))->isGone == !row.isPresent);
        CHECK(registry.find(ServerId("s"))->announcement.sequence == row.sequence);
    }
    // Each record that a control VM may pass on, merged in every order at another one.
    const std::vector<ServerRecord> passedOn = {record(1, 5),           record(2, 1),
                                                departed(record(2, 1)), record(2, 2),
                                                leaving(2, 7),          leaving(2, 8),
                                                departed(record(1, 5))};
    std::vector<std::size_t> order = {0, 1, 2, 3, 4, 5, 6};
    do {
        ServerRegistry registry;
        for (const std::size_t at : order)
            registry.merge(passedOn[at], TimePoint());
        const ServerRecord &result = *registry.find(ServerId("s"));
        REQUIRE_FALSE(result.isGone); // it was ready after the departure, and leaves now
        REQUIRE(result.announcement.sequence == 8);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a server that departed and is only heard to leave stays gone, in any order")
{
    const std::vector<ServerRecord> passedOn = {record(1, 5), departed(record(1, 5)), leaving(1, 6),
                                                leaving(1, 7)};
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        ServerRegistry registry;
        for (const std::size_t at : order)
            registry.merge(passedOn[at], TimePoint());
        REQUIRE(registry.find(ServerId("s"))->isGone);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against three reports of another writer that hid all servers of a service (review/9).
TEST_CASE("a word about a service that isn't named hides no server, whichever comes first")
{
    struct Row
    {
        const char *name;
        std::vector<ServerRecord> words;
        bool isNamedFirst; // before the words come
    };
    const Row rows[] = {
            {"the foreign one comes last", {record(1, 5), foreign()}, true},
            {"the foreign one comes first", {foreign(), record(1, 5)}, true},
            {"it comes last, before a configuration", {record(1, 5), foreign()}, false},
            {"it comes first, before a configuration", {foreign(), record(1, 5)}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ServerRegistry registry;
        if (row.isNamedFirst)
            registry.addServices({ServiceName()}, TimePoint());
        for (const ServerRecord &word : row.words)
            registry.merge(word, TimePoint());
        registry.addServices({ServiceName()}, TimePoint());
        REQUIRE(registry.present().size() == 1);
        CHECK(registry.present().front().announcement == record(1, 5).announcement);
        CHECK(registry.all().size() == 1);
        registry.merge(record(1, 6), TimePoint());
        CHECK(registry.find(ServerId("s"))->announcement.sequence == 6);
    }
}

TEST_CASE("a server of a service that is named later is known at once")
{
    ServerRegistry registry;
    registry.addServices({ServiceName()}, TimePoint());
    registry.merge(foreign(), TimePoint());
    CHECK(registry.find(ServerId("s")) == nullptr);
    const std::uint64_t before = registry.version();
    registry.addServices({ServiceName("elsewhere")}, TimePoint());
    CHECK(registry.find(ServerId("s"))->announcement == foreign().announcement);
    CHECK(registry.version() > before);
    registry.addServices({ServiceName()}, TimePoint());
    CHECK(registry.present().size() == 1); // transactions may be open there
}

TEST_CASE("a present server keeps its id, and a gone one's may be used by another service")
{
    ServerRegistry registry;
    registry.merge(record(1, 5), TimePoint());
    CHECK_FALSE(registry.counts(foreign().announcement));
    CHECK_FALSE(registry.merge(foreign(), TimePoint()));
    registry.noteDeparture(ServerId("s"), TimePoint());
    CHECK(registry.merge(foreign(), TimePoint()));
    CHECK(registry.find(ServerId("s"))->announcement.service == ServiceName("elsewhere"));
}

TEST_CASE("what other writers announce is kept within bounds, and is forgotten")
{
    const auto announce = [](ServerRegistry &registry, const std::string &id, const char *service,
                             TimePoint now) {
        ServerRecord word = record(1, 1);
        word.announcement.server = ServerId(id);
        word.announcement.service = ServiceName(service);
        registry.merge(word, now);
    };
    ServerRegistry registry;
    registry.addServices({ServiceName()}, TimePoint());
    for (std::size_t number = 0; number < 2 * ServerRegistry::MostSetAside; ++number)
        announce(registry, "f" + std::to_string(number), "elsewhere", TimePoint());
    ServerRegistry early = registry;
    early.addServices({ServiceName("elsewhere")}, TimePoint(9s));
    CHECK(early.size() == ServerRegistry::MostSetAside);
    announce(registry, "late", "elsewhere", TimePoint(11s));
    registry.addServices({ServiceName("elsewhere")}, TimePoint(11s));
    CHECK(registry.size() == 1); // those of 11 s before are forgotten
    CHECK(registry.find(ServerId("late")) != nullptr);

    ServerRegistry full;
    for (std::size_t number = 0; number < ServerRegistry::MostServers + 10; ++number)
        announce(full, "i" + std::to_string(number), "db", TimePoint());
    CHECK(full.size() == ServerRegistry::MostServers);
}
