#pragma once

#include <optional>
#include <string_view>

namespace nutmegtide {

// Why a statement of a session got no result. The same codes are used towards callers
// and by backend servers.
enum class StatementFault {
    Busy, // not run: no slot was free
    Aborted, // not kept: the transaction is rolled back
    Lagging, // not run: the server's log doesn't hold the position asked for
    ReadOnly, // not run: the server doesn't lead its group
    Misrouted, // not run: another server answers at this address
    TooManyConnections, // not run: the server takes no further connection
    UnknownStatement, // not run: no such prepared name
    Failed, // run, with an error
    Timeout, // run for too long, or may be running
    OutcomeUnknown, // a write or a commit that may have been kept
    UnknownDatabase,
    TooLarge,
    Malformed,
};

// Returns the name for logs and metrics.
std::string_view toString(StatementFault fault);

// Whether the fault proves that the server didn't execute the statement.
bool provesNotExecuted(StatementFault fault);

// Whether a server refused a connection with it because it has no room, which shows that it lives.
bool isCapacityRefusal(StatementFault fault);

} // namespace nutmegtide
