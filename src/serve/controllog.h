#pragma once

#include "control/filelogstorage.h"
#include "control/posixdisk.h"
#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/control/raftnode.h"
#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/control/snapshotschedule.h"
#include "nutmegtide/events/recorder.h"
#include "nutmegtide/settings/nodesettings.h"
#include "serve/directory.h"
#include "serve/logwriter.h"
#include "serve/raftsender.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace nutmegtide {

// The control log of a control VM: one thread drives a RaftNode, its disk and
// the state machines; messages leave through a thread for each peer.
//
//   ControlLog log(settings, directory, peers, recorder);
//   log.registerMachine(CommandKind::Config, configMachine);
//   log.start();
//   const std::uint64_t index = log.propose({CommandKind::Config, payload}, 2s);
//
// State machines are called on the log's thread: they must not propose, and they
// guard their own state against readers on other threads.
class ControlLog : public ReplicatedLog
{
public:
    ControlLog(const NodeSettings &settings, const Directory &directory, PeerClients &peers,
               Recorder &recorder, const RaftTimings &timings = {});
    ~ControlLog() override;
    ControlLog(const ControlLog &) = delete;
    ControlLog &operator=(const ControlLog &) = delete;

    // Before start(). The machine must outlive the log.
    void registerMachine(CommandKind kind, StateMachine &machine);
    // Throws LogStorageError; LogCorruptError for a log that was altered.
    void start();
    void stop();
    // Takes the messages of other control VMs. Throws MessageError, and FolderMismatchError
    // for a sender whose data folder isn't the member's.
    void receive(const std::vector<wire::RaftMessage> &messages);

    bool isLeader() const override;
    VmName leader() const override;
    std::uint64_t propose(const Command &command, std::chrono::milliseconds timeout) override;
    // Both return once the change is under way. They throw NotLeaderError, MembershipError
    // and ProposalUnknownError.
    void addMember(const ControlMember &member);
    void removeMember(const VmName &vm);
    RaftStatus status() const;
    // Returns the latest time, by bootTime(), at which a majority of the control VMs is known to
    // have followed this one; nullopt where it doesn't lead.
    std::optional<TimePoint> leadProvedAt() const;
    // The id of the data folder, after start().
    const std::string &folder() const { return m_folder; }
    // The VMs that refuse this one's data folder, each with the reason.
    std::map<VmName, std::string> folderRefusals() const;

private:
    struct Proposal
    {
        Command command;
        std::promise<std::uint64_t> result;
    };
    struct Waiter
    {
        RaftTerm term = 0;
        std::promise<std::uint64_t> result;
    };
    struct CapturedState
    {
        LogIndex index = 0;
        std::string state;
    };
    using Input = std::function<void()>;
    using WaiterIterator = std::map<LogIndex, Waiter>::iterator;

    void run();
    void post(Input input);
    void changeMembers(std::function<RaftActions()> change);
    void takeProposals(std::vector<Proposal> proposals);
    // Refuses the proposals that would make the uncommitted entries too large; returns the others.
    std::vector<Proposal> admit(std::vector<Proposal> proposals);
    void publish();
    std::optional<FolderMismatchError> folderRefusal(const RaftMessage &message) const;
    void noteFolderAnswer(const VmName &peer, const std::optional<FolderMismatchError> &refusal);

    // What is done for each action of RaftNode.
    void perform(const RaftActions &actions);
    void perform(const PersistVote &action) { m_writer->add(action); }
    void perform(const AppendEntries &action) { m_writer->add(action); }
    void perform(const TruncateFrom &action) { m_writer->add(action); }
    void perform(const InstallSnapshot &action) { m_writer->add(action); }
    void perform(const SendMessage &action);
    void perform(const ApplyCommitted &action);
    void perform(const RestoreState &action);
    void perform(const BecameLeader &action);
    void perform(const SteppedDown &action);
    void perform(const RoleChanged &action);

    void flushWrites();
    void apply(const LogEntry &entry);
    void settleWaiter(const LogEntry &entry);
    // Takes and stores snapshots where the schedule says so.
    void maintainSnapshots();
    void captureState();
    void storeCapturedState();
    std::string machineStates() const;
    void restoreMachines(const std::string &state);
    void failWaiters(WaiterIterator first, WaiterIterator last, const std::exception_ptr &fault);
    void failAll(const std::string &reason);

    const NodeSettings &m_settings;
    const Directory &m_directory;
    PeerClients &m_peers;
    Recorder &m_recorder;
    const RaftTimings m_timings;
    const ChartLibrary m_charts;
    std::map<CommandKind, StateMachine *> m_machines;

    std::string m_folder;

    // Only the log's thread uses these after start().
    std::unique_ptr<PosixDisk> m_disk;
    std::unique_ptr<FileLogStorage> m_store;
    std::unique_ptr<LogWriter> m_writer;
    std::unique_ptr<RaftNode> m_node;
    LogIndex m_applied = 0;
    SnapshotSchedule m_snapshots;
    std::optional<CapturedState> m_captured; // not stored yet
    std::map<LogIndex, Waiter> m_waiters;
    std::map<VmName, std::unique_ptr<RaftSender>> m_senders;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Input> m_inputs;
    std::vector<Proposal> m_proposals;
    RaftStatus m_status;
    std::map<VmName, std::string> m_folderRefusals;
    bool m_isLeader = false;
    std::optional<TimePoint> m_leadProvedAt;
    bool m_isStopping = false;
    bool m_isStopped = true;
    std::thread m_thread;
};

} // namespace nutmegtide
