#pragma once

#include <optional>
#include <string_view>

namespace nutmegtide {

// Why a statement of a session got no result. The same codes are sent to callers and used by
// backend servers. "Not run" means that the statement was not executed.
enum class StatementFault {
    Busy, // not run: no slot was free
    Aborted, // without effect: the transaction was rolled back
    Lagging, // not run: the server's log hasn't reached the requested position
    ReadOnly, // not run: the server isn't the primary of its group
    Misrouted, // not run: a different server answers at this address
    TooManyConnections, // not run: the server accepts no further connection
    UnknownStatement, // not run: no prepared statement has this name
    Failed, // run, with an error
    Timeout, // ran for too long, or may still be running
    OutcomeUnknown, // a write or commit that may or may not have taken effect
    UnknownDatabase,
    TooLarge,
    Malformed,
    Unauthorized, // not run: no workspace holds the caller's key
    OverCap, // not run: the workspace has reached its cap of operations
};

// Returns the name for logs and metrics.
std::string_view toString(StatementFault fault);

// Whether the fault proves that the server didn't execute the statement.
bool provesNotExecuted(StatementFault fault);

// Whether a server that refuses a connection with this fault is up but out of capacity.
bool isCapacityRefusal(StatementFault fault);

} // namespace nutmegtide
