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
