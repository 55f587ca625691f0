#pragma once

#include "nutmegtide/proxy/homequeue.h"
#include "nutmegtide/proxy/positionproofs.h"
#include "nutmegtide/proxy/routetable.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/session/sessionstatement.h"

#include <memory>
#include <set>

namespace nutmegtide {

// What the proxy decided about one request, for the log.
struct RequestDecision
{
    RequestId request;
    SessionKey session = 0;
    DatabaseName database;
    StatementKind kind = StatementKind::Read;
    std::string_view step; // "answered", "sent_elsewhere", "refused"
    std::string_view reason;
    ServerId server;
    std::optional<StatementFault> fault;
    std::optional<LogPosition> needed; // the position that the server had to hold
    Duration neededAge {}; // since the primary's log held it
    Consistency consistency = Consistency::Latest; // of the route
    bool isPrimary = false; // the server leads, as far as is known
    Duration waited {}; // since the request came
    Revision revision = 0; // of the routes that it was served by
};

// What changed in the proxy's belief about a backend server, for the log.
struct ServerAssessment
{
    ServerId server;
    ServiceName service;
    std::string_view assessment; // "unreachable", "silent", "not_primary", "left", ...
    std::string_view reason;
};

// What the proxy wants done. Answers come back through the methods of SessionProxy, never from
// inside these calls.
class SessionProxyDelegate
{
public:
    virtual ~SessionProxyDelegate() = default;

    virtual void accept(SessionKey session) = 0;
    virtual void answer(SessionKey session, const RequestId &request,
                        const SessionAnswer &answer) = 0;
    // Ends a session, after an error of the whole session where one is given.
    virtual void end(SessionKey session, std::optional<StatementFault> fault) = 0;
    virtual void open(ConnectionKey connection, const ServerAnnouncement &server) = 0;
    virtual void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
                      const Urgency &urgency) = 0;
    virtual void close(ConnectionKey connection) = 0;
    virtual void requestDecided(const RequestDecision &decision) = 0;
    virtual void serverAssessed(const ServerAssessment &serverAssessment) = 0;
};

// A primary that this proxy can't use, for the control VMs.
struct PrimaryComplaint
{
    ServiceName service;
    ServerId server;
    std::chrono::milliseconds since {0};

    bool operator==(const PrimaryComplaint &) const = default;
};

// Serves the sessions of callers on borrowed connections to backend servers: where each statement
// goes, what must be proved first, what may be sent again, and what a caller is told.
// It has no thread, socket or clock: events and a time go in, calls of SessionProxyDelegate come out.
//
// A statement outside a transaction borrows a connection for itself. BEGIN is answered at once
// and sent with the transaction's first statement, so that a pause before it holds no connection;
// from then on the transaction keeps its connection. A write is sent at most once, unless the
// server proved that it didn't run. A read may be sent again.
//
// What a read must find in a server's log is a position from PositionProofs, by the route:
// every commit for Latest, those older than the largest age for the others, and the session's own.
//
//   SessionProxy proxy(outlet, failureDomain);
//   proxy.setRoutes(table);
//   proxy.openSession(1, DatabaseName("casks"), now);
//   proxy.receive(1, statement, now);
class SessionProxy
{
public:
    SessionProxy(SessionProxyDelegate &delegate, FailureDomain own);

    // Until then this process has just started, maybe with all others. A session that comes before
    // the first routes waits for them for a while, since its caller would only ask the others; and
    // statements wait for longer than usual, since all that was held up comes at once and is soon
    // worked off. Later, both are refused as at any other time.
    void setStarting(TimePoint until) { m_startsUntil = until; }
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    void setServers(const std::vector<ServerRecord> &records, TimePoint now);
    // A server that has been leaving for so long gets no new work; open transactions go on there.
    void setLeaveTime(Duration time) { m_pool.setLeaveTime(time); }
    // Takes in a position that another process got of a proved primary.
    void takeProof(const ServiceName &service, TimePoint askedAt, const LogPosition &position,
                   TimePoint now);
    // The services whose reads may have an age, and that were read lately.
    std::vector<ServiceName> agedServices(TimePoint now) const;
    // How many processes like this one share the servers' connections.
    void setEntryCount(int count) { m_entryCount = count; }

    // Events of callers.
    void openSession(SessionKey key, const DatabaseName &database, TimePoint now);
    void receive(SessionKey key, const SessionStatement &statement, TimePoint now);
    void callerLeft(SessionKey key, TimePoint now);

    // Events of connections.
    void opened(ConnectionKey key, bool isLane, TimePoint now);
    void refused(ConnectionKey key, StatementFault fault, TimePoint now);
    // What the home of a server found out about it.
    void noteServerEvidence(const ServerId &server, ServerEvidence evidence, TimePoint now);
    void replied(ConnectionKey key, const ServerReply &reply, TimePoint now);
    void lost(ConnectionKey key, Loss loss, TimePoint now);
    // The connection's way stops soon: what uses the connection goes on, and nothing else begins.
    void retire(ConnectionKey key, TimePoint now);

    void tick(TimePoint now);
    TimePoint wakeAt() const;

    // From now on sessions end where no transaction is open.
    void drain(TimePoint now);
    // Until resumeService(), this process is cut off from other failure domains. Reads go on at servers
    // within reach while what is proved is young enough; what only a primary can do is refused at
    // once, since it could not be acknowledged.
    void isolate() { m_isIsolated = true; }
    // Until resumeService(), callers are served better elsewhere: no session is taken, and the others
    // end where no transaction is open.
    void suspendService(TimePoint now);
    void resumeService();
    // Ends the sessions that have nothing open, so that their callers come back, maybe elsewhere.
    void endIdle(TimePoint now);
    // Servers of other failure domains fail, and none of them has answered lately.
    bool isCutOff(TimePoint now) const { return m_pool.isCutOff(now); }
    // Takes no further session.
    void refuseSessions();
    // Ends the transactions that are open and idle.
    void abortOpen(TimePoint now);
    // Answers all that is still waited for, as the last step of a planned stop.
    void abandonAll(TimePoint now);
    std::size_t sessionCount() const { return m_sessions.size(); }
    std::vector<PrimaryComplaint> complaints(TimePoint now) const;
    // A server of each of the services of the routes is known.
    bool knowsServers() const;

private:
    // Where a statement stands.
    enum class Phase {
        Proof, // waits for a position of a proved primary
        Connection,
        Begin, // waits for its transaction to be begun at the server
        Answer,
        Pause, // before the next try
    };

    // The statement that a session is busy with.
    struct Work
    {
        SessionStatement statement;
        Route route;
        Revision revision = 0;
        Phase phase = Phase::Connection;
        TimePoint arrivedAt;
        TimePoint sendDeadline; // while it isn't sent
        TimePoint replyDeadline;
        TimePoint wakeAt;
        bool isWrite = false;
        bool isFreshProofNeeded = false; // every position known is ahead of the servers
        std::optional<ReadNeed> need;
        std::set<ServerId> tried;
        ServerId server;
        ConnectionKey connection = 0;
        int attempts = 0;
        std::optional<StatementFault> lastFault;
    };

    struct Session
    {
        DatabaseName database;
        SessionState image;
        TransactionState state = TransactionState::Idle;
        bool isReadOnly = false; // the open transaction
        std::optional<Route> transactionRoute;
        Revision transactionRevision = 0;
        TimePoint begunAt;
        ConnectionKey pinned = 0;
        bool hasWritten = false; // in the open transaction
        std::map<ServiceName, ReadNeed> latestCommit; // the latest own commit
        std::optional<LogPosition> lastPosition; // as told to the caller
        std::deque<SessionStatement> queue;
        std::optional<Work> work;
        TimePoint usedAt;
        TimePoint timerAt;
        bool isTimed = false;
    };

    // A session that waits for the first routes.
    struct PendingSession
    {
        DatabaseName database;
        TimePoint queuedAt;
        std::deque<SessionStatement> queue;
    };

    struct ProofState
    {
        std::set<SessionKey> waiting;
        bool isAsked = false;
        ConnectionKey connection = 0;
        TimePoint sentAt;
        std::optional<TimePoint> agedReadAt; // the latest read that could have an age
        PositionProofs proofs;
    };

    // Callers' side (sessionproxy.cpp).
    void startSession(SessionKey key, const DatabaseName &database, TimePoint now);
    // Ends the sessions that wait for the first routes and came before then.
    void refusePendingSessions(TimePoint queuedBefore);
    void takeNext(SessionKey key, TimePoint now);
    void start(SessionKey key, const SessionStatement &statement, TimePoint now);
    bool answerLocally(SessionKey key, const SessionStatement &statement, TimePoint now);
    void begin(SessionKey key, const SessionStatement &statement, TimePoint now);
    void endWithoutServer(SessionKey key, const SessionStatement &statement, TimePoint now);
    void answerFault(SessionKey key, const SessionStatement &statement, StatementFault fault,
                     std::string detail, TimePoint now);
    void answerDone(SessionKey key, const SessionStatement &statement, TimePoint now);
    void finish(SessionKey key, const SessionAnswer &answer, TimePoint now);
    void fail(SessionKey key, StatementFault fault, std::string_view reason, TimePoint now);
    void stopWaiting(SessionKey key, const Work &work);
    void unpin(SessionKey key, bool isRolledBack, TimePoint now);
    void startIdleTimer(SessionKey key, TimePoint now);
    void endInactive(TimePoint now, bool (*isOfKind)(const Session &));
    void setTimer(SessionKey key, TimePoint moment);
    void clearTimer(SessionKey key);
    void onTimer(SessionKey key, TimePoint now);
    void note(SessionKey key, const Work &work, std::string_view step, std::string_view reason,
              TimePoint now);

    // Servers' side (sessionrouting.cpp).
    void route(SessionKey key, TimePoint now);
    void extendForPrimaryChange(Work &work, TimePoint now) const;
    bool findNeed(SessionKey key, TimePoint now);
    // Whether the service's primary can't be reached, or can't acknowledge, since this VM is cut off.
    bool isPrimaryCutOff(const ServiceName &service, TimePoint now) const;
    bool needsPrimary(const Session &session, const Work &work) const;
    void acquire(const Borrower &borrower, const ServerId &server, TimePoint now);
    void openIfWanted(const ServerId &server, TimePoint now);
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
    void onStatement(SessionKey key, const ServerReply &reply, TimePoint now);
    void onBegun(SessionKey key, const ServerReply &reply, TimePoint now);
    void onRefusal(SessionKey key, const ServerReply &reply, TimePoint now);
    void onOverdueReply(SessionKey key, TimePoint now);
    void onLoss(SessionKey key, TimePoint now);
    void noteRunTime(SessionKey key, const ServerReply &reply);
    void noteSuccess(Session &session, const Work &work, const ServerReply &reply, TimePoint now);
    void noteHeld(const Work &work, const ServerReply &reply);
    const PreparedStatement *preparedOf(const Session &session, const SessionStatement &s) const;

    // Proofs (sessionproofs.cpp).
    void askProof(const ServiceName &service, TimePoint now);
    void sendProof(const ServiceName &service, ConnectionKey connection, TimePoint now);
    void onProof(const ServiceName &service, const ServerReply &reply, TimePoint now);
    void proofFailed(const ServiceName &service, TimePoint now);
    void routeProved(const ServiceName &service, TimePoint now);

    SessionProxyDelegate &m_delegate;
    std::shared_ptr<const RouteTable> m_routes;
    ServerPool m_pool;
    std::map<SessionKey, Session> m_sessions;
    std::map<SessionKey, PendingSession> m_pendingSessions;
    TimePoint m_startsUntil {};
    std::map<ServiceName, ProofState> m_proofs;
    std::map<DatabaseName, AverageTime> m_runTimes; // of a statement, by its route
    std::set<std::pair<TimePoint, SessionKey>> m_timers;
    TimePoint m_poolDueAt;
    bool m_isDraining = false;
    bool m_refusesSessions = false;
    bool m_isIsolated = false;
    int m_entryCount = 0;
};

} // namespace nutmegtide
