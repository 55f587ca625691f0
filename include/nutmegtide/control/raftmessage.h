#pragma once

#include "nutmegtide/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegtide {

// The term of the control log: it counts elections among control VMs, unlike Term.
using RaftTerm = std::uint64_t;
// The position of an entry in the control log; 1 for the first, 0 for none.
using LogIndex = std::uint64_t;

// The contents of an entry: a command (with the numbers of CommandKind), or Raft's own entry.
enum class EntryKind {
    Barrier = 0, // empty; the first entry of a leader's term
    Config = 1,
    Group = 2,
    Power = 3,
    Members = 100, // the members from this entry on, encoded by encodeMembers()
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

// A control VM with the id of its data folder. The id distinguishes a VM that kept its log from one
// of the same name that lost it.
struct ControlMember
{
    VmName vm;
    std::string folder; // empty until the first leader has learned it

    bool operator==(const ControlMember &) const = default;
};

using Members = std::vector<ControlMember>;

// Encodes members as the payload of an entry, and decodes it. decodeMembers() throws MessageError
// if the payload is malformed.
std::string encodeMembers(const Members &members);
Members decodeMembers(const std::string &payload);

// The state that replaces all entries up to `index`.
struct LogSnapshot
{
    LogIndex index = 0;
    RaftTerm term = 0; // of the entry at `index`
    Members members;
    std::string state; // of the state machines

    bool operator==(const LogSnapshot &) const = default;
};

// What a control VM must store durably about elections.
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
    // Vote and PreVote: the sender's last entry. Append: the entry before `entries`. AppendReply
    // and SnapshotReply: the last entry known to match, or in a refusal the last that may match.
    LogIndex lastIndex = 0;
    RaftTerm lastTerm = 0;
    LogIndex commit = 0;
    bool isGranted = false;
    // Append and Snapshot: the leader's stamp. Their replies return it; 0 from older versions.
    std::uint64_t stamp = 0;
    std::vector<LogEntry> entries;
    LogSnapshot snapshot; // for Snapshot only

    bool operator==(const RaftMessage &) const = default;
};

// Returns the member that the sender of the message claims to be, if that member has another data
// folder; null if the folder matches or isn't known. A leader's messages are always accepted: it
// was elected by members whose folders were checked, and a VM that was down for long may hold an
// outdated list of members.
const ControlMember *findFolderMismatch(const Members &members, const RaftMessage &message);

} // namespace nutmegtide
