#include "nutmegtide/control/raftnode.h"

#include <algorithm>

namespace nutmegtide {

namespace {

Members membersByName(const std::vector<VmName> &names)
{
    Members members;
    for (const VmName &name : names)
        members.push_back({name, {}});
    return members;
}

} // namespace

RaftNode::RaftNode(VmName self, StoredLog stored, const std::vector<VmName> &names,
                   const Chart &chart, const RaftTimings &timings, std::minstd_rand generator,
                   TimePoint now)
    : m_self(std::move(self))
    , m_folder(std::move(stored.folder))
    , m_timings(timings)
    , m_generator(generator)
    , m_role(chart)
    , m_now(now)
    , m_vote(std::move(stored.vote))
    , m_log(std::move(stored.snapshot), std::move(stored.entries), membersByName(names))
    , m_commit(m_log.snapshot().index)
    , m_durableIndex(m_log.lastIndex())
{
    resetStartupElectionTimer();
}

RaftActions RaftNode::receive(const RaftMessage &message, TimePoint now)
{
    m_now = now;
    if (message.receiver == m_self && !isFromWrongFolder(message))
        dispatch(message);
    return takeActions();
}

RaftActions RaftNode::tick(TimePoint now)
{
    m_now = now;
    if (isLeader()) {
        if (now >= m_heartbeatDue)
            fire("heartbeat_due");
        checkQuorum();
    } else if (now >= m_electionDue) {
        fire("election_timeout");
    }
    return takeActions();
}

RaftActions RaftNode::synced(WriteNumber write)
{
    m_syncedWrite = std::max(m_syncedWrite, write);
    while (!m_pendingLogWrites.empty() && m_pendingLogWrites.front().first <= write) {
        m_durableIndex = m_pendingLogWrites.front().second;
        m_pendingLogWrites.pop_front();
    }
    while (!m_deferredMessages.empty() && m_deferredMessages.front().write <= write) {
        const RaftMessage message = std::move(m_deferredMessages.front().message);
        m_deferredMessages.pop_front();
        send(message);
    }
    if (isLeader())
        advanceCommit();
    return takeActions();
}

RaftActions RaftNode::snapshotTaken(LogIndex index, std::string state)
{
    if (index > m_log.snapshot().index && index <= m_commit)
        installSnapshot({index, *m_log.termAt(index), m_log.membersAt(index), std::move(state)});
    return takeActions();
}

std::size_t RaftNode::uncommittedBytes() const
{
    std::size_t bytes = 0;
    for (LogIndex index = m_commit + 1; index <= m_log.lastIndex(); ++index)
        bytes += m_log.at(index).payload.size();
    return bytes;
}

RaftStatus RaftNode::status() const
{
    std::map<VmName, TimePoint> heard;
    for (const auto &[peer, progress] : m_progress)
        heard[peer] = progress.heard;
    return {m_leader,
            m_vote.term,
            m_log.lastIndex(),
            m_commit,
            m_log.snapshot().index,
            m_log.members(),
            m_refusedFolders,
            std::move(heard),
            isCurrent()};
}

// The leader's first own entry is committed after everything committed before its term.
bool RaftNode::isCurrent() const
{
    return !m_leader.isEmpty() && m_commit >= m_leaderCommit
            && m_log.termAt(m_commit) == m_vote.term;
}

TimePoint RaftNode::deadline() const
{
    return isLeader() ? m_heartbeatDue : m_electionDue;
}

// A VM that uses a member's name but has another data folder is not that member.
bool RaftNode::isFromWrongFolder(const RaftMessage &message)
{
    const bool isLearner = m_learner && m_learner->vm == message.sender
            && m_learner->folder == message.folder;
    if (isLearner || findFolderMismatch(m_log.members(), message) == nullptr) {
        m_refusedFolders.erase(message.sender);
        return false;
    }
    m_refusedFolders[message.sender] = message.folder;
    return true;
}

void RaftNode::dispatch(const RaftMessage &message)
{
    if (message.kind == RaftMessageKind::PreVote)
        return handlePreVote(message);
    if (message.kind == RaftMessageKind::Vote && message.term > m_vote.term && hasLeaderContact())
        return;
    const bool isPreVoteGranted = message.kind == RaftMessageKind::PreVoteReply
            && message.isGranted;
    if (message.term > m_vote.term && !isPreVoteGranted) {
        m_higherTerm = message.term;
        fire("higher_term");
    }
    if (rejectStaleTerm(message))
        return;
    switch (message.kind) {
    case RaftMessageKind::Vote:
        return handleVote(message);
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
        return handleVoteReply(message);
    case RaftMessageKind::Append:
        return handleAppend(message);
    case RaftMessageKind::Snapshot:
        return handleSnapshot(message);
    case RaftMessageKind::AppendReply:
    case RaftMessageKind::SnapshotReply:
        return handleAppendReply(message);
    case RaftMessageKind::PreVote:
        return;
    }
}

// Requests of an old term are answered, so that their sender learns the current one.
bool RaftNode::rejectStaleTerm(const RaftMessage &message)
{
    if (message.term >= m_vote.term)
        return false;
    if (message.kind == RaftMessageKind::Vote)
        refuse(message, RaftMessageKind::VoteReply);
    if (message.kind == RaftMessageKind::Append || message.kind == RaftMessageKind::Snapshot)
        refuse(message, RaftMessageKind::AppendReply);
    return true;
}

void RaftNode::refuse(const RaftMessage &message, RaftMessageKind kind)
{
    RaftMessage answer = messageTo(message.sender, kind);
    answer.lastIndex = m_commit;
    sendWhenSynced(std::move(answer));
}

void RaftNode::fire(const std::string &event)
{
    const ChartStep step = m_role.fire(event);
    if (!step.isTaken)
        return;
    if (step.from != step.to)
        m_actions.emplace_back(RoleChanged {step});
    for (const std::string &action : step.actions)
        perform(action, event);
}

void RaftNode::perform(const std::string &action, const std::string &event)
{
    static const std::map<std::string, void (RaftNode::*)()> handlers {
            {"reset_election_timer", &RaftNode::resetElectionTimer},
            {"adopt_term", &RaftNode::adoptTerm},
            {"ask_pre_votes", &RaftNode::askPreVotes},
            {"raise_term", &RaftNode::raiseTerm},
            {"ask_votes", &RaftNode::askVotes},
            {"append_barrier", &RaftNode::appendBarrier},
            {"send_heartbeats", &RaftNode::sendHeartbeats},
            {"record_leader", &RaftNode::recordLeader},
    };
    if (action == "record_stepped_down")
        return recordSteppedDown(event);
    (this->*handlers.at(action))();
}

void RaftNode::commitUpTo(LogIndex index)
{
    if (index <= m_commit)
        return;
    m_actions.emplace_back(ApplyCommitted {m_commit + 1, index});
    m_commit = index;
}

void RaftNode::append(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries)
        m_log.append(entry);
    m_actions.emplace_back(AppendEntries {++m_lastWrite, entries});
    m_pendingLogWrites.emplace_back(m_lastWrite, m_log.lastIndex());
}

void RaftNode::persistVote()
{
    m_actions.emplace_back(PersistVote {++m_lastWrite, m_vote});
}

void RaftNode::installSnapshot(LogSnapshot snapshot)
{
    m_log.install(std::move(snapshot));
    m_actions.emplace_back(InstallSnapshot {++m_lastWrite, m_log.snapshot(), m_vote, m_log.tail()});
    m_pendingLogWrites.emplace_back(m_lastWrite, m_log.lastIndex());
}

RaftMessage RaftNode::messageTo(const VmName &receiver, RaftMessageKind kind) const
{
    RaftMessage message;
    message.kind = kind;
    message.sender = m_self;
    message.receiver = receiver;
    message.folder = m_folder;
    message.term = m_vote.term;
    return message;
}

// A node's vote for itself is counted like any other, once it is durable.
void RaftNode::send(RaftMessage message)
{
    if (message.receiver == m_self)
        return dispatch(message);
    m_actions.emplace_back(SendMessage {std::move(message)});
}

void RaftNode::sendWhenSynced(RaftMessage message)
{
    if (m_lastWrite == m_syncedWrite)
        return send(std::move(message));
    m_deferredMessages.push_back({m_lastWrite, std::move(message)});
}

RaftActions RaftNode::takeActions()
{
    RaftActions actions = std::move(m_actions);
    m_actions.clear();
    return actions;
}

const ControlMember *RaftNode::findMember(const VmName &vm) const
{
    for (const ControlMember &member : m_log.members()) {
        if (member.vm == vm)
            return &member;
    }
    return nullptr;
}

bool RaftNode::areFoldersKnown() const
{
    const Members &members = m_log.members();
    return std::none_of(members.begin(), members.end(),
                        [](const ControlMember &member) { return member.folder.empty(); });
}

bool RaftNode::isVoter() const
{
    return matchesMember(m_self, m_folder);
}

bool RaftNode::matchesMember(const VmName &vm, const std::string &folder) const
{
    const ControlMember *member = findMember(vm);
    return member && (member->folder.empty() || member->folder == folder);
}

// Members known by name only must be unanimous. Otherwise VMs that lost their logs could start a
// second log beside a member that still has the first.
bool RaftNode::isQuorum(const std::set<VmName> &vms) const
{
    const Members &members = m_log.members();
    std::size_t count = 0;
    for (const ControlMember &member : members)
        count += vms.count(member.vm);
    return areFoldersKnown() ? count > members.size() / 2 : count == members.size();
}

std::vector<VmName> RaftNode::receivers() const
{
    std::vector<VmName> vms;
    for (const ControlMember &member : m_log.members()) {
        if (member.vm != m_self)
            vms.push_back(member.vm);
    }
    if (m_learner && !findMember(m_learner->vm))
        vms.push_back(m_learner->vm);
    return vms;
}

} // namespace nutmegtide
