// Part of SessionProxy that ends sessions: on a planned stop, while other processes serve callers
// better, or if the first routes don't arrive.
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

void SessionProxy::drain(TimePoint now)
{
    m_isDraining = true;
    endIdle(now);
}

void SessionProxy::refusePendingSessions(TimePoint queuedBefore)
{
    for (const SessionKey key : m_pendingSessions.takeQueuedBefore(queuedBefore))
        m_delegate.end(key, StatementFault::Busy);
}

void SessionProxy::refuseSessions()
{
    m_refusesSessions = true;
    refusePendingSessions(TimePoint::max());
}

void SessionProxy::suspendService(TimePoint now)
{
    refuseSessions();
    drain(now);
}

void SessionProxy::resumeService()
{
    m_pool.clearFailures();
    m_refusesSessions = false;
    m_isDraining = false;
    m_isIsolated = false;
}

void SessionProxy::endIdle(TimePoint now)
{
    endInactive(now, [](const Session &session) {
        return session.queue.empty() && session.state == TransactionState::Idle;
    });
}

// Ends the sessions with an open transaction that run no statement.
void SessionProxy::abortOpen(TimePoint now)
{
    endInactive(now, [](const Session &session) { return session.state != TransactionState::Idle; });
}

// Ends the sessions that run no statement and match the predicate.
void SessionProxy::endInactive(TimePoint now, bool (*isOfKind)(const Session &))
{
    std::vector<SessionKey> inactive;
    for (const auto &[key, session] : m_sessions) {
        if (!session.work && isOfKind(session))
            inactive.push_back(key);
    }
    endSessions(inactive, now);
}

void SessionProxy::endSessions(const std::vector<SessionKey> &sessions, TimePoint now)
{
    for (const SessionKey key : sessions) {
        m_delegate.end(key, std::nullopt);
        callerLeft(key, now);
    }
}

// Answers every waiting caller with the fault that is known to hold, since no reply will arrive in
// time.
void SessionProxy::abandonAll(TimePoint now)
{
    abortOpen(now);
    std::vector<SessionKey> busy;
    for (const auto &[key, session] : m_sessions)
        busy.push_back(key);
    for (const SessionKey key : busy) {
        Session &session = m_sessions.at(key);
        if (!session.work)
            continue;
        const Work &work = *session.work;
        const bool isSent = work.phase == Phase::Answer || work.phase == Phase::Confirm;
        const bool isCommit = work.statement.kind == StatementKind::Commit;
        StatementFault fault = isSent ? StatementFault::Timeout : StatementFault::Busy;
        if (session.state == TransactionState::Open && !isCommit)
            fault = StatementFault::Aborted;
        else if (isSent && (isCommit || work.isWrite))
            fault = StatementFault::OutcomeUnknown;
        stopWaiting(key, work);
        if (work.connection != 0 && session.pinned == 0)
            drop(work.connection);
        fail(key, fault, "this VM stops", now);
    }
}

} // namespace nutmegtide
