// RaftNode: handling of the leader's messages.
#include "nutmegtide/control/raftnode.h"

#include <algorithm>

namespace nutmegtide {

namespace {

bool isConsecutive(const RaftMessage &message)
{
    LogIndex index = message.lastIndex;
    return std::all_of(message.entries.begin(), message.entries.end(),
                       [&index](const LogEntry &entry) { return entry.index == ++index; });
}

} // namespace

void RaftNode::recordLeaderContact(const RaftMessage &message)
{
    fire("leader_heard");
    m_leader = message.sender;
    m_lastLeaderContact = m_now;
    m_startupElectionsLeft = 0;
    m_leaderCommit = std::max(m_leaderCommit, message.commit);
}

void RaftNode::handleAppend(const RaftMessage &message)
{
    if (isLeader() || !isConsecutive(message))
        return;
    recordLeaderContact(message);
    RaftMessage answer = messageTo(message.sender, RaftMessageKind::AppendReply);
    answer.stamp = message.stamp;
    if (message.lastIndex < m_commit) {
        // Committed entries are the same everywhere, so the leader can continue from there.
        answer.isGranted = true;
        answer.lastIndex = m_commit;
    } else if (m_log.termAt(message.lastIndex) != message.lastTerm) {
        answer.lastIndex = refusalHint(message);
    } else {
        storeEntries(message.entries);
        answer.isGranted = true;
        answer.lastIndex = message.lastIndex + message.entries.size();
        commitUpTo(std::min(message.commit, answer.lastIndex));
    }
    sendWhenSynced(std::move(answer));
}

// Skips all entries of the conflicting term, so that a long conflict takes few messages.
LogIndex RaftNode::refusalHint(const RaftMessage &message) const
{
    if (message.lastIndex > m_log.lastIndex())
        return m_log.lastIndex();
    LogIndex index = message.lastIndex;
    const auto term = m_log.termAt(index);
    while (index > m_commit && m_log.termAt(index) == term)
        --index;
    return index;
}

void RaftNode::storeEntries(const std::vector<LogEntry> &entries)
{
    auto firstNew = entries.begin();
    while (firstNew != entries.end() && m_log.termAt(firstNew->index) == firstNew->term)
        ++firstNew;
    if (firstNew == entries.end())
        return;
    if (firstNew->index <= m_log.lastIndex()) {
        m_log.truncateFrom(firstNew->index);
        m_actions.emplace_back(TruncateFrom {++m_lastWrite, firstNew->index});
        m_pendingLogWrites.emplace_back(m_lastWrite, m_log.lastIndex());
    }
    append({firstNew, entries.end()});
}

void RaftNode::handleSnapshot(const RaftMessage &message)
{
    if (isLeader())
        return;
    recordLeaderContact(message);
    if (message.snapshot.index > m_commit) {
        m_commit = message.snapshot.index;
        installSnapshot(message.snapshot);
        m_actions.emplace_back(RestoreState {m_commit, message.snapshot.state});
    }
    RaftMessage answer = messageTo(message.sender, RaftMessageKind::SnapshotReply);
    answer.stamp = message.stamp;
    answer.isGranted = true;
    answer.lastIndex = m_commit;
    sendWhenSynced(std::move(answer));
}

} // namespace nutmegtide
