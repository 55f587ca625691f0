#pragma once

#include "nutmegtide/session/sessionstatement.h"

namespace nutmegtide {

// Returns whether the server runs the command in one of its slots.
inline bool runsInSlot(ServerCommandKind kind)
{
    return kind == ServerCommandKind::Read || kind == ServerCommandKind::Write
            || kind == ServerCommandKind::Execute || kind == ServerCommandKind::Commit;
}

// The answer to a command that was not sent.
inline ServerReply busyReply(TransactionState state)
{
    ServerReply reply;
    reply.fault = StatementFault::Busy;
    reply.detail = "the server has no slot in time";
    reply.state = state;
    return reply;
}

} // namespace nutmegtide
