#include "serve/gossipwire.h"

#include <doctest/doctest.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "nutmegtide/base/errors.h"

using namespace nutmegtide;

namespace {

Member member()
{
    Member made;
    made.vm = VmName("vm-1");
    made.failureDomain = FailureDomain("fd-a");
    made.peers = {"127.0.0.1", 9000};
    made.callers = {"127.0.0.1", 9001};
    made.incarnation = 7;
    made.version = 3;
    made.state = MemberState::Suspect;
    made.isDraining = true;
    made.revision = 12;
    return made;
}

} // namespace

TEST_CASE("a member's size on the wire is what Thrift writes")
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TBinaryProtocol protocol(buffer);
    toWire(member()).write(&protocol);
    CHECK(buffer->available_read() == wireSize(member()));
}

TEST_CASE("a gossip message keeps its content over the wire")
{
    GossipMessage message;
    message.sender = member();
    message.updates = {member()};
    message.probeTarget = VmName("vm-2");
    message.wantsPage = true;
    message.pageAfter = VmName("vm-3");
    message.digest = 99;
    const GossipMessage read = fromWire(toWire(message));
    CHECK(isSameVersion(read.sender, message.sender));
    CHECK(read.sender.state == MemberState::Suspect);
    CHECK(read.updates.size() == 1);
    CHECK(read.probeTarget == message.probeTarget);
    CHECK(read.wantsPage);
    CHECK(read.pageAfter == message.pageAfter);
    CHECK(read.digest == 99);
}

TEST_CASE("gossip without a sender, or with a bad address or state, is refused")
{
    CHECK_THROWS_AS(fromWire(wire::Gossip()), MessageError);
    wire::MemberUpdate badState = toWire(member());
    badState.state = static_cast<wire::MemberState::type>(9);
    CHECK_THROWS_AS(fromWire(badState), MessageError);
    wire::MemberUpdate badAddress = toWire(member());
    badAddress.peerEndpoint = "nowhere";
    CHECK_THROWS_AS(fromWire(badAddress), EndpointError);
}
