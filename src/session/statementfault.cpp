#include "nutmegtide/session/statementfault.h"

#include <array>

namespace nutmegtide {

namespace {

struct FaultRow
{
    std::string_view name;
    bool provesNotExecuted;
};

// In the order of StatementFault.
constexpr std::array<FaultRow, 15> FaultRows = {{
        {"busy", true},
        {"aborted", false},
        {"lagging", true},
        {"read_only", true},
        {"misrouted", true},
        {"too_many_connections", true},
        {"unknown_statement", true},
        {"failed", false},
        {"timeout", false},
        {"outcome_unknown", false},
        {"unknown_database", false},
        {"too_large", false},
        {"malformed", false},
        {"unauthorized", true},
        {"over_cap", true},
}};

} // namespace

std::string_view toString(StatementFault fault)
{
    return FaultRows.at(static_cast<std::size_t>(fault)).name;
}

bool provesNotExecuted(StatementFault fault)
{
    return FaultRows.at(static_cast<std::size_t>(fault)).provesNotExecuted;
}

bool isCapacityRefusal(StatementFault fault)
{
    return fault == StatementFault::TooManyConnections || fault == StatementFault::Busy;
}

} // namespace nutmegtide
