#pragma once

#include "nutmegtide/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtide {

// The term of the control log; unlike Term it counts elections among control VMs.
using RaftTerm = std::uint64_t;
// The place of an entry in the control log; 1 for the first, 0 for none.
using LogIndex = std::uint64_t;

// What an entry holds: a command of a role (the numbers of CommandKind), or the log's own.
enum class EntryKind {
    Barrier = 0, // empty, opens a leader's term
    Config = 1,
    Group = 2,
    Power = 3,
    Members = 100, // the members from this entry on, written by encodeMembers()
};

// One entry of the control log.
struct LogEntry
{
    RaftTerm term = 0;
    LogIndex index = 0;
    EntryKind kind = EntryKind::Barrier;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
};

// A control VM with the id of its data folder. The folder's id tells a VM that
// kept its log from one of the same name that lost it.
struct ControlMember
{
    VmName vm;
    std::string folder; // empty before the first leader has learned it

    bool operator==(const ControlMember &) const = default;
};

using Members = std::vector<ControlMember>;

// Writes members as the payload of an entry, and reads it back. decodeMembers()
// throws MessageError.
std::string encodeMembers(const Members &members);
Members decodeMembers(const std::string &payload);

// A state that replaces all entries up to `index`.
struct LogSnapshot
{
    LogIndex index = 0;
    RaftTerm term = 0; // of the entry at `index`
    Members members;
    std::string state; // of the state machines

    bool operator==(const LogSnapshot &) const = default;
};

// What a control VM must not forget about elections.
struct VoteRecord
{
    RaftTerm term = 0;
    VmName votedFor; // empty: no vote in this term

    bool operator==(const VoteRecord &) const = default;
};

enum class RaftMessageKind {
    PreVote = 1,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    SnapshotReply,
};

// A message between two control VMs.
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::Append;
    VmName sender;
    VmName receiver;
    std::string folder; // of the sender
    RaftTerm term = 0;
    // Vote: the sender's last entry. Append: the entry before `entries`. AppendReply:
    // the last entry known to match, or for a refusal the last one that may match.
    LogIndex lastIndex = 0;
    RaftTerm lastTerm = 0;
    LogIndex commit = 0;
    bool isGranted = false;
    std::vector<LogEntry> entries;
    LogSnapshot snapshot; // for Snapshot only

    bool operator==(const RaftMessage &) const = default;
};

// Returns the member that the sender of the message calls itself and isn't, since its data folder
// is another one; null where it may count. A leader's messages always may: it was elected by
// members whose folders were checked, and a VM that was away may know the members of long ago.
const ControlMember *findFolderMismatch(const Members &members, const RaftMessage &message);

} // namespace nutmegtide
