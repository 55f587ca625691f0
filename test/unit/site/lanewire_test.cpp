#include "site/lanewire.h"

#include <doctest/doctest.h>
#include <random>

using namespace nutmegtide;

namespace {

using Way = FrameWriter::Way;

wire::LaneFrame sampleFrame()
{
    ServerCommand command;
    command.kind = ServerCommandKind::Execute;
    command.request = RequestId("q1");
    command.after = LogPosition {3, 1207};
    command.name = "r_q2c";
    command.argument = "1a4";
    wire::LaneRequest request;
    request.lane = 7;
    request.server = "i-1";
    request.commands.push_back(toWire(command));
    ServerReply reply;
    reply.rows = {"row"};
    reply.fault = StatementFault::Lagging;
    reply.state = TransactionState::Failed;
    reply.position = LogPosition {3, 1208};
    reply.ran = 18ms;
    wire::LaneFrame frame;
    frame.requests.push_back(request);
    frame.replies.push_back(toWire(7, reply));
    return frame;
}

// Returns an answer of about 1 kB as callers read it: lower-case letters without repetitions.
wire::LaneFrame largeFrame()
{
    constexpr int RowSize = 1000; // bytes
    std::mt19937 random(2016);
    ServerReply reply;
    reply.rows.emplace_back();
    for (int i = 0; i < RowSize; ++i)
        reply.rows.back().push_back(static_cast<char>('a' + random() % 26));
    reply.detail = "7.1f3.c.2b.90e1c4d2a7b3f655";
    reply.position = LogPosition {3, 1208};
    wire::LaneFrame frame;
    frame.replies.push_back(toWire(7, reply));
    return frame;
}

} // namespace

TEST_CASE("a large answer is compressed between failure domains only, and decoded unchanged")
{
    FrameWriter writer;
    FrameExpander expander;
    const std::string plain = writer.write(largeFrame(), Way::StaysInDomain);
    const std::string compressed = writer.write(largeFrame(), Way::LeavesDomain);
    CHECK(compressed.size() * 10 < plain.size() * 7);
    for (const std::string &bytes : {plain, compressed}) {
        FrameBuffer buffer;
        buffer.append(bytes);
        const auto frame = buffer.next(expander);
        REQUIRE(frame);
        CHECK(*frame == largeFrame());
    }
}

TEST_CASE("a compressed body is refused where it is damaged or expands beyond the limit")
{
    FrameCompressor compressor;
    FrameExpander expander;
    const std::string body(100'000, 'x');
    const std::string compressed = compressor.compress(body);
    CHECK(expander.expand(compressed, body.size()) == body);
    struct Row
    {
        const char *what;
        std::string compressed;
        std::size_t longest;
    };
    const Row rows[] = {
            {"longer than allowed", compressed, body.size() - 1},
            {"cut off", compressed.substr(0, compressed.size() / 2), body.size()},
            {"bytes after its end", compressed + "x", body.size()},
            {"nothing", "", body.size()},
            {"not compressed", "no packed body at all", body.size()},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        CHECK_THROWS_AS(expander.expand(row.compressed, row.longest), MessageError);
        // The expander is still usable after the error.
        CHECK(expander.expand(compressed, body.size()) == body);
    }
}

TEST_CASE("frames are decoded however the bytes are fragmented")
{
    FrameWriter writer;
    FrameExpander expander;
    const std::string bytes = writer.write(sampleFrame(), Way::StaysInDomain)
            + writer.write(sampleFrame(), Way::LeavesDomain);
    for (const std::size_t piece : {std::size_t {1}, std::size_t {7}, bytes.size()}) {
        CAPTURE(piece);
        FrameBuffer buffer;
        int frames = 0;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            buffer.append(std::string_view(bytes).substr(at, piece));
            while (const auto frame = buffer.next(expander)) {
                ++frames;
                REQUIRE(frame->requests.size() == 1);
                const ServerCommand command = fromWire(frame->requests.front().commands.front());
                CHECK((command.kind == ServerCommandKind::Execute));
                CHECK(command.after == LogPosition {3, 1207});
                const ServerReply reply = fromWire(frame->replies.front());
                CHECK((reply.fault == StatementFault::Lagging));
                CHECK((reply.state == TransactionState::Failed));
                CHECK(reply.rows == std::vector<std::string> {"row"});
                CHECK(reply.ran == Duration(18ms));
            }
        }
        CHECK(frames == 2);
    }
}

TEST_CASE("invalid frames are refused with a typed error")
{
    FrameExpander expander;
    FrameBuffer overlong;
    overlong.append("\xff\xff\xff\xff");
    CHECK_THROWS_AS(overlong.next(expander), MessageError);
    wire::LaneCommand command;
    command.kind = 99;
    CHECK_THROWS_AS(fromWire(command), MessageError);
    command.kind = static_cast<std::int32_t>(
            ServerCommandKind::Demote); // entry VMs may not send it
    CHECK_THROWS_AS(fromWire(command), MessageError);
    wire::LaneReply reply;
    reply.fault = -3;
    CHECK_THROWS_AS(fromWire(reply), MessageError);
    wire::LaneEvidence evidence;
    evidence.evidence = 7;
    CHECK_THROWS_AS(evidenceOf(evidence), MessageError);
    wire::LaneReply negative;
    negative.position.term = -1;
    negative.__isset.position = true;
    CHECK_THROWS_AS(fromWire(negative), MessageError);
}

// Guards against frames of a few bytes that take the memory of millions of elements.
TEST_CASE("a peer's frame is refused where its body or its lists expand beyond the limits")
{
    constexpr std::size_t ManyRequests = 500'000;
    wire::LaneFrame lists;
    lists.requests.resize(ManyRequests);
    wire::LaneFrame ordinary;
    ordinary.requests.resize(10'000, sampleFrame().requests.front());
    FrameWriter writer;
    const std::string compressed = FrameCompressor().compress(std::string(1'000'000, 'x'));
    const std::string zeros = writer.write(lists, Way::LeavesDomain);
    struct Row
    {
        const char *what;
        std::string bytes;
        bool isAccepted;
    };
    const Row rows[] = {
            {"many empty requests", writer.write(lists, Way::StaysInDomain), false},
            {"the same, compressed", zeros, false},
            {"ordinary requests", writer.write(ordinary, Way::StaysInDomain), true},
            {"the same, compressed", writer.write(ordinary, Way::LeavesDomain), true},
            {"a list that announces more than it has",
             std::string("\0\0\0\7\x19\xfc\xff\xff\xff\xff\7", 11), false},
    };
    FrameExpander expander;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FrameBuffer buffer(FrameBuffer::PeerLimits);
        buffer.append(row.bytes);
        if (row.isAccepted)
            CHECK((buffer.next(expander) == ordinary));
        else
            CHECK_THROWS_AS(buffer.next(expander), MessageError);
    }
    // A body that the product's compressor writes expands to at most 8 times its bytes.
    CHECK(compressed.size() * FrameBuffer::PeerLimits.mostExpansion > 1'000'000);
}

// Guards against thousands of connections that each keep the memory of their longest frame.
TEST_CASE("a buffer gives back the memory of what was read")
{
    FrameWriter writer;
    FrameExpander expander;
    FrameBuffer buffer;
    wire::LaneFrame large;
    large.failureDomain = std::string(1'000'000, 'x');
    const std::string bytes = writer.write(large, Way::StaysInDomain);
    buffer.append(bytes.substr(0, bytes.size() - 1));
    CHECK_FALSE(buffer.next(expander));
    CHECK(buffer.memory() >= buffer.size());
    buffer.append(bytes.substr(bytes.size() - 1) + "\1");
    CHECK(buffer.next(expander));
    CHECK_FALSE(buffer.next(expander));
    CHECK(buffer.size() == 1);
    CHECK(buffer.memory() < 100);
}

TEST_CASE("random bytes cause at most a MessageError, which ends the connection")
{
    constexpr int Rounds = 20'000;
    std::mt19937 random(2016);
    FrameWriter writer;
    FrameExpander expander;
    const std::string samples[] = {writer.write(sampleFrame(), Way::StaysInDomain),
                                   writer.write(largeFrame(), Way::LeavesDomain)};
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = samples[round % 2];
        for (int change = 0; change < 3; ++change)
            bytes[4 + random() % (bytes.size() - 4)] = static_cast<char>(random());
        FrameBuffer buffer;
        buffer.append(bytes);
        try {
            while (const auto frame = buffer.next(expander)) {
                for (const wire::LaneReply &reply : frame->replies)
                    fromWire(reply);
            }
        } catch (const MessageError &) {
            continue;
        }
    }
}

TEST_CASE("a request for a status is a read-only begin to an older version")
{
    ServerCommand status;
    status.kind = ServerCommandKind::Status;
    status.after = LogPosition {3, 7};
    wire::LaneCommand encoded = toWire(status);
    CHECK(encoded.kind == static_cast<std::int32_t>(ServerCommandKind::BeginReadOnly));
    CHECK(fromWire(encoded) == status);
    encoded.__isset.asksStatus = false; // as an older version reads it
    encoded.asksStatus = false;
    CHECK((fromWire(encoded).kind == ServerCommandKind::BeginReadOnly));
}

TEST_CASE("a reply says that it isn't vouched for, and one of an older home counts")
{
    ServerReply reply;
    reply.isVouched = false;
    CHECK_FALSE(fromWire(toWire(7, reply)).isVouched);
    CHECK(fromWire(wire::LaneReply()).isVouched);
}
