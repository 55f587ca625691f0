#pragma once

#include "nutmegtide/charts/chart.h"
#include "nutmegtide/control/raftmessage.h"

#include <variant>
#include <vector>

namespace nutmegtide {

// Numbers the disk actions of one RaftNode, from 1 on.
using WriteNumber = std::uint64_t;

// Disk actions. They are carried out in order; the caller passes RaftNode::synced() the number of
// the last one that is durable.
struct PersistVote
{
    WriteNumber write = 0;
    VoteRecord vote;
};

// Appends entries to the stored log.
struct AppendEntries
{
    WriteNumber write = 0;
    std::vector<LogEntry> entries;
};

// Removes the entries from `index` on.
struct TruncateFrom
{
    WriteNumber write = 0;
    LogIndex index = 0;
};

// Replaces everything stored by the snapshot, the vote and the entries after the snapshot.
struct InstallSnapshot
{
    WriteNumber write = 0;
    LogSnapshot snapshot;
    VoteRecord vote;
    std::vector<LogEntry> tail;
};

// Sends the message to its receiver.
struct SendMessage
{
    RaftMessage message;
};

// Passes the committed entries from `first` to `last` to the state machines, in order. The node's
// log holds them until its next input; they aren't copied, since after a start they may be the
// whole log.
struct ApplyCommitted
{
    LogIndex first = 0;
    LogIndex last = 0;
};

// Replaces the state of the state machines by that of a snapshot.
struct RestoreState
{
    LogIndex index = 0;
    std::string state;
};

// This node was elected leader in `term`.
struct BecameLeader
{
    RaftTerm term = 0;
};

// This node stopped being leader.
struct SteppedDown
{
    RaftTerm term = 0;
    std::string reason; // the chart event that caused it
};

// A transition of the control role's chart, for the timeline.
struct RoleChanged
{
    ChartStep step;
};

using RaftAction =
        std::variant<PersistVote, AppendEntries, TruncateFrom, InstallSnapshot, SendMessage,
                     ApplyCommitted, RestoreState, BecameLeader, SteppedDown, RoleChanged>;
using RaftActions = std::vector<RaftAction>;

} // namespace nutmegtide
