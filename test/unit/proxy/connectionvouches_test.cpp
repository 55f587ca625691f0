#include "nutmegtide/proxy/connectionvouches.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServerId Server("i-1");
const ServiceName Service("db");
const ServiceName Other("other");
const TimePoint Opened {100s};
constexpr ConnectionVouches::Key Key = 7;

ConnectionVouches vouches()
{
    ConnectionVouches vouches;
    vouches.setTold(true);
    vouches.setServices({Service});
    vouches.opened(Key, {Server, Service}, Opened);
    return vouches;
}

} // namespace

// Guards against a confirmation by a server that started again after a change had held it.
TEST_CASE("a connection counts once no change relied on holds while it was open")
{
    struct Row
    {
        const char *name;
        std::set<ServiceName> changing;
        Duration asOf; // since the opening
        Duration sentAt; // since the opening; the changes are learnt after 10 ms
        bool counts;
    };
    const Row rows[] = {
            {"no change", {}, 1ms, 11ms, true},
            {"a change of another service", {Other}, 1ms, 11ms, true},
            {"a change of the service", {Service}, 1ms, 11ms, false},
            {"told as of a moment before the opening", {}, -1ms, 11ms, false},
            {"the command was sent before they were learnt", {}, 1ms, 9ms, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ConnectionVouches subject = vouches();
        subject.learn({row.changing, Opened + row.asOf}, Opened + 10ms);
        CHECK(subject.takeReply(Key, Opened + row.sentAt, Opened + 12ms) == row.counts);
    }
}

TEST_CASE("a connection that was vouched for stays so during later changes")
{
    ConnectionVouches subject = vouches();
    CHECK_FALSE(subject.isAwaited(Opened + 9ms));
    CHECK(subject.isAwaited(Opened + 10ms));
    subject.learn({{}, Opened}, Opened + 1ms);
    CHECK_FALSE(subject.isAwaited(Opened + 1s));
    subject.learn({{Service}, Opened + 1s}, Opened + 1s);
    CHECK(subject.takeReply(Key, Opened + 2s, Opened + 2s));
    subject.closed(Key);
    CHECK_FALSE(subject.takeReply(Key, Opened + 2s, Opened + 2s));
}

TEST_CASE("every connection counts while control doesn't tell the changes")
{
    ConnectionVouches subject = vouches();
    subject.setTold(false);
    CHECK(subject.takeReply(Key, Opened, Opened));
    CHECK_FALSE(subject.isAwaited(Opened + 1s));
}

TEST_CASE("only connections of services whose commits are confirmed are awaited")
{
    ConnectionVouches subject = vouches();
    subject.setServices({Other});
    CHECK_FALSE(subject.isAwaited(Opened + 1s));
}

TEST_CASE("a reply on a connection that is vouched for vouches for later ones to the same server")
{
    struct Row
    {
        const char *name;
        ServerId server;
        Duration openedAt; // since the first connection was opened
        bool counts;
    };
    constexpr Duration SentAt = 1s; // of the command on the first connection
    const Row rows[] = {
            {"opened before the command was sent", Server, 1s, true},
            {"opened after it was sent", Server, 1001ms, false},
            {"to another server", ServerId("i-2"), 500ms, false},
            {"opened before the first connection", Server, -1ms, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ConnectionVouches subject = vouches();
        subject.learn({{}, Opened}, Opened + 1ms);
        subject.opened(Key + 1, {row.server, Service}, Opened + row.openedAt);
        CHECK(subject.isAwaited(Opened + 2s) == (row.server != Server));
        CHECK_FALSE(subject.takeReply(Key + 1, Opened + 2s, Opened + 2s));
        CHECK(subject.takeReply(Key, Opened + SentAt, Opened + 2s));
        CHECK(subject.takeReply(Key + 1, Opened + 2s, Opened + 2s) == row.counts);
    }
}
