#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

#include <optional>
#include <string>

namespace nutmegtide {

// What a caller asks of a transaction, if anything.
enum class TransactionStep {
    None,
    Begin,
    Statement,
    Commit,
    Rollback,
};

// One statement as a caller sent it, checked and with its deadline in this
// process's own time. Entry proxies and home proxies pass it on by value.
struct Statement
{
    DatabaseName database;
    CallerId caller;
    SessionId session;
    RequestId id;
    Access access = Access::Read;
    bool isRepeatable = false;
    std::optional<std::chrono::milliseconds> maxAge; // absent: no age is accepted
    TimePoint deadline;
    std::string text;
    Json parameters = Json::object();
    std::optional<LogPosition> seen; // of this database, from the session token
    std::optional<RequestId> unknownWrite; // a write of the session with no known outcome
    TransactionStep step = TransactionStep::None;
    TransactionId transaction;
};

// The whole answer to one statement.
struct StatementResult
{
    RequestId id;
    Json result;
    LogPosition position;
    ServerId server;
    ServerRole role = ServerRole::Replica;
    std::chrono::milliseconds age = std::chrono::milliseconds::zero(); // proved; 0 at the primary
    bool isReplay = false; // the request had run before
    bool settledUnknownWrite = false; // the session's mark can be taken off
    TransactionId transaction;
};

// Runs statements: at home, by forwarding, or both.
class StatementRunner
{
public:
    virtual ~StatementRunner() = default;

    // Throws StatementError.
    virtual StatementResult run(const Statement &statement) = 0;
};

} // namespace nutmegtide
