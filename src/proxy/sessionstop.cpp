// How SessionProxy ends sessions on a planned stop, while callers are served better elsewhere, or
// where the first routes don't come.
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

void SessionProxy::drain(TimePoint now)
{
    m_isDraining = true;
    endIdle(now);
}

void SessionProxy::refuseEarly(TimePoint cameBefore)
{
    std::vector<SessionKey> refused;
    for (const auto &[key, early] : m_earlySessions) {
        if (early.cameAt < cameBefore)
            refused.push_back(key);
    }
    for (const SessionKey key : refused) {
        m_earlySessions.erase(key);
        m_outlet.end(key, StatementFault::Busy);
    }
}

void SessionProxy::refuseSessions()
{
    m_isClosed = true;
    refuseEarly(TimePoint::max());
}

void SessionProxy::turnAway(TimePoint now)
{
    refuseSessions();
    drain(now);
}

void SessionProxy::welcome()
{
    m_pool.forgiveAll();
    m_isClosed = false;
    m_isDraining = false;
    m_isIsolated = false;
}

void SessionProxy::endIdle(TimePoint now)
{
    endResting(now, [](const Session &session) {
        return session.queue.empty() && session.state == TransactionState::Idle;
    });
}

// Ends the transactions that are still open.
void SessionProxy::abortOpen(TimePoint now)
{
    endResting(now, [](const Session &session) { return session.state != TransactionState::Idle; });
}

// Ends the sessions that run no statement and are of this kind.
void SessionProxy::endResting(TimePoint now, bool (*isOfKind)(const Session &))
{
    std::vector<SessionKey> resting;
    for (const auto &[key, session] : m_sessions) {
        if (!session.work && isOfKind(session))
            resting.push_back(key);
    }
    for (const SessionKey key : resting) {
        m_outlet.end(key, std::nullopt);
        callerLeft(key, now);
    }
}

// Tells every caller that still waits what can be told truly, since no answer will come in time.
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
        const bool isSent = work.phase == Phase::Answer;
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
