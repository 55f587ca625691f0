// Caller side of SessionProxy: sessions, statements that need no server, and timers.
#include "nutmegtide/proxy/sessionproxy.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// Statements that a caller may send ahead of their answers.
constexpr std::size_t MaxQueuedStatements = 256;
// How long a session waits for the first routes.
constexpr Duration MaxRoutesWait = 1s;

} // namespace

SessionProxy::SessionProxy(SessionProxyDelegate &delegate, FailureDomain own, std::uint64_t seed)
    : m_delegate(delegate)
    , m_routes(std::make_shared<RouteTable>())
    , m_pool(std::move(own), seed)
{ }

void SessionProxy::setRoutes(std::shared_ptr<const RouteTable> routes, TimePoint now)
{
    m_routes = std::move(routes);
    findBalancedServices();
    m_vouches.setServices(m_routes->confirmedServices());
    revokeSessions(now);
    std::erase_if(m_capQueues, [](const auto &item) { return item.second.waiting.empty(); });
    std::erase_if(m_runTimes,
                  [this](const auto &item) { return m_routes->find(item.first) == nullptr; });
    for (auto &[key, pending] : m_pendingSessions.takeAll()) {
        startSession(key, pending.database, pending.credential, pending.queuedAt);
        for (const SessionStatement &statement : pending.queue)
            receive(key, statement, pending.queuedAt);
    }
}

void SessionProxy::setServers(const std::vector<ServerRecord> &records, TimePoint now)
{
    for (const ConnectionKey key : m_pool.setServers(records, now)) {
        const ServerConnection *connection = m_pool.connection(key);
        // A busy connection may still receive its reply, so only unused ones are closed.
        if (connection != nullptr && !connection->borrower && connection->expected.empty())
            drop(key);
    }
    m_poolDueAt = std::min(m_poolDueAt, now);
}

bool SessionProxy::knowsServers() const
{
    return std::all_of(m_routes->services.begin(), m_routes->services.end(),
                       [this](const auto &item) { return !m_pool.serversOf(item.first).empty(); });
}

void SessionProxy::receive(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    std::deque<SessionStatement> *queue = m_pendingSessions.queueOf(key);
    const auto found = m_sessions.find(key);
    if (queue == nullptr && found != m_sessions.end())
        queue = &found->second.queue;
    if (queue == nullptr)
        return;
    if (queue->size() >= MaxQueuedStatements) {
        m_delegate.end(key, StatementFault::TooLarge);
        callerLeft(key, now);
        return;
    }
    queue->push_back(statement);
    takeNext(key, now);
}

void SessionProxy::takeNext(SessionKey key, TimePoint now)
{
    const auto found = m_sessions.find(key);
    if (found == m_sessions.end() || found->second.work || found->second.queue.empty())
        return;
    const SessionStatement statement = std::move(found->second.queue.front());
    found->second.queue.pop_front();
    found->second.usedAt = now;
    start(key, statement, now);
}

void SessionProxy::start(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    m_timers.clear(key);
    if (isRevocationDue(m_sessions.at(key), now))
        return answerRevoked(key, statement, now);
    if (answerLocally(key, statement, now))
        return;
    Session &session = m_sessions.at(key);
    const bool isInTransaction = session.state == TransactionState::Open;
    const Route *current = m_routes->find(session.database);
    if (!isInTransaction && current == nullptr)
        return answerFault(key, statement, StatementFault::UnknownDatabase, "no such route", now);
    Work work = isInTransaction ? newWork(*session.transactionRoute, now) : newWork(*current, now);
    work.statement = statement;
    work.revision = isInTransaction ? session.transactionRevision : m_routes->revision;
    const PreparedStatement *prepared = preparedOf(session, statement);
    work.isWrite = statement.kind == StatementKind::Write || (prepared && prepared->isWrite);
    // An open transaction occupies a connection and has done work already, so it waits longer.
    if (session.pinned != 0)
        work.sendDeadline = now + work.route.latencyObjective;
    session.work = work;
    if (!isInTransaction)
        session.isCharged = false;
    if (needsLoan(session))
        return charge(key, now);
    route(key, now);
}

// Answers the statement if it needs no server. Returns whether it did.
bool SessionProxy::answerLocally(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    Session &session = m_sessions.at(key);
    const bool isEnd = statement.kind == StatementKind::Commit
            || statement.kind == StatementKind::Rollback;
    if (isEnd
        && (session.state != TransactionState::Open || statement.kind == StatementKind::Rollback)) {
        endWithoutServer(key, statement, now);
        return true;
    }
    if (session.state == TransactionState::Failed) {
        answerFault(key, statement, StatementFault::Malformed, "the transaction has failed", now);
        return true;
    }
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        begin(key, statement, now);
        return true;
    case StatementKind::SetValue:
        session.image.setValue(statement.name, statement.argument);
        answerDone(key, statement, now);
        return true;
    case StatementKind::Prepare:
        session.image.prepare(statement.name, {statement.preparesWrite, statement.argument});
        answerDone(key, statement, now);
        return true;
    case StatementKind::Deallocate:
        if (session.image.deallocate(statement.name)) {
            answerDone(key, statement, now);
        } else {
            answerFault(key, statement, StatementFault::UnknownStatement, "no such name", now);
        }
        return true;
    case StatementKind::Execute:
        if (session.image.findPrepared(statement.name) != nullptr)
            return false;
        answerFault(key, statement, StatementFault::UnknownStatement, "no such name", now);
        return true;
    default:
        return false;
    }
}

void SessionProxy::begin(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    Session &session = m_sessions.at(key);
    if (session.state == TransactionState::Open)
        return answerFault(key, statement, StatementFault::Malformed,
                           "a transaction is open already", now);
    const Route *route = m_routes->find(session.database);
    if (route == nullptr)
        return answerFault(key, statement, StatementFault::UnknownDatabase, "no such route", now);
    session.state = TransactionState::Open;
    session.isReadOnly = statement.kind == StatementKind::BeginReadOnly;
    session.transactionRoute = *route;
    session.transactionRevision = m_routes->revision;
    session.begunAt = now;
    session.isCharged = false;
    session.hasWritten = false;
    answerDone(key, statement, now);
}

// Ends a transaction that has failed, is rolled back or was never begun.
void SessionProxy::endWithoutServer(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    Session &session = m_sessions.at(key);
    const TransactionState before = session.state;
    if (session.pinned != 0)
        unpin(key, true, now);
    session.state = TransactionState::Idle;
    if (before == TransactionState::Idle)
        return answerFault(key, statement, StatementFault::Malformed, "no transaction is open", now);
    if (statement.kind == StatementKind::Commit)
        return answerFault(key, statement, StatementFault::Aborted, "rolled back", now);
    answerDone(key, statement, now);
}

void SessionProxy::answerFault(SessionKey key, const SessionStatement &statement,
                               StatementFault fault, std::string detail, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work work;
    work.statement = statement;
    work.arrivedAt = now;
    session.work = work;
    finish(key, {{}, fault, std::move(detail), session.state, session.lastPosition}, now);
}

void SessionProxy::answerDone(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    Session &session = m_sessions.at(key);
    m_delegate.answer(key, statement.request, {{}, {}, "", session.state, session.lastPosition});
    startIdleTimer(key, now);
    takeNext(key, now);
}

// Ends the session's current statement with an answer.
void SessionProxy::finish(SessionKey key, const SessionAnswer &answer, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work work = std::move(*session.work);
    session.work.reset();
    session.usedAt = now;
    m_timers.clear(key);
    work.lastFault = answer.fault;
    note(key, work, answer.fault ? "refused" : "answered", answer.detail, now);
    m_delegate.answer(key, work.statement.request, answer);
    startIdleTimer(key, now);
    const bool isEnding = m_isDraining || session.revokedBy;
    if (isEnding && session.state == TransactionState::Idle && session.queue.empty()) {
        m_delegate.end(key, std::nullopt);
        forgetSession(key);
        return;
    }
    takeNext(key, now);
}

// Ends the current statement with a fault that the proxy itself detected. An open transaction fails
// with it.
void SessionProxy::fail(SessionKey key, StatementFault fault, std::string_view reason, TimePoint now)
{
    Session &session = m_sessions.at(key);
    const bool wasNothingSent = session.pinned == 0 && session.work->attempts == 0;
    if (session.isCharged && wasNothingSent)
        returnLoan(key, now);
    if (session.pinned != 0)
        unpin(key, false, now);
    if (session.state == TransactionState::Open) {
        const bool isEnd = session.work->statement.kind == StatementKind::Commit;
        session.state = isEnd ? TransactionState::Idle : TransactionState::Failed;
    }
    finish(key, {{}, fault, std::string(reason), session.state, session.lastPosition}, now);
}

// Releases the connection that the transaction occupies.
void SessionProxy::unpin(SessionKey key, bool isRolledBack, TimePoint now)
{
    Session &session = m_sessions.at(key);
    const ConnectionKey connection = session.pinned;
    session.pinned = 0;
    ServerConnection *held = m_pool.connection(connection);
    if (held == nullptr)
        return;
    // Outstanding replies could be mistaken for replies to the connection's next borrower.
    if (!isRolledBack || !held->expected.empty())
        return drop(connection);
    held->borrower.reset();
    sendCommands(connection, {{ServerCommandKind::Rollback, {}, {}, "", "", false, 0}}, {}, now);
    held->expected.push_back(Expectation::Rollback);
}

// Removes an unsent statement from the queue it waits in.
void SessionProxy::stopWaiting(SessionKey key, const Work &work)
{
    if (work.phase == Phase::Connection)
        leaveQueue({key, {}, m_sessions.at(key).workspace}, work.server);
    if (work.phase == Phase::Cap)
        std::erase(m_capQueues[m_sessions.at(key).workspace].waiting, key);
    if (work.phase == Phase::Proof)
        m_proofs[work.route.service].waiting.erase(key);
    if (work.phase == Phase::Confirm)
        m_confirmations[work.route.service].commits.remove(key);
}

void SessionProxy::callerLeft(SessionKey key, TimePoint now)
{
    m_pendingSessions.remove(key);
    const auto found = m_sessions.find(key);
    if (found == m_sessions.end())
        return;
    Session &session = found->second;
    if (session.work) {
        const Work &work = *session.work;
        stopWaiting(key, work);
        // A running statement completes at the server, but its reply is discarded.
        if (work.connection != 0 && session.pinned == 0)
            drop(work.connection);
    }
    if (session.pinned != 0)
        unpin(key, true, now);
    forgetSession(key);
}

void SessionProxy::forgetSession(SessionKey key)
{
    m_timers.clear(key);
    m_revoked.erase(key);
    m_sessions.erase(key);
}

// Starts the timer that ends an open transaction without statements.
void SessionProxy::startIdleTimer(SessionKey key, TimePoint now)
{
    const bool isOpen = m_sessions.at(key).state == TransactionState::Open;
    if (isOpen && m_routes->idleTransactionTimeout.count() > 0)
        m_timers.set(key, now + m_routes->idleTransactionTimeout);
}

void SessionProxy::tick(TimePoint now)
{
    while (const auto key = m_timers.takeDue(now))
        onTimer(*key, now);
    tickConfirmations(now);
    if (now < m_poolDueAt)
        return;
    m_poolDueAt = now + PoolInterval;
    refusePendingSessions(now - MaxRoutesWait);
    endRevoked(now);
    m_pool.forgetRecovered();
    for (const ConnectionKey key : m_pool.silent(now)) {
        m_delegate.close(key);
        lost(key, Loss::Silent, now);
    }
    for (const ServerId &server : m_pool.serversToProbe(now)) {
        const ConnectionKey key = m_pool.add(server, {}, now);
        m_delegate.open(key, m_pool.find(server)->record.announcement, {});
    }
    for (const ServerId &server : m_pool.takePastLeaveTime(now))
        m_delegate.serverAssessed({server, m_pool.find(server)->record.announcement.service, "left",
                                   "its leave time has ended"});
    const auto isScarcePredicate = [this](const ServerId &server) { return isScarce(server); };
    for (const ConnectionKey key : m_pool.takeUnused(now, isScarcePredicate))
        drop(key);
}

TimePoint SessionProxy::wakeAt() const
{
    TimePoint wake = std::min(m_poolDueAt, m_timers.next().value_or(m_poolDueAt));
    for (const auto &[service, state] : m_confirmations)
        wake = std::min(wake, state.commits.dueAt().value_or(wake));
    return wake;
}

void SessionProxy::onTimer(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    if (!session.work) {
        // The transaction was idle for too long. The caller learns that with its next statement.
        if (session.pinned != 0)
            unpin(key, true, now);
        if (session.state == TransactionState::Open)
            session.state = TransactionState::Failed;
        return;
    }
    Work &work = *session.work;
    if (work.phase == Phase::Answer || work.phase == Phase::Begin)
        return onOverdueReply(key, now);
    stopWaiting(key, work);
    if (work.phase == Phase::Confirm)
        return failUnconfirmed(key, now);
    if (now >= work.sendDeadline || work.phase == Phase::Cap)
        return fail(key, work.lastFault.value_or(StatementFault::Busy), "not sent in time", now);
    route(key, now);
}

} // namespace nutmegtide
