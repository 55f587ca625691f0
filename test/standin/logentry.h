#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <string>

namespace nutmegtide::standin {

using Table = std::map<std::string, Json>;

// One write, as the primary computed it. Replicas apply the changes as they stand.
struct LogEntry
{
    LogPosition position;
    RequestId requestId; // empty for a barrier
    CallerId caller;
    std::uint64_t contentHash = 0;
    std::string statement;
    Table changes;
    Json result;
    TimePoint receivedAt; // local, not part of the message
};

void to_json(Json &json, const LogEntry &entry);
void from_json(const Json &json, LogEntry &entry);

// An answer of GET /v1/log: the entries that follow the asked index.
struct LogFeed
{
    Term term = 0; // of the primary
    LogPosition previous; // the entry at the asked index; term 0 where it has none
    std::uint64_t lastIndex = 0;
    std::vector<LogEntry> entries;
};

void to_json(Json &json, const LogFeed &feed);
void from_json(const Json &json, LogFeed &feed);

} // namespace nutmegtide::standin
