#pragma once

#include "nutmegtide/control/raftmessage.h"
#include "peer_types.h"

namespace nutmegtide {

wire::RaftMessage toWire(const RaftMessage &message);
// Throws MessageError.
RaftMessage fromWire(const wire::RaftMessage &message);

} // namespace nutmegtide
