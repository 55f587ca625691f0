// Reads of balanced services.
#include "nutmegtide/proxy/serverpool.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");
const TimePoint Start(100s);

// A pool in the failure domain "a", with the primary in "a" and replicas in "b" and "c".
ServerPool balancedPool(const char *own = "a")
{
    ServerPool pool(FailureDomain(own), 2016);
    std::vector<ServerRecord> records;
    for (const char *name : {"a", "b", "c"}) {
        ServerRecord record;
        record.announcement.server = ServerId(name);
        record.announcement.service = Service;
        record.announcement.failureDomain = FailureDomain(name);
        record.announcement.slots = 4;
        record.announcement.isPrimary = record.announcement.server == ServerId("a");
        records.push_back(record);
    }
    pool.setServers(records, Start);
    pool.setBalancedServices({Service});
    return pool;
}

std::map<ServerId, int> readers(ServerPool &pool, const ReadNeed &need, TimePoint now)
{
    std::map<ServerId, int> counts;
    for (int i = 0; i < 3'000; ++i)
        ++counts[*pool.chooseReader(Service, need, {}, now)];
    return counts;
}

void answer(ServerPool &pool, const char *server, Duration time, const ServerReply &reply,
            TimePoint now, int count = 30)
{
    for (int i = 0; i < count; ++i) {
        pool.noteAlive(ServerId(server), now);
        pool.noteBalancedAnswer(ServerId(server), time, reply, now);
    }
}

ServerReply refusal(StatementFault fault)
{
    ServerReply reply;
    reply.fault = fault;
    return reply;
}

} // namespace

// Guards against all entry proxies of a failure domain without servers taking the same replica.
TEST_CASE("replicas that are equally far get equal parts of the reads")
{
    ServerPool pool = balancedPool("d");
    const auto counts = readers(pool, {}, Start);
    CHECK(std::abs(counts.at(ServerId("b")) - counts.at(ServerId("c"))) < 200);
    CHECK(counts.at(ServerId("b")) > 1'000);
}

// Guards against a server that refuses quickly and looks fast by that.
TEST_CASE("a busy server gets fewer reads, not more")
{
    ServerPool pool = balancedPool("d");
    ServerReply done;
    answer(pool, "b", 30ms, done, Start);
    answer(pool, "c", 30ms, done, Start);
    answer(pool, "b", 2ms, refusal(StatementFault::Busy), Start);
    const auto counts = readers(pool, {}, Start);
    CHECK(counts.at(ServerId("b")) * 2 < counts.at(ServerId("c")));
}

// The news of a queue is old, so none of the reads may leave a server altogether.
TEST_CASE("a reported wait moves reads to others, and wears off")
{
    ServerPool pool = balancedPool("d");
    ServerReply waiting;
    waiting.wait = 60ms;
    answer(pool, "b", 30ms, waiting, Start);
    answer(pool, "c", 30ms, {}, Start);
    const auto counts = readers(pool, {}, Start);
    CHECK(counts.at(ServerId("b")) > 0);
    CHECK(counts.at(ServerId("b")) * 4 < counts.at(ServerId("c")));
    const auto later = readers(pool, {}, Start + 5s);
    CHECK(std::abs(later.at(ServerId("b")) - later.at(ServerId("c"))) < 300);
}

// Guards against a server that fails part of its statements while its status is good.
TEST_CASE("a server that fails statements gets fewer reads, and more again later")
{
    ServerPool pool = balancedPool("d");
    answer(pool, "b", 30ms, {}, Start);
    answer(pool, "c", 30ms, {}, Start);
    answer(pool, "b", 30ms, refusal(StatementFault::Failed), Start, 4);
    CHECK(readers(pool, {}, Start).at(ServerId("b")) < 900);
    CHECK(readers(pool, {}, Start + 15s).at(ServerId("b")) > 1'100);
}

// Guards against a round trip that each process makes in vain every few seconds for each replica,
// where replicas always lag.
TEST_CASE("the usual lag is learned from all replicas, and young positions are read at the primary")
{
    ServerPool pool = balancedPool("d");
    const ReadNeed young {{1, 9}, Start - 80ms};
    CHECK(readers(pool, young, Start).at(ServerId("c")) > 0);
    for (int i = 0; i < 12; ++i)
        pool.noteMissing(ServerId("b"), young, Start);
    CHECK(readers(pool, young, Start).count(ServerId("c")) == 0);
    const TimePoint later = Start + 6s;
    const ReadNeed stillYoung {{1, 99}, later - 80ms};
    CHECK(readers(pool, stillYoung, later).count(ServerId("b")) == 0);
    const ReadNeed older {{1, 90}, later - 400ms};
    CHECK(readers(pool, older, later).at(ServerId("b")) > 0);
}

// Guards against reads that go to a replica in vain, time and again, while the primary has no room.
TEST_CASE("a replica that has just lacked a position isn't asked for one of that age")
{
    ServerPool pool = balancedPool("d");
    const ReadNeed need {{1, 9}, Start - 2s};
    pool.noteMissing(ServerId("b"), need, Start);
    pool.noteMissing(ServerId("c"), need, Start);
    const std::set<ServerId> primary {ServerId("a")};
    CHECK_FALSE(pool.chooseReader(Service, need, primary, Start + 100ms));
    // Of an older position nothing is known, and after a while it is tried again.
    const ReadNeed older {{1, 5}, Start - 10s};
    CHECK(pool.chooseReader(Service, older, primary, Start + 100ms));
    CHECK(pool.chooseReader(Service, need, primary, Start + 600ms));
}

// Guards against a server that stays slow in the estimate for as long as it answers proofs and
// confirmations, since hardly any read is left to show that it is fast again.
TEST_CASE("a server that was slow gets reads again, also if it answers other requests meanwhile")
{
    ServerPool pool = balancedPool("d");
    answer(pool, "b", 150ms, {}, Start);
    answer(pool, "c", 30ms, {}, Start);
    CHECK(readers(pool, {}, Start).at(ServerId("b")) < 300);
    TimePoint now = Start;
    while (now < Start + 25s) {
        now += 200ms;
        pool.noteAlive(ServerId("b"), now);
        answer(pool, "c", 30ms, {}, now, 1);
    }
    CHECK(readers(pool, {}, now).at(ServerId("b")) > 1'100);
}

// Guards against a home whose figures are wrong: a huge one would empty its server, and a
// negative one would send all reads there.
TEST_CASE("a reported wait that is impossible is ignored")
{
    for (const Duration wait : {Duration(-1s), Duration(30min)}) {
        ServerPool pool = balancedPool("d");
        ServerReply reply;
        answer(pool, "c", 30ms, reply, Start);
        answer(pool, "b", 30ms, reply, Start);
        reply.wait = wait;
        CHECK_FALSE(pool.noteBalancedAnswer(ServerId("b"), 30ms, reply, Start));
        const auto counts = readers(pool, {}, Start);
        CHECK(std::abs(counts.at(ServerId("b")) - counts.at(ServerId("c"))) < 200);
    }
}

// A distant server's share is small by its price; only a slow or failing one is news.
TEST_CASE("a slow server's low share is told, a distant one's isn't")
{
    ServerPool pool = balancedPool("b");
    for (const char *server : {"a", "b", "c"})
        answer(pool, server, 30ms, {}, Start);
    readers(pool, {}, Start);
    CHECK(pool.takeShareChanges().empty());
    CHECK(pool.readCounts().ownDomain > 2'500);
    CHECK(pool.readCounts().ownDomain + pool.readCounts().otherDomain + pool.readCounts().primary
          == 3'000);
    answer(pool, "c", 200ms, {}, Start);
    readers(pool, {}, Start);
    const std::vector<ShareChange> changes = pool.takeShareChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].server == ServerId("c"));
    CHECK(changes[0].isLow);
}
