#pragma once

#include "nutmegtide/control/raftmessage.h"

#include <optional>

namespace nutmegtide {

// The entries that a control VM holds in memory: a snapshot and the tail after it.
class RaftLog
{
public:
    // `firstMembers` are in force until an entry or the snapshot names others.
    RaftLog(LogSnapshot snapshot, std::vector<LogEntry> tail, Members firstMembers);

    LogIndex lastIndex() const { return m_snapshot.index + m_tail.size(); }
    RaftTerm lastTerm() const;
    const LogSnapshot &snapshot() const { return m_snapshot; }
    const std::vector<LogEntry> &tail() const { return m_tail; }
    // Nothing for an index that is not held, or is inside the snapshot.
    std::optional<RaftTerm> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const { return m_tail.at(index - m_snapshot.index - 1); }
    std::vector<LogEntry> from(LogIndex index, std::size_t maxEntries) const;
    // At most `most` entries, and one that passes `maxBytes` only as the first.
    std::vector<LogEntry> from(LogIndex index, std::size_t maxEntries, std::size_t maxBytes) const;
    void append(const LogEntry &entry);
    void truncateFrom(LogIndex index);
    // Drops what the snapshot covers; keeps the tail only if it continues the snapshot.
    void install(LogSnapshot snapshot);

    // The members named by the last entry that names any, committed or not.
    const Members &members() const { return m_members; }
    // The index of that entry; 0 for none.
    LogIndex membersIndex() const { return m_membersIndex; }
    // The members named at or before an index.
    Members membersAt(LogIndex index) const;

private:
    void findMembers();

    LogSnapshot m_snapshot;
    std::vector<LogEntry> m_tail;
    Members m_firstMembers;
    Members m_members;
    LogIndex m_membersIndex = 0;
};

} // namespace nutmegtide
