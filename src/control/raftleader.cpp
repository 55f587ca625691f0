// RaftNode: the leader's part.
#include "nutmegtide/control/raftnode.h"

#include <algorithm>
#include <functional>

namespace nutmegtide {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 64;
constexpr std::size_t MaxBytesPerMessage = 1024 * 1024;

} // namespace

void RaftNode::appendBarrier()
{
    m_progress.clear();
    for (const VmName &peer : receivers())
        m_progress[peer] = {m_log.lastIndex() + 1, 0, m_now, std::nullopt, 0};
    const LogIndex index = m_log.lastIndex() + 1;
    if (areFoldersKnown())
        return append({{m_vote.term, index, EntryKind::Barrier, {}}});
    Members members;
    for (const auto &[vm, folder] : m_votes)
        members.push_back({vm, folder});
    append({{m_vote.term, index, EntryKind::Members, encodeMembers(members)}});
}

void RaftNode::recordLeader()
{
    m_leader = m_self;
    m_startupElectionsLeft = 0;
    m_actions.emplace_back(BecameLeader {m_vote.term});
}

void RaftNode::recordSteppedDown(const std::string &event)
{
    resetElectionTimer();
    m_leader = {};
    m_learner.reset();
    m_progress.clear();
    m_actions.emplace_back(SteppedDown {m_vote.term, event});
}

void RaftNode::sendHeartbeats()
{
    m_heartbeatDue = m_now + m_timings.heartbeatInterval;
    for (const VmName &peer : receivers()) {
        if (m_progress.at(peer).snapshotSent)
            sendEmptyAppendTo(peer);
        sendTo(peer);
    }
}

void RaftNode::replicate()
{
    for (const VmName &peer : receivers())
        sendTo(peer);
}

RaftMessage RaftNode::leaderMessageTo(const VmName &peer, RaftMessageKind kind) const
{
    RaftMessage message = messageTo(peer, kind);
    message.stamp = m_stamp;
    return message;
}

void RaftNode::sendTo(const VmName &peer)
{
    Progress &progress = m_progress.at(peer);
    if (progress.next <= m_log.snapshot().index)
        return sendSnapshotTo(peer, progress);
    RaftMessage message = leaderMessageTo(peer, RaftMessageKind::Append);
    message.lastIndex = progress.next - 1;
    message.lastTerm = *m_log.termAt(message.lastIndex);
    message.commit = m_commit;
    message.entries = m_log.from(progress.next, MaxEntriesPerMessage, MaxBytesPerMessage);
    progress.next += message.entries.size();
    send(std::move(message));
}

// A snapshot may be large, so it is sent again only after a timeout without an answer.
void RaftNode::sendSnapshotTo(const VmName &peer, Progress &progress)
{
    if (progress.snapshotSent && m_now - *progress.snapshotSent < m_timings.maxElectionTimeout)
        return;
    progress.snapshotSent = m_now;
    RaftMessage message = leaderMessageTo(peer, RaftMessageKind::Snapshot);
    message.snapshot = m_log.snapshot();
    message.commit = m_commit;
    send(std::move(message));
}

// Keeps a peer that is busy with a snapshot from missing heartbeats and from seeming lost.
void RaftNode::sendEmptyAppendTo(const VmName &peer)
{
    RaftMessage message = leaderMessageTo(peer, RaftMessageKind::Append);
    message.lastIndex = m_log.snapshot().index;
    message.lastTerm = m_log.snapshot().term;
    message.commit = m_commit;
    send(std::move(message));
}

void RaftNode::handleAppendReply(const RaftMessage &message)
{
    const auto found = m_progress.find(message.sender);
    const bool isLearner = m_learner && m_learner->vm == message.sender;
    if (!isLeader() || found == m_progress.end())
        return;
    if (!isLearner && !matchesMember(message.sender, message.folder))
        return;
    Progress &progress = found->second;
    progress.heard = m_now;
    // A VM of an older version returns no stamp; its answer counts from when it arrives.
    progress.stamp = std::max(progress.stamp, message.stamp != 0 ? message.stamp : m_stamp);
    if (message.isGranted) {
        progress.match = std::max(progress.match, message.lastIndex);
        progress.next = std::max(progress.next, progress.match + 1);
        if (progress.match >= m_log.snapshot().index)
            progress.snapshotSent.reset();
        admitLearner();
        advanceCommit();
    } else {
        const LogIndex hinted = std::min(progress.next, message.lastIndex + 1);
        progress.next = std::max(hinted, progress.match + 1);
    }
    // The commit may have ended this VM's leadership or the sender's membership.
    const auto left = m_progress.find(message.sender);
    if (left == m_progress.end())
        return;
    if (!message.isGranted || left->second.next <= m_log.lastIndex())
        sendTo(message.sender);
}

// Only entries of the current term are committed by counting replicas; earlier ones follow.
void RaftNode::advanceCommit()
{
    for (LogIndex index = m_log.lastIndex(); index > m_commit; --index) {
        if (m_log.termAt(index) != m_vote.term)
            return;
        std::set<VmName> holders;
        if (m_durableIndex >= index)
            holders.insert(m_self);
        for (const auto &[peer, progress] : m_progress) {
            if (progress.match >= index)
                holders.insert(peer);
        }
        if (!isQuorum(holders))
            continue;
        commitUpTo(index);
        if (!isVoter() && m_log.membersIndex() <= m_commit)
            return fire("removed");
        return admitLearner();
    }
}

void RaftNode::checkQuorum()
{
    if (!isLeader())
        return;
    std::set<VmName> heard {m_self};
    for (const auto &[peer, progress] : m_progress) {
        if (m_now - progress.heard < m_timings.maxElectionTimeout)
            heard.insert(peer);
    }
    if (!isQuorum(heard))
        fire("quorum_lost");
}

// Each peer followed this node in its term when it took a message of that stamp. Whoever is elected
// in a later term has a later vote of one of them.
std::optional<std::uint64_t> RaftNode::confirmedStamp() const
{
    if (!isLeader())
        return std::nullopt;
    std::set<std::uint64_t, std::greater<>> stamps {m_stamp};
    for (const auto &[peer, progress] : m_progress)
        stamps.insert(progress.stamp);
    for (const std::uint64_t stamp : stamps) {
        std::set<VmName> confirming {m_self};
        for (const auto &[peer, progress] : m_progress) {
            if (progress.stamp >= stamp)
                confirming.insert(peer);
        }
        if (isQuorum(confirming))
            return stamp;
    }
    return std::nullopt;
}

void RaftNode::requireLeader() const
{
    if (!isLeader())
        throw NotLeaderError(m_self.text() + " doesn't lead the control log", m_leader);
}

RaftActions RaftNode::propose(const std::vector<Command> &commands)
{
    requireLeader();
    std::vector<LogEntry> entries;
    for (const Command &command : commands) {
        const LogIndex index = m_log.lastIndex() + entries.size() + 1;
        entries.push_back(
                {m_vote.term, index, static_cast<EntryKind>(command.kind), command.payload});
    }
    append(entries);
    replicate();
    return takeActions();
}

// Allows one change at a time, and only after an entry of the current term is committed.
bool RaftNode::canChangeMembers() const
{
    return m_log.termAt(m_commit) == m_vote.term && m_log.membersIndex() <= m_commit;
}

void RaftNode::requireCanChangeMembers() const
{
    requireLeader();
    if (!canChangeMembers())
        throw MembershipError("an earlier change of the control members is not complete yet");
}

RaftActions RaftNode::addMember(const ControlMember &member)
{
    requireCanChangeMembers();
    if (findMember(member.vm))
        throw MembershipError(member.vm.text() + " is a control member already");
    if (member.vm.isEmpty() || member.folder.empty())
        throw MembershipError("a control member needs a name and the id of its data folder");
    if (m_learner == member)
        return takeActions(); // already being brought up to date
    m_learner = member;
    m_progress[member.vm] = {m_log.lastIndex() + 1, 0, m_now, std::nullopt, 0};
    sendTo(member.vm);
    return takeActions();
}

RaftActions RaftNode::removeMember(const VmName &vm)
{
    requireCanChangeMembers();
    if (!findMember(vm))
        throw MembershipError(vm.text() + " is no control member");
    Members members = m_log.members();
    std::erase_if(members, [&vm](const ControlMember &member) { return member.vm == vm; });
    if (members.empty())
        throw MembershipError("the last control member can't be removed");
    appendMembers(members);
    return takeActions();
}

// A learner becomes a member once it holds everything that is committed.
void RaftNode::admitLearner()
{
    if (!isLeader() || !m_learner || !canChangeMembers())
        return;
    if (m_progress.at(m_learner->vm).match < m_commit)
        return;
    Members members = m_log.members();
    members.push_back(*m_learner);
    m_learner.reset();
    appendMembers(members);
}

void RaftNode::appendMembers(const Members &members)
{
    append({{m_vote.term, m_log.lastIndex() + 1, EntryKind::Members, encodeMembers(members)}});
    std::set<VmName> kept;
    for (const VmName &peer : receivers()) {
        kept.insert(peer);
        m_progress.try_emplace(peer, Progress {m_log.lastIndex(), 0, m_now, std::nullopt, 0});
    }
    std::erase_if(m_progress, [&kept](const auto &item) { return kept.count(item.first) == 0; });
    replicate();
}

} // namespace nutmegtide
