#include "nutmegtide/proxy/serverpool.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");

// Returns a pool with a primary in the proxy's own domain "a" and replicas in "b" and "c".
ServerPool threeServers(TimePoint now)
{
    ServerPool pool(FailureDomain("a"));
    std::vector<ServerRecord> records;
    for (const char *name : {"a", "b", "c"}) {
        ServerRecord record;
        record.announcement.server = ServerId(name);
        record.announcement.service = Service;
        record.announcement.failureDomain = FailureDomain(name);
        record.announcement.slots = 3;
        record.announcement.isPrimary = record.announcement.server == ServerId("a");
        records.push_back(record);
    }
    pool.setServers(records, now);
    return pool;
}

void answer(ServerPool &pool, const char *server, Duration time, TimePoint now)
{
    for (int i = 0; i < 40; ++i) {
        pool.noteAlive(ServerId(server), now);
        pool.noteAnswer(ServerId(server), time);
    }
}

} // namespace

TEST_CASE("a slow server gets fewer reads, and is tried again after a while")
{
    const TimePoint start(100s);
    ServerPool pool = threeServers(start);
    answer(pool, "b", 400ms, start);
    answer(pool, "c", 40ms, start);
    CHECK((pool.chooseReader(Service, {}, {ServerId("a")}, start) == ServerId("c")));
    const TimePoint later = start + 8s;
    answer(pool, "c", 40ms, later);
    CHECK((pool.chooseReader(Service, {}, {ServerId("a")}, later) == ServerId("b")));
}

TEST_CASE("reads avoid the primary unless the replicas are loaded or lag")
{
    const TimePoint now(100s);
    ServerPool pool = threeServers(now);
    for (const char *server : {"a", "b", "c"})
        answer(pool, server, 20ms, now);
    const auto first = pool.chooseReader(Service, {}, {}, now);
    CHECK((first != ServerId("a")));
    pool.find(ServerId("b"))->running = 9;
    pool.find(ServerId("c"))->running = 9;
    CHECK((pool.chooseReader(Service, {}, {}, now) == ServerId("a")));
    pool.find(ServerId("b"))->running = 0;
    const ReadNeed need {{1, 5}, now - 100ms};
    pool.noteMissing(ServerId("b"), need, now);
    CHECK((pool.chooseReader(Service, need, {}, now) == ServerId("a")));
}

// Guards against a list by service that still has servers which moved or were removed.
TEST_CASE("a server is chosen only for the service that it was announced for last")
{
    const TimePoint now(100s);
    ServerPool pool = threeServers(now);
    const ServiceName other("other");
    std::vector<ServerRecord> records;
    for (const auto &[server, state] : pool.servers())
        records.push_back(state.record);
    records[1].announcement.service = other;
    records.pop_back();
    pool.setServers(records, now);
    CHECK((pool.chooseReader(Service, {}, {ServerId("a")}, now) == std::nullopt));
    CHECK((pool.chooseReader(other, {}, {}, now) == ServerId("b")));
    CHECK(pool.serversOf(Service) == std::vector<ServerId> {ServerId("a")});
    CHECK((pool.primary(other, now) == std::nullopt));
}

TEST_CASE("a server that failed, or at whose address another one replies, gets no reads")
{
    const TimePoint now(100s);
    ServerPool pool = threeServers(now);
    pool.noteFailure(ServerId("b"), now);
    pool.noteWrongAddress(ServerId("c"));
    CHECK((pool.chooseReader(Service, {}, {}, now) == ServerId("a")));
    CHECK((pool.chooseReader(Service, {}, {ServerId("a")}, now) == std::nullopt));
    // It gets no reads until a connection shows that it is reachable.
    CHECK(pool.serversToProbe(now + 500ms).empty());
    CHECK((pool.chooseReader(Service, {}, {ServerId("a")}, now + 2s) == std::nullopt));
    CHECK(pool.serversToProbe(now + 2s) == std::vector<ServerId> {ServerId("b")});
    pool.opened(pool.add(ServerId("b"), {}, now + 2s), now + 2s);
    CHECK((pool.chooseReader(Service, {}, {ServerId("a")}, now + 2s) == ServerId("b")));
}

TEST_CASE("of two servers announced as primary, the one announced last is used")
{
    const TimePoint now(100s);
    ServerPool pool = threeServers(now);
    std::vector<ServerRecord> records;
    for (const char *name : {"a", "b"}) {
        ServerRecord record = pool.find(ServerId(name))->record;
        record.announcement.isPrimary = true;
        record.announcement.sequence = 1;
        records.push_back(record);
    }
    pool.setServers(records, now + 1s);
    CHECK((pool.primary(Service, now + 1s) == ServerId("b")));
    pool.noteNotPrimary(ServerId("b"));
    CHECK((pool.primary(Service, now + 1s) == ServerId("a")));
}

TEST_CASE("idle connections to a server with scarce connections are closed sooner")
{
    const TimePoint now(100s);
    ServerPool pool = threeServers(now);
    for (const char *server : {"b", "c"}) {
        const ConnectionKey key = pool.add(ServerId(server), {}, now);
        pool.opened(key, now);
        pool.putIdle(key, now);
    }
    const auto isScarce = [](const ServerId &server) { return server == ServerId("b"); };
    CHECK(pool.takeUnused(now + 50ms, isScarce).empty());
    const std::vector<ConnectionKey> unused = pool.takeUnused(now + 150ms, isScarce);
    REQUIRE(unused.size() == 1);
    CHECK(pool.connection(unused[0])->server == ServerId("b"));
}

TEST_CASE("idle connections are closed, the last one to a server later")
{
    const TimePoint now(100s);
    ServerPool pool = threeServers(now);
    for (int i = 0; i < 3; ++i) {
        const ConnectionKey key = pool.add(ServerId("b"), {}, now);
        pool.opened(key, now);
        pool.putIdle(key, now);
    }
    const auto isNotScarce = [](const ServerId &) { return false; };
    CHECK(pool.takeUnused(now + 100ms, isNotScarce).empty());
    const std::vector<ConnectionKey> unused = pool.takeUnused(now + 600ms, isNotScarce);
    REQUIRE(unused.size() == 2);
    for (const ConnectionKey key : unused)
        pool.remove(key);
    CHECK(pool.takeUnused(now + 4s, isNotScarce).empty());
    CHECK(pool.takeUnused(now + 5100ms, isNotScarce).size() == 1);
}
