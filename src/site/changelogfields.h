#pragma once

#include "base/log.h"
#include "nutmegtide/failover/fencereport.h"
#include "nutmegtide/failover/semisyncchange.h"
#include "nutmegtide/proxy/routetable.h"

namespace nutmegtide {

// Returns the position for the log: "3.1209".
std::string textOf(const LogPosition &position);

// Returns the fields of the log line for a fence: each fenced server with its position, and the
// servers that are missing.
std::vector<LogField> fieldsOf(const ServiceName &service, const FenceReport &report);

// Returns the names of the actions with their servers, for the log: "hold:s3 ask:s4".
std::string describe(const SemiSyncChangeActions &actions);

} // namespace nutmegtide
