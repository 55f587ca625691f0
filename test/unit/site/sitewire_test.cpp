#include "site/sitewire.h"

#include <doctest/doctest.h>

#include <limits>

using namespace nutmegtide;

TEST_CASE("a proof's age is never rounded down")
{
    struct Row
    {
        Duration age;
        std::chrono::microseconds encoded;
    };
    const Row rows[] = {{1500ns, 2us}, {2us, 2us}, {0ns, 0us}};
    for (const Row &row : rows) {
        CAPTURE(row.age.count());
        const auto wire = toWire({{ServiceName("db"), {3, 7}, row.age}});
        REQUIRE(wire.size() == 1);
        CHECK(wire.front().ageMicroseconds == row.encoded.count());
        const auto back = fromWire(wire);
        CHECK(back.front().position == LogPosition {3, 7});
        CHECK(back.front().age >= row.age);
    }
}

TEST_CASE("a negative age, which no process sends, is read as zero")
{
    wire::AgedProof encoded;
    encoded.ageMicroseconds = -5;
    CHECK(fromWire(std::vector<wire::AgedProof> {encoded}).front().age == Duration::zero());
}

TEST_CASE("open changes keep their services, and never look younger than they are")
{
    const TimePoint now(100s);
    const OpenChanges told {{ServiceName("db")}, now - 1500ns};
    const wire::OpenChanges encoded = toWire(told, now);
    CHECK(encoded.ageMicroseconds == 2);
    const OpenChanges back = fromWire(encoded, now);
    CHECK(back.services == told.services);
    CHECK(back.asOf <= told.asOf);
    wire::OpenChanges ahead;
    ahead.ageMicroseconds = -5; // no process sends it
    CHECK(fromWire(ahead, now).asOf == now);
}

TEST_CASE("a departure is passed on with the announcement after which it was noted")
{
    ServerRecord record;
    record.announcement.sequence = 7;
    record.announcement.isLeaving = true;
    record.announcement.address = {"10.0.0.1", 80};
    record.readySequence = 5;
    record = departed(record);
    const ServerRecord back = fromWire(toWire(record, TimePoint(1s)), TimePoint(1s));
    CHECK(back.isGone);
    CHECK(back.readySequence == 5);
    CHECK(back.departedAfter == 7);
}

TEST_CASE("invalid fields in a peer's message are refused on reading")
{
    wire::HomeVm candidate;
    candidate.vm = "entry-1";
    candidate.lanes = "nowhere";
    CHECK_THROWS_AS(fromWire(std::vector<wire::HomeVm> {candidate}), EndpointError);
    wire::ServerHome home;
    home.lanes = "10.0.0.1:port";
    CHECK_THROWS_AS(fromWire(std::vector<wire::ServerHome> {home}), EndpointError);
    wire::AgedProof proof;
    proof.position.index = -1;
    CHECK_THROWS_AS(fromWire(std::vector<wire::AgedProof> {proof}), MessageError);
}

// Guards against a record that an older version passed on: it took ids of any bytes.
TEST_CASE("a record of a server that can't be read is left out, and the others of its message hold")
{
    ServerRecord good;
    good.announcement.server = ServerId("i-1");
    good.announcement.service = ServiceName("db");
    good.announcement.address = {"10.0.0.1", 80};
    const wire::ServerRecord readable = toWire(good, TimePoint(1s));
    struct Row
    {
        std::string wire::ServerRecord::*field;
        const char *value;
    };
    const Row rows[] = {{&wire::ServerRecord::server, "i-\xff"},
                        {&wire::ServerRecord::server, ""},
                        {&wire::ServerRecord::server, "i-2\r\nBYE"},
                        {&wire::ServerRecord::serviceName, "d b"},
                        {&wire::ServerRecord::failureDomain, "\xfe"},
                        {&wire::ServerRecord::address, "nowhere"}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.value));
        wire::ServerRecord unreadable = readable;
        unreadable.*row.field = row.value;
        const ReceivedServers received = fromWire({unreadable, readable}, TimePoint(1s));
        CHECK(received.refusals.size() == 1);
        REQUIRE(received.records.size() == 1);
        CHECK(received.records.front().announcement.server == ServerId("i-1"));
    }
}

TEST_CASE("the time since a server is leaving is sent as an age, independent of both VMs' clocks")
{
    struct Row
    {
        std::optional<TimePoint> since; // at the sender, whose clock shows 100 s
        std::optional<TimePoint> read; // at the receiver, whose clock shows 7 s
    };
    const Row rows[] = {{std::nullopt, std::nullopt},
                        {TimePoint(98s), TimePoint(5s)},
                        {TimePoint(100s), TimePoint(7s)},
                        {TimePoint(101s), TimePoint(7s)}};
    for (const Row &row : rows) {
        ServerRecord record;
        record.announcement.server = ServerId("s");
        record.announcement.address = {"10.0.0.1", 80};
        record.leavingSince = row.since;
        CHECK(fromWire(toWire(record, TimePoint(100s)), TimePoint(7s)).leavingSince == row.read);
    }
}

TEST_CASE("an implausibly long leaving time from a peer is bounded")
{
    ServerRecord record;
    record.announcement.address = {"10.0.0.1", 80};
    wire::ServerRecord encoded = toWire(record, TimePoint(1s));
    encoded.__set_leavingMilliseconds(std::numeric_limits<std::int64_t>::max());
    CHECK(fromWire(encoded, TimePoint(1s)).leavingSince == TimePoint(1s) - 24h);
}

TEST_CASE("recorded servers are told when they differ, and an empty list is told too")
{
    struct Row
    {
        std::set<ServerId> known;
        std::optional<std::set<ServerId>> before; // as the asking VM was told last
        bool isTold;
    };
    const std::set<ServerId> two {ServerId("i-1"), ServerId("i-2")};
    const Row rows[] = {{two, std::nullopt, true},
                        {two, two, false},
                        {two, std::set<ServerId> {ServerId("i-1")}, true},
                        {{}, std::nullopt, true},
                        {{}, two, true}};
    for (const Row &row : rows) {
        CAPTURE(row.known.size());
        wire::FollowRequest request;
        if (row.before)
            request.__set_recordedVersion(recordedServers(*row.before).version);
        wire::FollowReply reply;
        putRecordedServers(recordedServers(row.known), request, reply);
        CHECK(bool(reply.__isset.recordedVersion)); // older control VMs never set it
        const auto told = recordedServersOf(reply);
        REQUIRE(told.has_value() == row.isTold);
        if (!told)
            continue;
        CHECK(told->servers == row.known);
        CHECK(told->version == recordedServers(row.known).version);
    }
}

// Guards against taking an older control VM's silence for an empty list, by which no commit is answered.
TEST_CASE("a reply of an older version tells no recorded servers")
{
    CHECK_FALSE(recordedServersOf(wire::FollowReply()));
}
