#pragma once

#include "nutmegtide/statement/statement.h"
#include "peer_types.h"
#include "serve/requestfates.h"

namespace nutmegtide {

// Conversions between the project's own types and those of idl/peer.thrift.
// Reading throws MessageError for a value out of range.

wire::Position toWire(LogPosition position);
LogPosition fromWire(const wire::Position &position);

// The deadline travels as time left, since clocks of VMs are not compared.
wire::StatementCall toWire(const Statement &statement, TimePoint now);
Statement fromWire(const wire::StatementCall &call, TimePoint now);

wire::StatementAnswer toWire(const StatementResult &result);
StatementResult fromWire(const wire::StatementAnswer &answer);

wire::StatementFault toWire(const StatementError &error, const RequestId &id);
StatementError fromWire(const wire::StatementFault &fault);

wire::RequestFateReply toWire(const RequestRecord &record);
RequestRecord fromWire(const wire::RequestFateReply &reply);

} // namespace nutmegtide
