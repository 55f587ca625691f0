#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/session/statementfault.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// What a caller can ask for on its session.
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

std::string_view toString(StatementKind kind);

// One statement of a caller's session.
struct SessionStatement
{
    RequestId request;
    StatementKind kind = StatementKind::Read;
    // Of a session value or of a prepared statement; empty for the other kinds.
    std::string name;
    // Read and Write: the text after the verb, as it came. SetValue: the value. Prepare: the
    // shape. Execute: the text after the name.
    std::string argument;
    bool preparesWrite = false; // Prepare only

    bool operator==(const SessionStatement &) const = default;
};

// Where a session or a connection to a server stands.
enum class TransactionState {
    Idle,
    Open,
    Failed, // refuses all but the end of the transaction
};

// The last answer to one statement of a caller.
struct SessionAnswer
{
    std::vector<std::string> rows;
    std::optional<StatementFault> fault;
    // On success the server's proof, empty where the proxy answered itself. Else a text for people.
    std::string detail;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;

    bool operator==(const SessionAnswer &) const = default;
};

// What the proxy asks of a backend server on one connection.
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
    Reset, // clears values and prepared statements
    Status,
    HoldReplication, // a replica receives nothing until ResumeReplication or a promotion
    ResumeReplication,
    Demote,
};

struct ServerCommand
{
    ServerCommandKind kind = ServerCommandKind::Read;
    RequestId request; // the caller's; empty for a command of the proxy's own
    std::optional<LogPosition> after; // the server's log must hold this
    std::string name;
    std::string argument;
    bool preparesWrite = false; // Prepare only
    Term term = 0; // HoldReplication and Demote only

    bool operator==(const ServerCommand &) const = default;
};

// A server's whole answer to one command.
struct ServerReply
{
    std::vector<std::string> rows;
    std::optional<StatementFault> fault;
    std::string detail; // the proof of a success, else the server's text
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position; // of the server's log
    Duration ran {}; // that the statement took at the server, where its home measured it

    bool operator==(const ServerReply &) const = default;
};

// A server's answer to Status, HoldReplication, ResumeReplication and Demote.
struct ServerReplicationStatus
{
    bool isPrimary = false;
    Term term = 0;
    LogPosition received;
    Term heldTerm = 0; // replication is on hold at this term; 0 for not
    int connections = 0;

    bool operator==(const ServerReplicationStatus &) const = default;
};

} // namespace nutmegtide
