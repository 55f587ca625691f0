#pragma once

#include "nutmegtide/charts/chart.h"
#include "nutmegtide/control/raftmessage.h"

#include <variant>
#include <vector>

namespace nutmegtide {

// Numbers the disk actions of one RaftNode, from 1.
using WriteNumber = std::uint64_t;

// Disk actions. They are carried out in their order; RaftNode::synced() reports
// the number of the last one that a sync has made durable.
struct PersistVote
{
    WriteNumber write = 0;
    VoteRecord vote;
};

struct AppendEntries
{
    WriteNumber write = 0;
    std::vector<LogEntry> entries;
};

// Drops the entries from `index` on.
struct TruncateFrom
{
    WriteNumber write = 0;
    LogIndex index = 0;
};

// Replaces all that is stored by the snapshot, the vote and the entries after the snapshot.
struct InstallSnapshot
{
    WriteNumber write = 0;
    LogSnapshot snapshot;
    VoteRecord vote;
    std::vector<LogEntry> tail;
};

struct SendMessage
{
    RaftMessage message;
};

// Entries to hand to the state machines, in this order.
struct ApplyCommitted
{
    std::vector<LogEntry> entries;
};

// The state machines take over the state of a snapshot.
struct RestoreState
{
    LogIndex index = 0;
    std::string state;
};

struct BecameLeader
{
    RaftTerm term = 0;
};

struct SteppedDown
{
    RaftTerm term = 0;
    std::string reason; // the chart's event
};

// A transition of the control role, for the time line.
struct RoleChanged
{
    ChartStep step;
};

using RaftAction =
        std::variant<PersistVote, AppendEntries, TruncateFrom, InstallSnapshot, SendMessage,
                     ApplyCommitted, RestoreState, BecameLeader, SteppedDown, RoleChanged>;
using RaftActions = std::vector<RaftAction>;

} // namespace nutmegtide
