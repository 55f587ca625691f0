#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/session/statementfault.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// The kinds of statements that a caller can send on its session.
enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
};

// Returns the name for log events.
std::string_view toString(StatementKind kind);

// One statement of a caller's session.
struct SessionStatement
{
    RequestId request;
    StatementKind kind = StatementKind::Read;
    // The name of a session value or of a prepared statement; empty for the other kinds.
    std::string name;
    // Read and Write: the text after the verb, unchanged. SetValue: the value. Prepare: the
    // statement's content. Execute: the text after the name.
    std::string argument;
    bool preparesWrite = false; // Prepare only

    bool operator==(const SessionStatement &) const = default;
};

// The transaction state of a session or of a connection to a server.
enum class TransactionState {
    Idle,
    Open,
    Failed, // only the end of the transaction is accepted
};

// The final answer to one statement of a caller.
struct SessionAnswer
{
    std::vector<std::string> rows;
    std::optional<StatementFault> fault;
    // On success the server's proof of execution, empty if the proxy answered itself. Otherwise a
    // human-readable message.
    std::string detail;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position; // that the server reported, if any

    bool operator==(const SessionAnswer &) const = default;
};

// The commands that the proxy sends to a backend server on one connection.
enum class ServerCommandKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Reset, // clears session values and prepared statements
    Status,
    HoldReplication, // a replica receives nothing until ResumeReplication or a promotion
    ResumeReplication,
    Demote, // a primary becomes a replica
};

// One command to a backend server.
struct ServerCommand
{
    ServerCommandKind kind = ServerCommandKind::Read;
    RequestId request; // the caller's; empty for the proxy's own commands
    std::optional<LogPosition> after; // the position that the server's log must have reached
    std::string name;
    std::string argument;
    bool preparesWrite = false; // Prepare only
    Term term = 0; // HoldReplication and Demote only

    bool operator==(const ServerCommand &) const = default;
};

// A server's complete answer to one command.
struct ServerReply
{
    std::vector<std::string> rows;
    std::optional<StatementFault> fault;
    std::string detail; // on success the proof of execution, otherwise the server's message
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position; // of the server's log
    Duration ran {}; // execution time at the server, if the home proxy measured it
    Duration wait {}; // that further statements can expect at the home, if it reports one
    // Whether it arrived on a connection that was vouched for; see ConnectionVouches.
    bool isVouched = true;

    bool operator==(const ServerReply &) const = default;
};

// A server's answer to Status, HoldReplication, ResumeReplication and Demote: its role and how far
// it has replicated.
struct ServerReplicationStatus
{
    bool isPrimary = false;
    Term term = 0;
    LogPosition received; // the end of the log that it has received
    Term heldTerm = 0; // the term at which replication is on hold; 0 if it isn't
    int connections = 0; // as the server reports them

    bool operator==(const ServerReplicationStatus &) const = default;
};

} // namespace nutmegtide
