#include "site/lanewire.h"

#include <doctest/doctest.h>
#include <random>

using namespace nutmegtide;

namespace {

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

} // namespace

TEST_CASE("frames come through in whatever pieces they arrive")
{
    const std::string bytes = encodeFrame(sampleFrame()) + encodeFrame(sampleFrame());
    for (const std::size_t piece : {std::size_t {1}, std::size_t {7}, bytes.size()}) {
        CAPTURE(piece);
        FrameBuffer buffer;
        int frames = 0;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            buffer.append(std::string_view(bytes).substr(at, piece));
            while (const auto frame = buffer.next()) {
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

TEST_CASE("bytes that are no frame are refused with a typed error")
{
    FrameBuffer overlong;
    overlong.append("\xff\xff\xff\xff");
    CHECK_THROWS_AS(overlong.next(), MessageError);
    wire::LaneCommand command;
    command.kind = 99;
    CHECK_THROWS_AS(fromWire(command), MessageError);
    command.kind = static_cast<std::int32_t>(ServerCommandKind::Demote); // no entry VM may
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

TEST_CASE("random bytes never do more than end a connection")
{
    constexpr int Rounds = 20'000;
    std::mt19937 random(2016);
    const std::string sample = encodeFrame(sampleFrame());
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = sample;
        for (int change = 0; change < 3; ++change)
            bytes[4 + random() % (bytes.size() - 4)] = static_cast<char>(random());
        FrameBuffer buffer;
        buffer.append(bytes);
        try {
            while (const auto frame = buffer.next()) {
                for (const wire::LaneReply &reply : frame->replies)
                    fromWire(reply);
            }
        } catch (const MessageError &) {
            continue;
        }
    }
}
