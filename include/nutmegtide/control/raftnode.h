#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/charts/chart.h"
#include "nutmegtide/control/logstorage.h"
#include "nutmegtide/control/raftactions.h"
#include "nutmegtide/control/raftlog.h"
#include "nutmegtide/control/replicatedlog.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace nutmegtide {

// A change of the members of the control log can't be started now.
class MembershipError : public Error
{
public:
    using Error::Error;
};

// The timing of heartbeats and elections.
struct RaftTimings
{
    Duration heartbeatInterval = 100ms;
    Duration minElectionTimeout = 400ms;
    Duration maxElectionTimeout = 800ms;
    // Replaces the election timeout after a start, up to twice as long, until a leader is heard or
    // MaxStartupElections attempts have failed. 0: the usual election timeout is used.
    Duration startupElectionTimeout = 0ms;
};

// Returns equal texts for messages with the same effect; used by the state-space test.
std::string fingerprint(const RaftMessage &message);

// The state of a control VM, for status pages and tests.
struct RaftStatus
{
    VmName leader; // empty: none known
    RaftTerm term = 0;
    LogIndex last = 0; // of the last entry held
    LogIndex commit = 0; // of the last entry known to be committed
    LogIndex snapshot = 0; // of the last entry covered by the snapshot
    Members members;
    std::map<VmName, std::string> refusedFolders; // by VM whose folder isn't the member's
    std::map<VmName, TimePoint> heard; // when the leader last heard each peer; empty elsewhere
    // True if everything committed before the present leader's election, and everything that the
    // leader has announced as committed since, is committed here. Otherwise the state may be stale.
    bool isCurrent = false;
};

// The Raft protocol of one control VM, with pre-vote, check-quorum, snapshots and single-member
// changes. It has no thread, socket, file or clock: each input returns the actions to carry out,
// in order. A message that depends on a durable write is deferred until the write is synced.
//
// Before the first leader, members are known by name only, and an election needs the votes of all
// of them. The first leader's first entry records the id of each member's data folder. From then
// on a VM whose folder has another id doesn't count as that member, until it is removed and added
// again with its new id.
//
//   RaftNode node(VmName("c1"), storage.load(), names, chart, {}, std::minstd_rand(seed), now);
//   perform(node.tick(now)); // sends, writes, applies ...
//   perform(node.synced(lastWrite));
//   if (node.isLeader())
//       perform(node.propose({command}));
class RaftNode
{
public:
    // `names` are the first members, for a log that names none. `chart` must outlive the node.
    RaftNode(VmName self, StoredLog stored, const std::vector<VmName> &names, const Chart &chart,
             const RaftTimings &timings, std::minstd_rand generator, TimePoint now);

    // Handles a message from another control VM.
    RaftActions receive(const RaftMessage &message, TimePoint now);
    // Sends heartbeats or starts an election where that is due; see deadline().
    RaftActions tick(TimePoint now);
    // Sets the stamp of the messages sent from now on: a number that never decreases, such as a time.
    void setStamp(std::uint64_t stamp) { m_stamp = stamp; }
    // Reports that all disk actions up to `write` are durable.
    RaftActions synced(WriteNumber write);
    // Appends commands after lastIndex(), in order. Throws NotLeaderError.
    RaftActions propose(const std::vector<Command> &commands);
    // Compacts the log. `state` is the result of applying every entry up to `index` here.
    RaftActions snapshotTaken(LogIndex index, std::string state);
    // Brings a VM up to date, then makes it a member. A change is complete when its entry
    // is applied. Both functions throw NotLeaderError, and MembershipError if the change
    // isn't possible.
    RaftActions addMember(const ControlMember &member);
    RaftActions removeMember(const VmName &vm);

    bool isLeader() const { return m_role.state() == "leader"; }
    const std::string &role() const { return m_role.state(); }
    const VmName &leader() const { return m_leader; }
    const VmName &self() const { return m_self; }
    const std::string &folder() const { return m_folder; }
    RaftTerm term() const { return m_vote.term; }
    LogIndex lastIndex() const { return m_log.lastIndex(); }
    LogIndex commit() const { return m_commit; }
    // The size of the payloads of the entries that aren't known to be committed.
    std::size_t uncommittedBytes() const;
    const RaftLog &log() const { return m_log; }
    RaftStatus status() const;
    // Returns the highest stamp of which a quorum has shown that this node still led after it was
    // set; nullopt where it doesn't lead.
    std::optional<std::uint64_t> confirmedStamp() const;
    // The time at which tick() has something to do.
    TimePoint deadline() const;
    // Returns equal texts for nodes that behave alike from now on, with times relative to
    // the latest input; used by the state-space test.
    std::string fingerprint() const;

private:
    // The leader's view of one peer.
    struct Progress
    {
        LogIndex next = 1; // the next entry to send
        LogIndex match = 0; // the last entry known to be stored there
        TimePoint heard {};
        std::optional<TimePoint> snapshotSent; // while the answer to a snapshot is awaited
        std::uint64_t stamp = 0; // of the latest message that it answered
    };
    // A message to be sent once `write` is durable.
    struct DeferredMessage
    {
        WriteNumber write = 0;
        RaftMessage message;
    };

    // The role's chart and its actions.
    void fire(const std::string &event);
    void perform(const std::string &action, const std::string &event);
    void resetElectionTimer();
    // Uses the startup timeout while it applies, else the usual one.
    void resetStartupElectionTimer();
    static constexpr int MaxStartupElections = 10; // attempts with the startup timeout
    TimePoint randomDeadline(Duration shortest, Duration longest);
    void adoptTerm();
    void askPreVotes();
    void raiseTerm();
    void askVotes();
    void appendBarrier();
    void sendHeartbeats();
    void recordLeader();
    void recordSteppedDown(const std::string &event);

    bool isCurrent() const;

    // Elections.
    void handlePreVote(const RaftMessage &message);
    void handleVote(const RaftMessage &message);
    void handleVoteReply(const RaftMessage &message);
    void countVotes();
    bool isUpToDate(const RaftMessage &message) const;
    RaftMessage voteRequest(const VmName &receiver, RaftMessageKind kind, RaftTerm term) const;
    bool hasLeaderContact() const;

    // Following.
    void handleAppend(const RaftMessage &message);
    void storeEntries(const std::vector<LogEntry> &entries);
    void handleSnapshot(const RaftMessage &message);
    void recordLeaderContact(const RaftMessage &message);
    LogIndex refusalHint(const RaftMessage &message) const;

    // Leading.
    void replicate();
    void sendTo(const VmName &peer);
    void sendSnapshotTo(const VmName &peer, Progress &progress);
    void sendEmptyAppendTo(const VmName &peer);
    void handleAppendReply(const RaftMessage &message);
    void advanceCommit();
    void checkQuorum();
    void admitLearner();
    void appendMembers(const Members &members);
    void requireLeader() const;
    void requireCanChangeMembers() const;
    bool canChangeMembers() const;

    // Members.
    bool isVoter() const;
    bool areFoldersKnown() const;
    const ControlMember *findMember(const VmName &vm) const;
    bool matchesMember(const VmName &vm, const std::string &folder) const;
    bool isQuorum(const std::set<VmName> &vms) const;
    std::vector<VmName> receivers() const;

    void commitUpTo(LogIndex index);
    void append(const std::vector<LogEntry> &entries);
    void persistVote();
    void installSnapshot(LogSnapshot snapshot);
    RaftMessage messageTo(const VmName &receiver, RaftMessageKind kind) const;
    RaftMessage leaderMessageTo(const VmName &peer, RaftMessageKind kind) const;
    void refuse(const RaftMessage &message, RaftMessageKind kind);
    void dispatch(const RaftMessage &message);
    bool rejectStaleTerm(const RaftMessage &message);
    bool isFromWrongFolder(const RaftMessage &message);
    void send(RaftMessage message);
    void sendWhenSynced(RaftMessage message);
    RaftActions takeActions();

    VmName m_self;
    std::string m_folder;
    RaftTimings m_timings;
    std::minstd_rand m_generator;
    ChartInstance m_role;
    TimePoint m_now;
    std::uint64_t m_stamp = 0;
    TimePoint m_electionDue;
    int m_startupElectionsLeft = MaxStartupElections;
    TimePoint m_heartbeatDue;
    std::optional<TimePoint> m_lastLeaderContact;
    VoteRecord m_vote;
    RaftTerm m_higherTerm = 0; // the term that adoptTerm() takes over
    VmName m_leader;
    RaftLog m_log;
    LogIndex m_leaderCommit = 0; // the highest commit index that a leader has announced
    LogIndex m_commit = 0;
    std::map<VmName, std::string> m_votes; // granted now, with the folder's id
    std::map<VmName, Progress> m_progress; // used by the leader
    std::optional<ControlMember> m_learner; // being brought up to date to become a member
    std::map<VmName, std::string> m_refusedFolders;
    WriteNumber m_lastWrite = 0;
    WriteNumber m_syncedWrite = 0;
    std::deque<std::pair<WriteNumber, LogIndex>> m_pendingLogWrites; // last index after each write
    LogIndex m_durableIndex = 0; // the last entry that is durable here
    std::deque<DeferredMessage> m_deferredMessages;
    RaftActions m_actions;
};

} // namespace nutmegtide
