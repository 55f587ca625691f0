#include "nutmegtide/statement/readrouter.h"

#include <doctest/doctest.h>
#include <map>

using namespace nutmegtide;

namespace {

const ServerId Primary("p");
const ServerId Near("near");
const ServerId Far("far");
const FailureDomain Home("fd1");
const TimePoint Now = TimePoint(10s);
constexpr Duration Wait = 20ms;

GroupSnapshot group()
{
    GroupSnapshot snapshot;
    snapshot.term = 2;
    snapshot.primary = Primary;
    snapshot.isLeadershipConfirmed = true;
    snapshot.servers = {
            {Primary, FailureDomain("fd3"), ServerRole::Primary, {2, 10}, 0ms, 0, 3},
            {Near, Home, ServerRole::Replica, {2, 10}, 100ms, 0, 3},
            {Far, FailureDomain("fd2"), ServerRole::Replica, {2, 10}, 100ms, 0, 3},
    };
    return snapshot;
}

ReadNeed agedRead()
{
    ReadNeed need;
    need.maxAge = 1s;
    need.failureDomain = Home;
    need.deadline = Now + 1s;
    return need;
}

std::string describe(const ReadDecision &decision)
{
    if (const auto *serve = std::get_if<ServeBy>(&decision))
        return "serve " + serve->server.text();
    if (const auto *wait = std::get_if<WaitFor>(&decision))
        return "wait " + wait->server.text() + (wait->primary ? " then primary" : "");
    if (const auto *primary = std::get_if<UsePrimary>(&decision))
        return primary->settlesUnknownWrite ? "settle, primary" : "primary";
    return "refuse " + std::string(toString(std::get<RefuseRead>(decision).failure));
}

ReadDecision decide(const GroupSnapshot &snapshot, const ReadNeed &need)
{
    std::mt19937_64 generator(1);
    return ReadRouter(std::make_unique<BoundedWait>(Wait), 50ms)
            .decide(snapshot, need, Now, generator);
}

} // namespace

TEST_CASE("a read goes where its session, its age and the servers' state allow")
{
    struct Row
    {
        std::string name;
        void (*change)(GroupSnapshot &, ReadNeed &);
        const char *expected;
    };
    const Row rows[] = {
            {"nearest replica", [](GroupSnapshot &, ReadNeed &) {}, "serve near"},
            {"no age", [](GroupSnapshot &, ReadNeed &n) { n.maxAge.reset(); }, "primary"},
            {"no age, unconfirmed primary",
             [](GroupSnapshot &g, ReadNeed &n) {
                 n.maxAge.reset();
                 g.isLeadershipConfirmed = false;
             },
             "refuse no_primary"},
            {"unconfirmed primary doesn't stop an aged read",
             [](GroupSnapshot &g, ReadNeed &) { g.isLeadershipConfirmed = false; }, "serve near"},
            {"unknown write", [](GroupSnapshot &, ReadNeed &n) { n.hasUnknownWrite = true; },
             "settle, primary"},
            {"near too old", [](GroupSnapshot &g, ReadNeed &) { g.servers[1].provedAge = 1001ms; },
             "serve far"},
            {"near of unproved age",
             [](GroupSnapshot &g, ReadNeed &) { g.servers[1].provedAge.reset(); }, "serve far"},
            {"near leaving",
             [](GroupSnapshot &g, ReadNeed &) { g.servers[1].state = ServerState::Leaving; },
             "serve far"},
            {"near joining",
             [](GroupSnapshot &g, ReadNeed &) { g.servers[1].state = ServerState::Joining; },
             "serve far"},
            {"near suspect", [](GroupSnapshot &g, ReadNeed &) { g.servers[1].isSuspect = true; },
             "serve far"},
            {"near full", [](GroupSnapshot &g, ReadNeed &) { g.servers[1].inFlight = 3; },
             "serve far"},
            {"token satisfied",
             [](GroupSnapshot &, ReadNeed &n) {
                 n.token = {2, 10};
             },
             "serve near"},
            {"near behind the token",
             [](GroupSnapshot &g, ReadNeed &n) {
                 n.token = {2, 10};
                 g.servers[1].applied = {2, 9};
             },
             "serve far"},
            {"near of an older term, further on",
             [](GroupSnapshot &g, ReadNeed &n) {
                 n.token = {2, 10};
                 g.servers[1].applied = {1, 99};
             },
             "serve far"},
            {"near of a newer term",
             [](GroupSnapshot &, ReadNeed &n) {
                 n.token = {1, 99};
             },
             "serve near"},
            {"token ahead of all replicas",
             [](GroupSnapshot &g, ReadNeed &n) {
                 n.token = {2, 12};
                 g.servers[2].applied = {2, 11};
             },
             "wait far then primary"},
            {"token of a term that the known primary has lost",
             [](GroupSnapshot &, ReadNeed &n) {
                 n.token = {3, 1};
             },
             "wait near"},
            {"the same without an age",
             [](GroupSnapshot &, ReadNeed &n) {
                 n.token = {3, 1};
                 n.maxAge.reset();
             },
             "refuse no_primary"},
            {"no replica and no primary",
             [](GroupSnapshot &g, ReadNeed &) {
                 g.servers.resize(1);
                 g.primary.reset();
             },
             "refuse no_aged_replica"},
            {"primary suspect",
             [](GroupSnapshot &g, ReadNeed &n) {
                 n.maxAge.reset();
                 g.servers[0].isSuspect = true;
             },
             "refuse no_primary"},
            {"deadline passed", [](GroupSnapshot &, ReadNeed &n) { n.deadline = Now; },
             "refuse deadline_passed"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        GroupSnapshot snapshot = group();
        ReadNeed need = agedRead();
        row.change(snapshot, need);
        CHECK(describe(decide(snapshot, need)) == row.expected);
    }
}

TEST_CASE("a wait takes at most a quarter of the time left and none without a wait policy")
{
    GroupSnapshot snapshot = group();
    ReadNeed need = agedRead();
    need.token = {2, 12};
    CHECK(std::get<WaitFor>(decide(snapshot, need)).upTo == Wait);
    need.deadline = Now + 40ms;
    CHECK(std::get<WaitFor>(decide(snapshot, need)).upTo == Duration(10ms));
    std::mt19937_64 generator(1);
    const ReadRouter router(std::make_unique<NoWait>(), 50ms);
    CHECK(describe(router.decide(snapshot, need, Now, generator)) == "primary");
}

TEST_CASE("the less loaded of two replicas is taken, and equal ones share the reads")
{
    GroupSnapshot snapshot = group();
    snapshot.servers[2].failureDomain = Home;
    ReadNeed need = agedRead();
    std::mt19937_64 generator(3);
    const ReadRouter router(std::make_unique<NoWait>(), 50ms);
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i)
        ++counts[describe(router.decide(snapshot, need, Now, generator))];
    CHECK(counts["serve near"] > 400);
    CHECK(counts["serve far"] > 400);
    snapshot.servers[1].inFlight = 1;
    for (int i = 0; i < 100; ++i)
        CHECK(describe(router.decide(snapshot, need, Now, generator)) == "serve far");
}
