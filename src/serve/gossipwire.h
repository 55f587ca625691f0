#pragma once

#include "nutmegtide/fleet/gossip.h"
#include "peer_types.h"

// Membership's messages as they travel between processes. The first update of a
// message is the sender's own. Reading throws EndpointError or MessageError.
namespace nutmegtide {

wire::MemberUpdate toWire(const Member &member);
Member fromWire(const wire::MemberUpdate &update);

wire::Gossip toWire(const GossipMessage &message);
GossipMessage fromWire(const wire::Gossip &message);

wire::GossipReply toWire(const GossipReply &reply);
GossipReply fromWire(const wire::GossipReply &reply);

} // namespace nutmegtide
