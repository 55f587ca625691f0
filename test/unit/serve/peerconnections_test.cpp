#include "serve/peerconnections.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace std::chrono_literals;

namespace {

constexpr int NoSocket = -1; // a connection that is shut down without effect

struct ConnectionsFixture
{
    void receive(LinkKey connection, const std::string &bytes)
    {
        connections.received(connection, reinterpret_cast<const std::uint8_t *>(bytes.data()),
                             bytes.size());
    }

    std::vector<std::string> ended; // reasons
    PeerConnections connections {{1'000, 3, 30s},
                                 [this](const std::string &reason) { ended.push_back(reason); }};
};

std::string partOfFrame(std::size_t length, std::size_t sent)
{
    std::string bytes(4, '\0');
    bytes[2] = static_cast<char>(length >> 8);
    bytes[3] = static_cast<char>(length);
    return bytes + std::string(sent, 'x');
}

} // namespace

// Guards against incomplete frames that fill the memory, however their bytes are fragmented, and
// against connections that are ended for frames that were answered.
TEST_CASE("peer connections: incomplete frames count until they are answered")
{
    for (const std::size_t piece : {std::size_t(1), std::size_t(3), std::size_t(10'000)}) {
        CAPTURE(piece);
        ConnectionsFixture fixture;
        const LinkKey first = fixture.connections.add(NoSocket);
        const LinkKey second = fixture.connections.add(NoSocket);
        const std::string frame = partOfFrame(600, 600);
        for (int turn = 0; turn < 5; ++turn) {
            for (std::size_t at = 0; at < frame.size(); at += piece)
                fixture.receive(first, frame.substr(at, piece));
            fixture.connections.answered(first);
        }
        fixture.receive(second, partOfFrame(700, 600));
        CHECK(fixture.ended.empty());
        fixture.receive(first, frame); // whole, but without an answer
        CHECK(fixture.ended.size() == 1);
    }
}

// Guards against connections without a call that leave no room for others.
TEST_CASE("peer connections: the oldest one without a whole frame makes room")
{
    ConnectionsFixture fixture;
    const LinkKey first = fixture.connections.add(NoSocket);
    fixture.receive(first, partOfFrame(3, 3));
    const LinkKey second = fixture.connections.add(NoSocket);
    fixture.connections.add(NoSocket);
    CHECK(fixture.ended.empty());
    const LinkKey fourth = fixture.connections.add(NoSocket);
    CHECK(fixture.ended.size() == 1);
    fixture.connections.remove(second);
    fixture.connections.remove(fourth);
    fixture.connections.add(NoSocket);
    CHECK(fixture.ended.size() == 1);
}
