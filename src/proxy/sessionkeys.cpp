// Part of SessionProxy that opens sessions and checks the keys of callers.
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

namespace {

// An open transaction may go on for this part of the time in which its removed key has to be out of
// use; the rest is left for its last statement.
constexpr int TransactionRevocationParts = 2;

} // namespace

void SessionProxy::openSession(SessionKey key, const DatabaseName &database,
                               const KeyDigest &credential, TimePoint now)
{
    // Without routes it isn't known which databases exist.
    const bool hasRoutes = m_routes->revision != 0;
    if (!hasRoutes && !m_refusesSessions && now < m_startsUntil) {
        m_pendingSessions.add(key, {database, credential, now, {}});
        m_poolDueAt = std::min(m_poolDueAt, now + PoolInterval);
        return;
    }
    if (m_refusesSessions || !hasRoutes)
        return m_delegate.end(key, StatementFault::Busy);
    startSession(key, database, credential, now);
}

void SessionProxy::startSession(SessionKey key, const DatabaseName &database,
                                const KeyDigest &credential, TimePoint now)
{
    const Route *route = m_routes->find(database);
    if (route == nullptr)
        return m_delegate.end(key, StatementFault::UnknownDatabase);
    const auto workspace = authorize(*route, credential);
    if (!workspace)
        return refuseKey(key, database);
    Session &session = m_sessions[key];
    session.database = database;
    session.credential = credential;
    session.workspace = *workspace;
    session.usedAt = now;
    m_delegate.accept(key);
}

std::optional<WorkspaceName> SessionProxy::authorize(const Route &route,
                                                     const KeyDigest &credential) const
{
    if (!m_routes->workspaces)
        return WorkspaceName();
    if (const Workspace *workspace = m_routes->workspaces->findByKey(credential))
        return workspace->name;
    return route.isPublic ? std::optional(WorkspaceName()) : std::nullopt;
}

void SessionProxy::refuseKey(SessionKey key, const DatabaseName &database)
{
    m_delegate.keyRefused({key, database, {}, m_routes->revision});
    m_delegate.end(key, StatementFault::Unauthorized);
}

void SessionProxy::revokeSessions(TimePoint now)
{
    std::vector<SessionKey> idle;
    for (auto &[key, session] : m_sessions) {
        // A database that was removed is refused with the next statement.
        const Route *route = m_routes->find(session.database);
        if (route == nullptr || session.revokedBy)
            continue;
        if (authorize(*route, session.credential) == session.workspace)
            continue;
        session.revokedBy = now + m_revocationTime / TransactionRevocationParts;
        m_revoked.insert(key);
        m_delegate.keyRefused({key, session.database, session.workspace, m_routes->revision});
        if (!session.work && session.queue.empty() && session.state == TransactionState::Idle)
            idle.push_back(key);
    }
    endSessions(idle, now);
}

// A statement that is running is left to its answer, which ends the session.
void SessionProxy::endRevoked(TimePoint now)
{
    std::vector<SessionKey> due;
    for (const SessionKey key : m_revoked) {
        const Session &session = m_sessions.at(key);
        if (!session.work && *session.revokedBy <= now)
            due.push_back(key);
    }
    endSessions(due, now);
}

bool SessionProxy::isRevocationDue(const Session &session, TimePoint now)
{
    return session.revokedBy
            && (session.state == TransactionState::Idle || *session.revokedBy <= now);
}

void SessionProxy::answerRevoked(SessionKey key, const SessionStatement &statement, TimePoint now)
{
    Session &session = m_sessions.at(key);
    if (session.pinned != 0)
        unpin(key, true, now);
    const bool isInTransaction = session.state != TransactionState::Idle;
    session.state = TransactionState::Idle;
    session.queue.clear();
    answerFault(key, statement,
                isInTransaction ? StatementFault::Aborted : StatementFault::Unauthorized,
                "the caller's key was removed", now);
}

} // namespace nutmegtide
