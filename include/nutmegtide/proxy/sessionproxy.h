#pragma once

#include "nutmegtide/proxy/caplender.h"
#include "nutmegtide/proxy/connectionvouches.h"
#include "nutmegtide/proxy/homequeue.h"
#include "nutmegtide/proxy/pendingsessions.h"
#include "nutmegtide/proxy/positionproofs.h"
#include "nutmegtide/proxy/routeexplanation.h"
#include "nutmegtide/proxy/routetable.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/proxy/sessionproxydelegate.h"
#include "nutmegtide/proxy/sessiontimers.h"
#include "nutmegtide/session/sessionstatement.h"

#include <memory>
#include <set>

namespace nutmegtide {

// Serves the sessions of callers on borrowed connections to backend servers. It chooses the server
// of each statement, gets the proofs of position that reads need, retries what may be retried and
// decides what the caller is told. The class has no threads, sockets or clock: callers pass in
// events and the time, and actions are requested from SessionProxyDelegate.
//
// A statement outside a transaction borrows a connection for itself. BEGIN is answered immediately
// and sent with the transaction's first statement, so that a pause in between occupies no
// connection; from then on the transaction keeps its connection. A write is sent at most once,
// unless the server proved that it didn't run. A read may be sent again.
//
// The log of a server that serves a read must have reached a position from PositionProofs, which
// depends on the route: it covers every commit for Latest, and those older than the largest age
// otherwise. For OwnWrites it also covers the session's own commits.
//
//   SessionProxy proxy(delegate, failureDomain);
//   proxy.setRoutes(table);
//   proxy.openSession(1, DatabaseName("casks"), now);
//   proxy.receive(1, statement, now);
class SessionProxy
{
public:
    // The seed is for the choice of servers, so that processes choose differently.
    SessionProxy(SessionProxyDelegate &delegate, FailureDomain own, std::uint64_t seed = 0);

    // Sets the end of the startup phase, in which all other processes may have just started too. A
    // session that arrives before the first routes then waits for them, since its caller would only
    // find the other processes in the same state. Statements wait longer for a server than usual,
    // since the held-up work of all callers arrives at once and is soon done. Afterwards both are
    // refused as at any other time.
    void setStarting(TimePoint until) { m_startsUntil = until; }
    // Applies a configuration. Open transactions keep the route that they began with. Sessions whose
    // key the configuration removes or moves to another workspace end: idle ones at once, a running
    // statement is answered first, and an open transaction gets half of the revocation time.
    void setRoutes(std::shared_ptr<const RouteTable> routes, TimePoint now);
    // Sets from which latency objective on a route makes its service balanced; 0: none is.
    void setPatientObjective(std::chrono::milliseconds objective)
    {
        m_patientObjective = objective;
    }
    // Returns where reads of balanced services were sent.
    const ReadCounts &readCounts() const { return m_pool.readCounts(); }
    // Sets the time in which a removed key has to be out of use.
    void setRevocationTime(Duration time) { m_revocationTime = time; }
    // Replaces the known servers. Idle connections to removed or restarted ones are closed.
    void setServers(const std::vector<ServerRecord> &records, TimePoint now);
    // Sets how long a leaving server gets new work. After that only open transactions and proofs of
    // position go on there.
    void setLeaveTime(Duration time) { m_pool.setLeaveTime(time); }
    // Adds a position that another process got from a confirmed primary.
    void takeProof(const ServiceName &service, TimePoint askedAt, const LogPosition &position,
                   TimePoint now);
    // Sets the servers that the control log records. From then on a commit is answered once two
    // recorded servers are known to hold it.
    void setRecordedServers(std::set<ServerId> recorded);
    // From now on it isn't known which servers are recorded, so commits are answered at once.
    void forgetRecordedServers() { m_recorded.reset(); }
    // Whether control tells the open changes of primary, and what it told; see ConnectionVouches.
    void setChangesTold(bool isTold) { m_vouches.setTold(isTold); }
    void takeOpenChanges(const OpenChanges &changes, TimePoint now);
    // Returns whether the open changes have to be known for commits to be confirmed.
    bool needsOpenChanges(TimePoint now) const;
    // Returns the services with recent reads that allow bounded staleness.
    std::vector<ServiceName> agedServices(TimePoint now) const;
    // Sets the number of entry proxies that share the servers' connections.
    void setEntryCount(int count) { m_entryCount = count; }

    // Events of callers.
    void openSession(SessionKey key, const DatabaseName &database, const KeyDigest &credential,
                     TimePoint now);
    void receive(SessionKey key, const SessionStatement &statement, TimePoint now);
    void callerLeft(SessionKey key, TimePoint now);

    // Events of server connections.
    void opened(ConnectionKey key, bool isLane, TimePoint now);
    void refused(ConnectionKey key, StatementFault fault, TimePoint now);
    // Handles a finding about a server that its home reported.
    void noteServerEvidence(const ServerId &server, ServerEvidence evidence, TimePoint now);
    void replied(ConnectionKey key, const ServerReply &reply, TimePoint now);
    void lost(ConnectionKey key, Loss loss, TimePoint now);
    // Handles the announced end of a connection's path, such as a home that stops: the current user
    // of the connection keeps it, and nobody else gets it.
    void retire(ConnectionKey key, TimePoint now);

    // The answer to SessionProxyDelegate::borrow().
    void lent(const WorkspaceName &workspace, const CapLoan &loan, TimePoint now);

    // Runs everything that is due: timeouts, retries, probes and closing idle connections.
    void tick(TimePoint now);
    // Returns when tick() is due next.
    TimePoint wakeAt() const;

    // Ends each session as soon as it has no transaction open.
    void drain(TimePoint now);
    // Marks this process as cut off from other failure domains until resumeService(). Reads go on
    // at reachable servers while the proofs are recent enough. What needs the primary is refused
    // immediately, since it could not be acknowledged.
    void isolate() { m_isIsolated = true; }
    // Refuses new sessions until resumeService(), and ends the others when they have no transaction
    // open, because other processes can serve the callers better.
    void suspendService(TimePoint now);
    // Ends isolate() and suspendService(), and clears the servers' failures.
    void resumeService();
    // Ends the idle sessions, so that their callers reconnect, perhaps to another process.
    void endIdle(TimePoint now);
    // Returns whether servers of other failure domains fail and none of them has replied lately.
    bool isCutOff(TimePoint now) const { return m_pool.isCutOff(now); }
    // Refuses new sessions.
    void refuseSessions();
    // Ends the sessions with an open transaction that run no statement.
    void abortOpen(TimePoint now);
    // Answers all pending statements with a fault, as the last step of a planned stop.
    void abandonAll(TimePoint now);
    std::size_t sessionCount() const { return m_sessions.size(); }
    // Returns the primaries that currently fail, for the control VMs.
    std::vector<PrimaryComplaint> complaints(TimePoint now) const;
    // Returns whether at least one server of each configured service is known.
    bool knowsServers() const;
    // Returns where a request outside a transaction, of a new session, would go now.
    RouteAnswer explain(const RouteQuestion &question, TimePoint now) const;

private:
    // Interval of the checks of pooled connections.
    static constexpr Duration PoolInterval = 100ms;
    // Pause before the next attempt of a statement that no server could take.
    static constexpr Duration RetryPause = 30ms;
    static constexpr int MaxAttempts = 4; // of sending one statement

    // Stage of a statement.
    enum class Phase {
        Cap, // waits until its workspace may start another operation
        Proof, // waits for a proof of position
        Connection,
        Begin, // waits for the reply to its transaction's begin
        Answer,
        Confirm, // has run; waits until its commit is confirmed
        Pause, // waits before the next attempt
    };

    // The statement that a session is executing.
    struct Work
    {
        SessionStatement statement;
        Route route;
        Revision revision = 0;
        Phase phase = Phase::Connection;
        TimePoint arrivedAt;
        TimePoint sendDeadline; // when it fails if it was not sent
        TimePoint replyDeadline;
        TimePoint wakeAt;
        bool isWrite = false;
        // All known proofs are ahead of the servers, the primary included.
        bool isFreshProofNeeded = false;
        std::optional<ReadNeed> need;
        std::set<ServerId> tried;
        ServerId server;
        ConnectionKey connection = 0;
        int attempts = 0;
        std::optional<StatementFault> lastFault;
        SessionAnswer withheld; // in the phase Confirm
        TimePoint withheldAt;
    };

    struct Session
    {
        DatabaseName database;
        KeyDigest credential;
        WorkspaceName workspace; // empty where no key is needed
        // Its key was removed; it ends by then.
        std::optional<TimePoint> revokedBy;
        bool isCharged = false; // the current operation counts towards the workspace's cap
        SessionState image;
        TransactionState state = TransactionState::Idle;
        bool isReadOnly = false; // of the open transaction
        std::optional<Route> transactionRoute;
        Revision transactionRevision = 0;
        TimePoint begunAt;
        ConnectionKey pinned = 0;
        bool hasWritten = false; // in the open transaction
        std::map<ServiceName, ReadNeed> latestCommit; // latest commit of the session, by service
        std::optional<LogPosition> lastPosition; // log position last returned to the caller
        std::deque<SessionStatement> queue;
        std::optional<Work> work;
        TimePoint usedAt;
    };

    struct ProofState
    {
        std::set<SessionKey> waiting;
        bool isAsked = false;
        ConnectionKey connection = 0;
        TimePoint sentAt;
        // Time of the latest read that allowed bounded staleness.
        std::optional<TimePoint> agedReadAt;
        PositionProofs proofs;
    };

    struct ConfirmationState
    {
        CommitConfirmations commits;
        ConnectionKey connection = 0; // of the outstanding question; 0 while it waits for one
        bool isStalled = false; // no recorded replica could be asked for too long
    };

    // Callers (sessionproxy.cpp).
    void startSession(SessionKey key, const DatabaseName &database, const KeyDigest &credential,
                      TimePoint now);
    // Returns the workspace whose callers use the route with this key, an empty name where no key
    // is needed, and nothing for a key that may not use it.
    std::optional<WorkspaceName> authorize(const Route &route, const KeyDigest &credential) const;
    // Marks the sessions whose key was removed, and ends those that are idle.
    void revokeSessions(TimePoint now);
    // Ends revoked sessions whose time is over.
    void endRevoked(TimePoint now);
    // Ends the sessions that wait for the first routes and arrived before `queuedBefore`.
    void refusePendingSessions(TimePoint queuedBefore);
    void takeNext(SessionKey key, TimePoint now);
    void start(SessionKey key, const SessionStatement &statement, TimePoint now);
    bool answerLocally(SessionKey key, const SessionStatement &statement, TimePoint now);
    void begin(SessionKey key, const SessionStatement &statement, TimePoint now);
    void endWithoutServer(SessionKey key, const SessionStatement &statement, TimePoint now);
    void answerFault(SessionKey key, const SessionStatement &statement, StatementFault fault,
                     std::string detail, TimePoint now);
    void answerDone(SessionKey key, const SessionStatement &statement, TimePoint now);
    // Whether the session's key was removed and its time is over, or it has no transaction open.
    static bool isRevocationDue(const Session &session, TimePoint now);
    // Refuses the statement of a session whose key was removed, and ends the session.
    void answerRevoked(SessionKey key, const SessionStatement &statement, TimePoint now);
    void refuseKey(SessionKey key, const DatabaseName &database);
    void forgetSession(SessionKey key);
    void finish(SessionKey key, const SessionAnswer &answer, TimePoint now);
    void fail(SessionKey key, StatementFault fault, std::string_view reason, TimePoint now);
    void stopWaiting(SessionKey key, const Work &work);
    void unpin(SessionKey key, bool isRolledBack, TimePoint now);
    void startIdleTimer(SessionKey key, TimePoint now);
    void endInactive(TimePoint now, bool (*isOfKind)(const Session &));
    void endSessions(const std::vector<SessionKey> &sessions, TimePoint now);
    void onTimer(SessionKey key, TimePoint now);
    void note(SessionKey key, const Work &work, std::string_view step, std::string_view reason,
              TimePoint now);

    // Caps (sessioncaps.cpp).
    // Operations of one workspace that wait for a loan.
    struct CapQueue
    {
        std::deque<SessionKey> waiting;
        int asked = 0; // operations that the outstanding request is for
        // Operations that were lent for statements which then didn't run anywhere.
        int returned = 0;
        TimePoint returnedAt {};
        TimePoint refusedUntil {}; // no operation is asked for before
    };
    bool needsLoan(const Session &session) const;
    OperationCap capOf(const WorkspaceName &name) const;
    // Returns whether an operation that was lent and not used is left for the next statement.
    static bool hasReturnedLoan(const CapQueue &queue, TimePoint now);
    // Returns the reason if the next statement is refused without asking for an operation.
    static std::optional<std::string> capRefusal(const CapQueue &queue, TimePoint now);
    void charge(SessionKey key, TimePoint now);
    void startCharged(SessionKey key, TimePoint now);
    void returnLoan(SessionKey key, TimePoint now);
    void borrowForWaiting(const WorkspaceName &workspace);

    // Servers (sessionrouting.cpp, sessionreplies.cpp).
    void route(SessionKey key, TimePoint now);
    // Returns why a write would be refused immediately, if it would.
    std::optional<std::string_view> writeRefusal(const ServiceName &service, bool isInTransaction,
                                                 TimePoint now) const;
    // Returns the time since which a proof must have been requested for a read on the route; `from`
    // is the time of the read.
    static TimePoint coveredSince(const Route &route, TimePoint from, TimePoint now);
    bool findNeed(SessionKey key, TimePoint now);
    // Returns whether this VM is cut off from the service's primary, or none is known.
    bool isPrimaryCutOff(const ServiceName &service, TimePoint now) const;
    bool needsPrimary(const Session &session, const Work &work) const;
    void acquire(const Borrower &borrower, const ServerId &server, TimePoint now);
    void openIfWanted(const ServerId &server, const WorkspaceName &workspace, TimePoint now);
    void assignConnection(ConnectionKey connection, const Borrower &borrower, TimePoint now);
    void dispatch(SessionKey key, ConnectionKey connection, TimePoint now);
    void sendStatement(SessionKey key, TimePoint now);
    ServerCommand commandOf(const Session &session, const Work &work) const;
    void sendCommands(ConnectionKey key, const std::vector<ServerCommand> &commands,
                      const Urgency &urgency, TimePoint now);
    Urgency urgencyOf(const Session &session, const Work &work, TimePoint now) const;
    void release(ConnectionKey key, TimePoint now);
    bool isScarce(const ServerId &server) const;
    void drop(ConnectionKey key);
    void leaveQueue(const Borrower &borrower, const ServerId &server);
    void rerouteWaiting(const ServerId &server, std::optional<StatementFault> fault,
                        std::string_view reason, TimePoint now);
    void retryLater(SessionKey key, std::string_view reason, TimePoint now);
    void retryElsewhere(SessionKey key, std::string_view reason, TimePoint now);
    void handleReply(ConnectionKey key, const ServerReply &reply, TimePoint now);
    void takeReply(ConnectionKey key, const ServerReply &reply, TimePoint now);
    void onStatement(SessionKey key, const ServerReply &reply, TimePoint now);
    void onBegun(SessionKey key, const ServerReply &reply, TimePoint now);
    void onRefusal(SessionKey key, const ServerReply &reply, TimePoint now);
    void onOverdueReply(SessionKey key, TimePoint now);
    void onLoss(SessionKey key, TimePoint now);
    void noteAnswer(const ServerConnection &connection, const ServerReply &reply, TimePoint now);
    void reportShareChanges();
    void noteRunTime(SessionKey key, const ServerReply &reply);
    bool noteSuccess(Session &session, const Work &work, const ServerReply &reply, TimePoint now);
    void noteHeld(const Work &work, const ServerReply &reply);
    const PreparedStatement *preparedOf(const Session &session, const SessionStatement &s) const;

    // Waiting times (sessionwaits.cpp).
    // Returns the state of a statement that arrives now, with its deadlines.
    Work newWork(const Route &route, TimePoint now) const;
    void extendForPrimaryChange(Work &work, TimePoint now) const;
    // Returns whether the statement's deadline and attempts allow another attempt after a pause.
    static bool mayRetryLater(const Work &work, TimePoint now);

    // Explanations (sessionexplain.cpp).
    void explainRead(const Work &work, RouteExplanation &explanation, TimePoint now) const;
    void explainWrite(const Work &work, RouteExplanation &explanation, TimePoint now) const;
    // Explains a statement that no server can take now.
    static void explainWait(const Work &work, std::string_view reason,
                            RouteExplanation &explanation, TimePoint now);
    // Explains the refusals that don't depend on servers.
    void explainAdmission(const WorkspaceName &workspace, RouteExplanation &explanation,
                          TimePoint now) const;

    // Proofs of position (sessionproofs.cpp).
    // Finds the balanced services of the routes, and those of them whose proofs are wanted.
    void findBalancedServices();
    void askProof(const ServiceName &service, TimePoint now);
    void sendProof(const ServiceName &service, ConnectionKey connection, TimePoint now);
    void onProof(const ServiceName &service, const ServerReply &reply, TimePoint now);
    void proofFailed(const ServiceName &service, TimePoint now);
    void routeProved(const ServiceName &service, TimePoint now);

    // Confirmation of commits (sessionconfirmations.cpp).
    bool needsConfirmation(const ServiceName &service) const;
    void withhold(SessionKey key, const SessionAnswer &answer, bool isVouched, TimePoint now);
    void askConfirmation(const ServiceName &service, TimePoint now);
    void sendQuestion(const ServiceName &service, ConnectionKey connection, TimePoint now);
    void onConfirmation(ConnectionKey key, const ServiceName &service, const ServerReply &reply,
                        TimePoint now);
    std::optional<LogPosition> heldPosition(const ConfirmationQuestion &question,
                                            const ServerReply &reply);
    void questionFailed(const ServiceName &service, TimePoint now);
    void noteReplicated(const ServerId &server, const LogPosition &position, TimePoint now);
    void deliver(const std::vector<SessionKey> &sessions, TimePoint now);
    void failUnconfirmed(SessionKey key, TimePoint now);
    void tickConfirmations(TimePoint now);
    bool canAskReplica(const ServiceName &service, TimePoint now) const;
    bool isStalled(const ServiceName &service, TimePoint now) const;

    SessionProxyDelegate &m_delegate;
    std::shared_ptr<const RouteTable> m_routes;
    std::chrono::milliseconds m_patientObjective {0};
    std::set<ServiceName> m_balanced; // services whose servers are shared by load
    std::set<ServiceName> m_agedBalanced; // those of them with a route that accepts an age
    ServerPool m_pool;
    std::map<SessionKey, Session> m_sessions;
    PendingSessions m_pendingSessions;
    TimePoint m_startsUntil {};
    std::map<ServiceName, ProofState> m_proofs;
    // Unknown while control tells none, as one of an older version.
    std::optional<std::set<ServerId>> m_recorded;
    std::map<ServiceName, ConfirmationState> m_confirmations;
    ConnectionVouches m_vouches; // of direct connections; homes decide on those of lanes
    std::map<DatabaseName, AverageTime> m_runTimes; // run time of statements, by route
    SessionTimers m_timers;
    TimePoint m_poolDueAt;
    std::map<WorkspaceName, CapQueue> m_capQueues;
    std::set<SessionKey> m_revoked; // sessions whose key was removed
    Duration m_revocationTime = 2s;
    bool m_isDraining = false;
    bool m_refusesSessions = false;
    bool m_isIsolated = false;
    int m_entryCount = 0;
};

} // namespace nutmegtide
