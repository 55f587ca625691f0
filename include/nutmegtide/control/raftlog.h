#pragma once

#include "nutmegtide/control/raftmessage.h"

#include <optional>

namespace nutmegtide {

// The part of the control log that a VM holds in memory: a snapshot and the entries after it.
class RaftLog
{
public:
    // `firstMembers` apply until an entry or the snapshot names others.
    RaftLog(LogSnapshot snapshot, std::vector<LogEntry> tail, Members firstMembers);

    LogIndex lastIndex() const { return m_snapshot.index + m_tail.size(); }
    RaftTerm lastTerm() const;
    const LogSnapshot &snapshot() const { return m_snapshot; }
    const std::vector<LogEntry> &tail() const { return m_tail; }
    // Returns the term of the entry at `index`; nothing if the entry isn't held or is covered by
    // the snapshot, except for the snapshot's last one.
    std::optional<RaftTerm> termAt(LogIndex index) const;
    // The entry must be held in the tail.
    const LogEntry &at(LogIndex index) const { return m_tail.at(index - m_snapshot.index - 1); }
    // Returns at most `maxEntries` entries from `index` on.
    std::vector<LogEntry> from(LogIndex index, std::size_t maxEntries) const;
    // The same, limited to `maxBytes` of payload; the first entry is returned whatever its size.
    std::vector<LogEntry> from(LogIndex index, std::size_t maxEntries, std::size_t maxBytes) const;
    // The entry must follow the last one.
    void append(const LogEntry &entry);
    // Removes the entries from `index` on.
    void truncateFrom(LogIndex index);
    // Takes over a snapshot, and keeps the entries after it only if they continue it.
    void install(LogSnapshot snapshot);

    // The members named by the last entry that names any, committed or not.
    const Members &members() const { return m_members; }
    // The index of that entry; the snapshot's index if no entry names any.
    LogIndex membersIndex() const { return m_membersIndex; }
    // Returns the members in force at an index.
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
