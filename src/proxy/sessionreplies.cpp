// Part of SessionProxy that handles replies, refusals and lost connections.
#include "nutmegtide/proxy/sessionproxy.h"

#include <algorithm>

namespace nutmegtide {

void SessionProxy::opened(ConnectionKey key, bool isLane, TimePoint now)
{
    ServerConnection *connection = m_pool.connection(key);
    if (connection == nullptr)
        return;
    connection->isLane = isLane;
    m_pool.opened(key, now);
    if (!isLane)
        m_vouches.opened(key,
                         {connection->server,
                          m_pool.find(connection->server)->record.announcement.service},
                         now);
    release(key, now);
}

void SessionProxy::noteServerEvidence(const ServerId &server, ServerEvidence evidence, TimePoint now)
{
    const PooledServer *state = m_pool.find(server);
    if (state == nullptr)
        return;
    if (evidence == ServerEvidence::WrongAddress)
        m_pool.noteWrongAddress(server);
    else
        m_pool.noteFailure(server, now);
    m_delegate.serverAssessed({server, state->record.announcement.service, "failing",
                               evidence == ServerEvidence::Silent ? "no reply to its home"
                                                                  : "its home can't connect"});
}

void SessionProxy::refused(ConnectionKey key, StatementFault fault, TimePoint now)
{
    ServerConnection *connection = m_pool.connection(key);
    if (connection == nullptr)
        return;
    const ServerId server = connection->server;
    m_pool.remove(key);
    m_delegate.close(key);
    if (isCapacityRefusal(fault)) {
        m_pool.noteConnectionLimit(server, now);
    } else if (fault == StatementFault::Misrouted) {
        m_pool.noteWrongAddress(server);
    } else {
        m_pool.noteFailure(server, now);
    }
    m_delegate.serverAssessed({server, m_pool.find(server)->record.announcement.service,
                               "refuses_connections", toString(fault)});
    const bool hasWrongAddress = fault == StatementFault::Misrouted;
    rerouteWaiting(server, hasWrongAddress ? StatementFault::Busy : fault, "no connection is taken",
                   now);
}

// Routes the statements that wait for a connection to the server again, since none is being opened.
// Those that need the primary keep waiting if another connection to it may become free.
void SessionProxy::rerouteWaiting(const ServerId &server, std::optional<StatementFault> fault,
                                  std::string_view reason, TimePoint now)
{
    const bool mayBecomeFree = !m_pool.find(server)->connections.empty();
    const std::deque<Borrower> waiting = m_pool.find(server)->waiting;
    for (const Borrower &borrower : waiting) {
        if (borrower.isConfirmation) {
            leaveQueue(borrower, server);
            questionFailed(borrower.proofOf, now);
            continue;
        }
        const bool isProof = borrower.session == 0;
        Work *work = isProof ? nullptr : &*m_sessions.at(borrower.session).work;
        const bool needsThisServer = isProof
                || needsPrimary(m_sessions.at(borrower.session), *work);
        if (needsThisServer && mayBecomeFree)
            continue;
        leaveQueue(borrower, server);
        if (isProof) {
            proofFailed(borrower.proofOf, now);
            continue;
        }
        if (fault)
            work->lastFault = fault;
        if (needsThisServer) {
            retryLater(borrower.session, reason, now);
        } else {
            retryElsewhere(borrower.session, reason, now);
        }
    }
}

void SessionProxy::lost(ConnectionKey key, Loss loss, TimePoint now)
{
    ServerConnection *connection = m_pool.connection(key);
    if (connection == nullptr)
        return;
    const ServerId server = connection->server;
    const bool wasOpen = connection->isOpen;
    const bool wasBusy = !connection->expected.empty();
    const bool wasProof = std::count(connection->expected.begin(), connection->expected.end(),
                                     Expectation::Proof)
            != 0;
    const ServiceName service = m_pool.find(server)->record.announcement.service;
    // A server whose slots are all busy doesn't accept new connections either. Whether a server
    // that is silent on a lane is alive is for its home to decide, which gets all its replies.
    const bool isOverloaded = loss == Loss::Silent
            && (connection->isLane || m_pool.hasAnsweredSince(server, connection->sentAt));
    const std::optional<Borrower> borrower = m_pool.remove(key);
    m_vouches.closed(key);
    if (loss == Loss::HomeLost) {
        m_delegate.serverAssessed({server, service, "home_lost", "the home is lost"});
    } else if (isOverloaded) {
        m_pool.noteOverload(server, now);
        m_delegate.serverAssessed({server, service, "overloaded", "silent"});
    } else if (!wasOpen || wasBusy) {
        m_pool.noteFailure(server, now);
        m_delegate.serverAssessed(
                {server, service, "failing",
                 loss == Loss::Refused ? "refused" : (loss == Loss::Silent ? "silent" : "closed")});
    }
    if (wasProof)
        proofFailed(service, now);
    const auto confirmations = m_confirmations.find(service);
    if (confirmations != m_confirmations.end() && confirmations->second.connection == key)
        questionFailed(service, now);
    if (borrower && borrower->session != 0)
        onLoss(borrower->session, now);
    PooledServer &state = *m_pool.find(server);
    if (wasOpen || state.opening > 0)
        return;
    rerouteWaiting(server, std::nullopt, "the server can't be reached", now);
}

void SessionProxy::onLoss(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    session.pinned = 0;
    const bool isInTransaction = session.state == TransactionState::Open;
    if (!session.work) {
        if (isInTransaction)
            session.state = TransactionState::Failed;
        return;
    }
    Work &work = *session.work;
    work.connection = 0;
    if (work.phase == Phase::Begin)
        return retryElsewhere(key, "the connection was lost before the transaction began", now);
    if (work.statement.kind == StatementKind::Commit)
        return fail(key, StatementFault::OutcomeUnknown, "no answer to the commit", now);
    // A lost connection rolls back its transaction, and no commit was sent.
    if (isInTransaction)
        return fail(key, StatementFault::Aborted, "the transaction's connection was lost", now);
    if (work.isWrite)
        return fail(key, StatementFault::OutcomeUnknown, "no answer to the write", now);
    retryElsewhere(key, "the connection was lost", now);
}

// Handles a reply that is overdue.
void SessionProxy::onOverdueReply(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    const Work &work = *session.work;
    const bool mayGoElsewhere = session.state != TransactionState::Open && !work.isWrite;
    if (work.phase == Phase::Answer && !mayGoElsewhere && now < work.replyDeadline) {
        // Only the reply tells the outcome, so the session waits for it until the timeout.
        if (m_pool.primary(work.route.service, now) == work.server) {
            m_pool.noteUnansweredWrite(work.server, m_pool.connection(work.connection)->sentAt);
            m_delegate.serverAssessed(
                    {work.server, work.route.service, "stuck", "a write has no answer"});
        }
        return m_timers.set(key, work.replyDeadline);
    }
    const ConnectionKey connection = session.work->connection != 0 ? session.work->connection
                                                                   : session.pinned;
    const ServerConnection *held = m_pool.connection(connection);
    if (held == nullptr)
        return onLoss(key, now);
    m_delegate.close(connection);
    lost(connection, Loss::Silent, now);
}

void SessionProxy::replied(ConnectionKey key, const ServerReply &reply, TimePoint now)
{
    const ServerConnection *connection = m_pool.connection(key);
    if (connection == nullptr)
        return;
    if (connection->isLane || m_vouches.takeReply(key, connection->sentAt, now))
        return handleReply(key, reply, now);
    ServerReply unvouched = reply;
    unvouched.isVouched = false;
    handleReply(key, unvouched, now);
}

void SessionProxy::handleReply(ConnectionKey key, const ServerReply &reply, TimePoint now)
{
    const ServerId server = m_pool.connection(key)->server;
    takeReply(key, reply, now);
    if (reply.position && reply.isVouched)
        noteReplicated(server, *reply.position, now);
}

void SessionProxy::takeReply(ConnectionKey key, const ServerReply &reply, TimePoint now)
{
    ServerConnection *connection = m_pool.connection(key);
    connection->usedAt = now;
    m_pool.noteAlive(connection->server, now);
    if (connection->expected.empty())
        return lost(key, Loss::Closed, now);
    const Expectation expectation = connection->expected.front();
    // Without the server's proof this may not be the reply to the caller's statement.
    const bool lacksProof = !reply.fault && reply.detail.empty();
    if (expectation == Expectation::Statement && lacksProof) {
        m_delegate.close(key);
        return lost(key, Loss::Closed, now);
    }
    connection->expected.pop_front();
    const std::optional<Borrower> borrower = connection->borrower;
    switch (expectation) {
    case Expectation::Restore:
        if (reply.fault) {
            m_delegate.close(key);
            lost(key, Loss::Closed, now);
        }
        return;
    case Expectation::Begin:
        if (borrower)
            onBegun(borrower->session, reply, now);
        return;
    case Expectation::Statement:
        --m_pool.find(connection->server)->running;
        noteAnswer(*connection, reply, now);
        m_pool.clearUnansweredWrite(connection->server);
        if (!borrower)
            return;
        noteRunTime(borrower->session, reply);
        return onStatement(borrower->session, reply, now);
    case Expectation::Rollback:
        if (borrower)
            return; // the reply belongs to a proof of position or a question for a commit
        if (reply.state != TransactionState::Idle)
            return drop(key);
        return release(key, now);
    case Expectation::Proof:
        if (borrower)
            onProof(borrower->proofOf, reply, now);
        return;
    case Expectation::Confirmation:
        if (borrower)
            onConfirmation(key, borrower->proofOf, reply, now);
        return;
    }
}

void SessionProxy::noteAnswer(const ServerConnection &connection, const ServerReply &reply,
                              TimePoint now)
{
    const Duration time = now - connection.sentAt;
    const ServiceName &service = m_pool.find(connection.server)->record.announcement.service;
    if (m_balanced.count(service) == 0)
        return m_pool.noteAnswer(connection.server, time);
    if (!m_pool.noteBalancedAnswer(connection.server, time, reply, now))
        m_delegate.serverAssessed({connection.server, service, "false_report",
                                   "its home reports an impossible wait"});
}

void SessionProxy::onBegun(SessionKey key, const ServerReply &reply, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    if (reply.fault) {
        const ConnectionKey connection = session.pinned;
        session.pinned = 0;
        work.connection = 0;
        work.server = m_pool.connection(connection)->server;
        release(connection, now);
        return onRefusal(key, reply, now);
    }
    if (!session.isReadOnly && reply.position) {
        m_proofs[work.route.service].proofs.add(m_pool.connection(session.pinned)->sentAt,
                                                *reply.position);
        routeProved(work.route.service, now);
    }
    sendStatement(key, now);
}

void SessionProxy::onStatement(SessionKey key, const ServerReply &reply, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    const ConnectionKey connection = work.connection;
    const bool isInTransaction = session.state == TransactionState::Open;
    const bool isCommit = work.statement.kind == StatementKind::Commit;
    if (reply.fault == StatementFault::UnknownStatement)
        m_pool.connection(connection)->image.forgetPrepared();
    if (reply.fault && !isInTransaction) {
        work.connection = 0;
        release(connection, now);
        return onRefusal(key, reply, now);
    }
    const bool isOwnCommit = !reply.fault && noteSuccess(session, work, reply, now);
    if (reply.fault == StatementFault::Busy && reply.state == TransactionState::Open) {
        work.lastFault = reply.fault;
        return retryLater(key, "the server is busy", now);
    }
    if (isInTransaction && isCommit) {
        const bool isOver = reply.state == TransactionState::Idle;
        session.pinned = 0;
        session.state = TransactionState::Idle;
        if (isOver) {
            release(connection, now);
        } else {
            drop(connection);
        }
        if (reply.fault && provesNotExecuted(*reply.fault))
            return finish(key,
                          {{},
                           StatementFault::Aborted,
                           reply.detail,
                           TransactionState::Idle,
                           session.lastPosition},
                          now);
    } else if (isInTransaction && reply.fault) {
        // The transaction can only be rolled back now, at the server as in the session.
        unpin(key, true, now);
        session.state = TransactionState::Failed;
    } else if (!isInTransaction) {
        work.connection = 0;
        release(connection, now);
    }
    const SessionAnswer answer {reply.rows, reply.fault, reply.detail, session.state,
                                reply.position};
    if (isOwnCommit && needsConfirmation(work.route.service))
        return withhold(key, answer, reply.isVouched, now);
    session.lastPosition = reply.position;
    finish(key, answer, now);
}

// Records how long the statement ran. Statements of one route take about the same time on any
// server.
void SessionProxy::noteRunTime(SessionKey key, const ServerReply &reply)
{
    if (!reply.fault && reply.ran > Duration())
        m_runTimes[m_sessions.at(key).work->route.database].note(reply.ran);
}

// Updates the session and the proofs after a success. Returns whether it committed a write.
bool SessionProxy::noteSuccess(Session &session, const Work &work, const ServerReply &reply,
                               TimePoint now)
{
    if (!reply.position)
        return false;
    noteHeld(work, reply);
    const bool isInTransaction = session.state == TransactionState::Open;
    const bool isCommit = work.statement.kind == StatementKind::Commit;
    if (isInTransaction && work.isWrite)
        session.hasWritten = true;
    const bool isOwnCommit = isCommit ? session.hasWritten : (work.isWrite && !isInTransaction);
    if (!isOwnCommit)
        return false;
    ReadNeed &latestCommit = session.latestCommit[work.route.service];
    if (*reply.position > latestCommit.position)
        latestCommit = {*reply.position, now};
    const ServerConnection *connection = m_pool.connection(work.connection);
    m_proofs[work.route.service].proofs.add(connection->sentAt, *reply.position);
    return true;
}

void SessionProxy::noteHeld(const Work &work, const ServerReply &reply)
{
    const ServerConnection *connection = m_pool.connection(work.connection);
    if (work.need && connection != nullptr)
        m_pool.noteHeld(connection->server, *reply.position, *work.need, connection->sentAt);
}

// Handles a server's refusal of a statement outside a transaction, or of a transaction's begin.
void SessionProxy::onRefusal(SessionKey key, const ServerReply &reply, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    const StatementFault fault = *reply.fault;
    work.lastFault = fault;
    const bool isForPrimary = needsPrimary(session, work);
    switch (fault) {
    case StatementFault::Lagging:
        if (work.need)
            m_pool.noteMissing(work.server, *work.need, now);
        if (m_pool.primary(work.route.service, now) == work.server)
            work.isFreshProofNeeded = true;
        return retryElsewhere(key, "the server's log is behind", now);
    case StatementFault::ReadOnly:
        m_pool.noteNotPrimary(work.server);
        m_delegate.serverAssessed(
                {work.server, work.route.service, "not_primary", "it refused a write"});
        return retryLater(key, "the server doesn't lead", now);
    case StatementFault::Busy:
        if (isForPrimary)
            return retryLater(key, "the primary is busy", now);
        return retryElsewhere(key, "the server is busy", now);
    case StatementFault::UnknownStatement:
        work.lastFault = StatementFault::Busy;
        return retryElsewhere(key, "the server doesn't know the prepared statement", now);
    case StatementFault::Failed:
        if (!work.isWrite && work.attempts < 2)
            return retryElsewhere(key, "the server failed the read", now);
        break;
    default:
        break;
    }
    if (session.state == TransactionState::Open)
        session.state = TransactionState::Failed;
    finish(key, {{}, fault, reply.detail, session.state, session.lastPosition}, now);
}

} // namespace nutmegtide
