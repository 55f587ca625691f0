#include "serve/raftwire.h"

#include "nutmegtide/base/errors.h"

namespace nutmegtide {

namespace {

std::uint64_t countFromWire(std::int64_t value)
{
    if (value < 0)
        throw MessageError("a term or index below 0");
    return static_cast<std::uint64_t>(value);
}

wire::RaftEntry toWire(const LogEntry &entry)
{
    wire::RaftEntry result;
    result.term = static_cast<std::int64_t>(entry.term);
    result.index = static_cast<std::int64_t>(entry.index);
    result.kind = static_cast<std::int32_t>(entry.kind);
    result.command = entry.payload;
    return result;
}

LogEntry fromWire(const wire::RaftEntry &entry)
{
    LogEntry result;
    result.term = countFromWire(entry.term);
    result.index = countFromWire(entry.index);
    result.kind = static_cast<EntryKind>(entry.kind);
    result.payload = entry.command;
    if (result.kind == EntryKind::Members)
        decodeMembers(result.payload);
    return result;
}

} // namespace

wire::RaftMessage toWire(const RaftMessage &message)
{
    wire::RaftMessage result;
    const bool isSnapshot = message.kind == RaftMessageKind::Snapshot;
    const LogIndex lastIndex = isSnapshot ? message.snapshot.index : message.lastIndex;
    const RaftTerm lastTerm = isSnapshot ? message.snapshot.term : message.lastTerm;
    result.kind = static_cast<wire::RaftKind::type>(message.kind);
    result.sender = message.sender.text();
    result.receiver = message.receiver.text();
    result.identity = message.folder;
    result.term = static_cast<std::int64_t>(message.term);
    result.lastIndex = static_cast<std::int64_t>(lastIndex);
    result.lastTerm = static_cast<std::int64_t>(lastTerm);
    result.commit = static_cast<std::int64_t>(message.commit);
    result.isGranted = message.isGranted;
    result.stamp = static_cast<std::int64_t>(message.stamp);
    for (const LogEntry &entry : message.entries)
        result.entries.push_back(toWire(entry));
    if (isSnapshot) {
        result.members.push_back(encodeMembers(message.snapshot.members));
        result.snapshot = message.snapshot.state;
    }
    return result;
}

RaftMessage fromWire(const wire::RaftMessage &message)
{
    RaftMessage result;
    if (message.kind < wire::RaftKind::PRE_VOTE || message.kind > wire::RaftKind::SNAPSHOT_REPLY)
        throw MessageError("unknown kind of control log message");
    result.kind = static_cast<RaftMessageKind>(message.kind);
    result.sender = VmName(message.sender);
    result.receiver = VmName(message.receiver);
    result.folder = message.identity;
    result.term = countFromWire(message.term);
    result.lastIndex = countFromWire(message.lastIndex);
    result.lastTerm = countFromWire(message.lastTerm);
    result.commit = countFromWire(message.commit);
    result.isGranted = message.isGranted;
    result.stamp = countFromWire(message.stamp);
    for (const wire::RaftEntry &entry : message.entries)
        result.entries.push_back(fromWire(entry));
    if (result.kind == RaftMessageKind::Snapshot) {
        if (message.members.size() != 1)
            throw MessageError("a snapshot of the control log without its members");
        result.snapshot = {result.lastIndex, result.lastTerm,
                           decodeMembers(message.members.front()), message.snapshot};
    }
    return result;
}

} // namespace nutmegtide
