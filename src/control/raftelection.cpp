// RaftNode: elections.
#include "nutmegtide/control/raftnode.h"

namespace nutmegtide {

TimePoint RaftNode::randomDeadline(Duration shortest, Duration longest)
{
    const auto span = (longest - shortest).count();
    Duration extra {0};
    if (span > 0)
        extra = Duration(std::uniform_int_distribution<Duration::rep>(0, span)(m_generator));
    return m_now + shortest + extra;
}

void RaftNode::resetElectionTimer()
{
    m_electionDue = randomDeadline(m_timings.minElectionTimeout, m_timings.maxElectionTimeout);
}

// A process that has just started can't miss the heartbeats of a leader that it heard, so it may
// use a shorter timeout. If there is a leader, the VMs that hear it refuse the pre-vote, so an
// attempt costs only its messages.
void RaftNode::resetStartupElectionTimer()
{
    if (m_timings.startupElectionTimeout == Duration::zero() || m_startupElectionsLeft == 0)
        return resetElectionTimer();
    --m_startupElectionsLeft;
    m_electionDue = randomDeadline(m_timings.startupElectionTimeout,
                                   2 * m_timings.startupElectionTimeout);
}

void RaftNode::adoptTerm()
{
    m_vote = {m_higherTerm, {}};
    m_leader = {};
    m_votes.clear();
    persistVote();
}

void RaftNode::askPreVotes()
{
    resetStartupElectionTimer();
    m_leader = {};
    m_votes.clear();
    if (!isVoter())
        return;
    for (const VmName &peer : receivers())
        sendWhenSynced(voteRequest(peer, RaftMessageKind::PreVote, m_vote.term + 1));
    m_votes[m_self] = m_folder;
    countVotes();
}

void RaftNode::raiseTerm()
{
    resetStartupElectionTimer();
    m_votes.clear();
    m_vote = {m_vote.term + 1, m_self};
    persistVote();
}

void RaftNode::askVotes()
{
    for (const VmName &peer : receivers())
        sendWhenSynced(voteRequest(peer, RaftMessageKind::Vote, m_vote.term));
    RaftMessage own = messageTo(m_self, RaftMessageKind::VoteReply);
    own.isGranted = true;
    sendWhenSynced(std::move(own));
}

RaftMessage RaftNode::voteRequest(const VmName &receiver, RaftMessageKind kind, RaftTerm term) const
{
    RaftMessage message = messageTo(receiver, kind);
    message.term = term;
    message.lastIndex = m_log.lastIndex();
    message.lastTerm = m_log.lastTerm();
    return message;
}

bool RaftNode::isUpToDate(const RaftMessage &message) const
{
    if (message.lastTerm != m_log.lastTerm())
        return message.lastTerm > m_log.lastTerm();
    return message.lastIndex >= m_log.lastIndex();
}

bool RaftNode::hasLeaderContact() const
{
    if (isLeader())
        return true;
    return !m_leader.isEmpty() && m_lastLeaderContact
            && m_now - *m_lastLeaderContact < m_timings.minElectionTimeout;
}

// A granted pre-vote isn't binding, so nothing is persisted.
void RaftNode::handlePreVote(const RaftMessage &message)
{
    RaftMessage answer = messageTo(message.sender, RaftMessageKind::PreVoteReply);
    answer.isGranted = message.term > m_vote.term && isUpToDate(message) && !hasLeaderContact();
    if (answer.isGranted)
        answer.term = message.term;
    sendWhenSynced(std::move(answer));
}

void RaftNode::handleVote(const RaftMessage &message)
{
    const bool isFree = m_vote.votedFor.isEmpty() || m_vote.votedFor == message.sender;
    RaftMessage answer = messageTo(message.sender, RaftMessageKind::VoteReply);
    answer.isGranted = isFree && isUpToDate(message);
    if (answer.isGranted) {
        resetElectionTimer();
        if (m_vote.votedFor.isEmpty()) {
            m_vote.votedFor = message.sender;
            persistVote();
        }
    }
    sendWhenSynced(std::move(answer));
}

void RaftNode::handleVoteReply(const RaftMessage &message)
{
    const bool isPreVote = message.kind == RaftMessageKind::PreVoteReply;
    const RaftTerm term = isPreVote ? m_vote.term + 1 : m_vote.term;
    const bool isAsked = role() == (isPreVote ? "pre_candidate" : "candidate");
    if (!isAsked || !message.isGranted || message.term != term)
        return;
    if (!matchesMember(message.sender, message.folder))
        return;
    m_votes[message.sender] = message.folder;
    countVotes();
}

void RaftNode::countVotes()
{
    std::set<VmName> vms;
    for (const auto &[vm, folder] : m_votes)
        vms.insert(vm);
    if (isQuorum(vms))
        fire(role() == "candidate" ? "vote_won" : "pre_vote_won");
}

} // namespace nutmegtide
