#pragma once

#include "journal.h"
#include "logentry.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace nutmegtide::standin {

using ConnectionId = std::uint64_t;

// Where a replica replicates from.
struct ReplicationSource
{
    Term term = 0;
    Endpoint primary;

    bool operator==(const ReplicationSource &) const = default;
};

struct Probe
{
    std::uint64_t index = 0;
    bool isMatched = false; // the primary holds the same entry there
};

struct Delays
{
    std::chrono::milliseconds lag = std::chrono::milliseconds::zero(); // receipt to applied
    std::chrono::milliseconds ship = std::chrono::milliseconds::zero(); // sent to received
    bool isApplyStalled = false;
};

// The state of one backend server: its term and role, the log, the table, open
// transactions and the requests that ran. All members may be called from any
// thread; the time is passed in, since applying an entry depends on it.
//
//   StandinState state(nullptr, voters, ServerState::Ready);
//   state.startAsPrimary(Clock::now());
//   const ExecuteReply reply = state.execute(request, connection, Clock::now());
//
// A refused request throws RefusalError and has changed nothing.
class StandinState
{
public:
    // Takes up what the journal holds; nullptr keeps the state in memory only.
    StandinState(Journal *journal, std::vector<ServerId> voters, ServerState serverState);

    // Whether the journal held a term, so that this is a restart.
    bool isRestarted() const { return m_isRestarted; }
    Incarnation incarnation() const { return m_incarnation; }

    void startAsPrimary(TimePoint now); // of term 1
    void startAsReplica(const Endpoint &primary); // of term 1

    ExecuteReply execute(const ExecuteRequest &request, ConnectionId connection, TimePoint now);
    Term term() const;
    // Throws RefusalError when the term isn't the server's own.
    void checkTerm(Term term) const;
    void rollBackTransactionsOf(ConnectionId connection);

    FenceReply fence(const FenceRequest &request, TimePoint now);
    PromoteReply promote(const PromoteRequest &request, TimePoint now);
    FollowReply follow(const FollowRequest &request, TimePoint now);

    PositionReply position(TimePoint now);
    // Waits until the durable position is past the given one, the term isn't the given one or stop().
    PositionReply awaitPosition(std::optional<Term> term, const LogPosition &past,
                                std::chrono::milliseconds wait);
    RequestOutcome requestFate(const CallerId &caller, const RequestId &id) const;
    // Fills in all that the state knows: term, role, positions, state, voters.
    void describe(Announcement &announcement, TimePoint now);

    LogFeed feed(std::uint64_t afterIndex, std::chrono::milliseconds wait);
    std::optional<ReplicationSource> source() const;
    // Where to ask the primary's log; the index moves back while the logs differ.
    Probe probe() const;
    // Takes an answer of the primary. Ignored when the source has changed since.
    void receive(const ReplicationSource &source, LogFeed feed, TimePoint now);
    // Waits for the given time, or less when the source changes or on stop().
    void awaitSourceChange(const std::optional<ReplicationSource> &source,
                           std::chrono::milliseconds wait);

    std::vector<LogEntry> log() const;
    Delays delays() const;
    void setDelays(const Delays &delays);
    void setServerState(ServerState serverState);
    // Called after each change of role, term or state, with the state locked.
    void setChangeHook(std::function<void()> hook);
    // Ends every wait.
    void stop();

private:
    struct Transaction
    {
        ConnectionId connection = 0;
        Table changes;
        Table reads;
    };
    using RequestKey = std::pair<CallerId, RequestId>;

    [[noreturn]] void refuse(int status, const std::string &type, const std::string &message) const;
    void checkTermLocked(Term term) const;
    std::optional<ExecuteReply> replay(const ExecuteRequest &request, std::uint64_t hash) const;
    Json runInTransaction(const ExecuteRequest &request, ConnectionId connection);
    void begin(const ExecuteRequest &request, ConnectionId connection);
    Transaction &transactionOf(const ExecuteRequest &request, ConnectionId connection);
    void checkReads(const Transaction &transaction) const;
    LogPosition write(const ExecuteRequest &request, std::uint64_t hash, Table changes, Json result,
                      TimePoint now);
    ExecuteReply reply(const ExecuteRequest &request, const LogPosition &position,
                       Json result) const;

    void reload(const std::vector<Json> &records);
    void writeBarrier(TimePoint now);
    void append(LogEntry entry);
    void keep(LogEntry entry);
    // Cuts off what stands at the entry's index and after it, then appends the entry.
    void replaceFrom(LogEntry entry, TimePoint now);
    void cutAfter(std::uint64_t index);
    void applyTo(std::uint64_t index);
    void advance(TimePoint now);
    void takeTerm(Term term, const std::vector<ServerId> &voters);
    void saveTerm();
    void reportChange();
    bool hasEntryOf(Term term) const;
    LogPosition positionAt(std::uint64_t index) const;
    PositionReply positionLocked(TimePoint now);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Journal *m_journal;
    bool m_isRestarted = false;
    bool m_isStopped = false;
    Incarnation m_incarnation = 0;
    Term m_term = 0;
    ServerRole m_role = ServerRole::Replica;
    ServerState m_serverState;
    std::vector<ServerId> m_voters;
    LogPosition m_barrier;
    std::vector<LogEntry> m_log;
    std::uint64_t m_appliedIndex = 0;
    Probe m_probe;
    Table m_table;
    std::map<RequestKey, std::uint64_t> m_requests; // to the index of the entry
    std::map<TransactionId, Transaction> m_transactions;
    std::optional<ReplicationSource> m_source;
    Delays m_delays;
    std::function<void()> m_changeHook;
};

} // namespace nutmegtide::standin
