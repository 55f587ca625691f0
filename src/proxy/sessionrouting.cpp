// Server side of SessionProxy: choice of a server, use of connections and retries.
#include "nutmegtide/proxy/sessionproxy.h"
#include "proxy/sessionreasons.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto BeginTimeout = 300ms; // for a server's reply to a begin
// A read without a reply for so long is sent to another server.
constexpr auto MinReadTimeout = 250ms;
// A primary that has not replied to a write for so long counts as stuck.
constexpr Duration StuckWriteTimeout = 350ms;
constexpr auto AgeMargin = 20ms; // covers the delay of the caller's request to this process
// If the share of this process is smaller, connections to the server are scarce.
constexpr int MinConnectionShare = 1;
constexpr auto MinQueueWait = 10ms; // in the queue of the server's home
// A home must refuse a queued statement before its server is taken for silent.
constexpr auto MaxQueueWait = 150ms;

// Returns the position that the server must have reached. The position of an empty log needs no
// check.
std::optional<LogPosition> positionOf(const std::optional<ReadNeed> &need)
{
    if (!need || need->position == LogPosition {})
        return std::nullopt;
    return need->position;
}

} // namespace

const PreparedStatement *SessionProxy::preparedOf(const Session &session,
                                                  const SessionStatement &s) const
{
    return s.kind == StatementKind::Execute ? session.image.findPrepared(s.name) : nullptr;
}

// Returns whether only the primary can run the statement: a write outside a transaction, and each
// statement of a transaction that may write.
bool SessionProxy::needsPrimary(const Session &session, const Work &work) const
{
    if (session.state == TransactionState::Open)
        return !session.isReadOnly;
    return work.isWrite;
}

// Chooses a server for the session's statement, unless its transaction has a connection already.
void SessionProxy::route(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    if (session.pinned != 0)
        return sendStatement(key, now);
    Work &work = *session.work;
    std::optional<ServerId> server;
    if (needsPrimary(session, work)) {
        const bool isInTransaction = session.state == TransactionState::Open;
        if (const auto reason = writeRefusal(work.route.service, isInTransaction, now))
            return fail(key, StatementFault::Busy, *reason, now);
        server = m_pool.primary(work.route.service, now);
        extendForPrimaryChange(work, now);
        if (!server)
            return retryLater(key, NoPrimaryReason, now);
    } else {
        if (!findNeed(key, now))
            return;
        server = m_pool.chooseReader(work.route.service, *work.need, work.tried, now);
        reportShareChanges();
        if (!server) {
            work.tried.clear();
            return retryLater(key, NoServerReason, now);
        }
    }
    acquire({key, {}, session.workspace}, *server, now);
}

void SessionProxy::reportShareChanges()
{
    for (const ShareChange &change : m_pool.takeShareChanges()) {
        m_delegate.serverAssessed({change.server, change.service,
                                   change.isLow ? "few_reads" : "usual_reads",
                                   change.isLow ? "less than a quarter of its fair share"
                                                : "at least a quarter of its fair share"});
    }
}

std::optional<std::string_view> SessionProxy::writeRefusal(const ServiceName &service,
                                                           bool isInTransaction,
                                                           TimePoint now) const
{
    if (m_isIsolated)
        return CutOffReason;
    if (!isInTransaction && isStalled(service, now))
        return StalledReason;
    return std::nullopt;
}

TimePoint SessionProxy::coveredSince(const Route &route, TimePoint from, TimePoint now)
{
    return route.consistency == Consistency::Latest ? from : now - route.largestAge + AgeMargin;
}

// Finds the position that the server of a read must have reached. If there is no suitable proof,
// requests one and returns false.
bool SessionProxy::findNeed(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    const bool isInTransaction = session.state == TransactionState::Open;
    const TimePoint from = isInTransaction ? session.begunAt : work.arrivedAt;
    const TimePoint coverSince = coveredSince(work.route, from, now);
    ProofState &proof = m_proofs[work.route.service];
    if (work.route.consistency != Consistency::Latest)
        proof.agedReadAt = now;
    const auto proved = proof.proofs.coveringSince(work.isFreshProofNeeded ? work.arrivedAt
                                                                           : coverSince);
    if (!proved && isPrimaryCutOff(work.route.service, now)) {
        fail(key, StatementFault::Busy, CutOffReason, now);
        return false;
    }
    if (!proved) {
        work.phase = Phase::Proof;
        proof.waiting.insert(key);
        extendForPrimaryChange(work, now);
        m_timers.set(key, work.sendDeadline);
        askProof(work.route.service, now);
        return false;
    }
    ReadNeed need {proved->position, proof.proofs.reachedAt(*proved)};
    const auto own = session.latestCommit.find(work.route.service);
    const bool isOwnNewer = own != session.latestCommit.end()
            && own->second.position > need.position;
    if (work.route.consistency != Consistency::Latest && isOwnNewer)
        need = own->second;
    work.need = need;
    return true;
}

bool SessionProxy::isPrimaryCutOff(const ServiceName &service, TimePoint now) const
{
    if (!m_isIsolated)
        return false;
    const auto primary = m_pool.primary(service, now);
    return !primary || !m_pool.isOwnDomain(*primary);
}

// Assigns an idle connection to the borrower, or queues it until there is one.
void SessionProxy::acquire(const Borrower &borrower, const ServerId &server, TimePoint now)
{
    static const SessionState noImage;
    PooledServer &state = *m_pool.find(server);
    const Session *session = borrower.session == 0 ? nullptr : &m_sessions.at(borrower.session);
    const PreparedStatement *prepared = session ? preparedOf(*session, session->work->statement)
                                                : nullptr;
    const auto idle = m_pool.takeIdle(server, borrower.workspace,
                                      session ? session->image : noImage, prepared);
    if (session != nullptr) {
        Work &work = *m_sessions.at(borrower.session).work;
        work.server = server;
        work.phase = Phase::Connection;
    }
    if (idle)
        return assignConnection(*idle, borrower, now);
    state.waiting.push_back(borrower);
    if (session != nullptr)
        m_timers.set(borrower.session, session->work->sendDeadline);
    openIfWanted(server, borrower.workspace, now);
}

// Opens another connection of the workspace if more of its borrowers wait for one than are being
// opened. An idle one of another workspace gives way if there are as many as are allowed.
void SessionProxy::openIfWanted(const ServerId &server, const WorkspaceName &workspace,
                                TimePoint now)
{
    if (!m_pool.needsConnection(server, workspace))
        return;
    if (const auto surplus = m_pool.takeSurplus(server))
        drop(*surplus);
    if (!m_pool.mayOpen(server, now))
        return;
    const ConnectionKey key = m_pool.add(server, workspace, now);
    m_delegate.open(key, m_pool.find(server)->record.announcement, workspace);
}

void SessionProxy::assignConnection(ConnectionKey connection, const Borrower &borrower,
                                    TimePoint now)
{
    if (borrower.session == 0) {
        m_pool.connection(connection)->borrower = borrower;
        if (borrower.isConfirmation)
            return sendQuestion(borrower.proofOf, connection, now);
        return sendProof(borrower.proofOf, connection, now);
    }
    if (m_pool.isPastLeaveTime(m_pool.connection(connection)->server, now)) {
        m_pool.putIdle(connection, now);
        return retryLater(borrower.session, PastLeaveTimeReason, now);
    }
    m_pool.connection(connection)->borrower = borrower;
    dispatch(borrower.session, connection, now);
}

// Uses a connection that was just assigned: sends the statement, or first the begin of its
// transaction.
void SessionProxy::dispatch(SessionKey key, ConnectionKey connection, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    work.connection = connection;
    if (session.state != TransactionState::Open)
        return sendStatement(key, now);
    ServerConnection &held = *m_pool.connection(connection);
    std::vector<ServerCommand> commands = held.image.restore(session.image, nullptr, false);
    held.expected.insert(held.expected.end(), commands.size(), Expectation::Restore);
    ServerCommand command;
    // Only a read-write begin proves that the server is the primary.
    const bool isReadWrite = !session.isReadOnly;
    command.kind = isReadWrite ? ServerCommandKind::Begin : ServerCommandKind::BeginReadOnly;
    if (!isReadWrite)
        command.after = positionOf(work.need);
    commands.push_back(command);
    held.expected.push_back(Expectation::Begin);
    session.pinned = connection;
    work.phase = Phase::Begin;
    m_timers.set(key, now + BeginTimeout);
    sendCommands(connection, commands, urgencyOf(session, work, now), now);
}

void SessionProxy::sendStatement(SessionKey key, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    const bool isInTransaction = session.state == TransactionState::Open;
    const ConnectionKey connection = isInTransaction ? session.pinned : work.connection;
    ServerConnection &held = *m_pool.connection(connection);
    std::vector<ServerCommand> commands = held.image.restore(session.image,
                                                             preparedOf(session, work.statement),
                                                             isInTransaction);
    held.expected.insert(held.expected.end(), commands.size(), Expectation::Restore);
    commands.push_back(commandOf(session, work));
    held.expected.push_back(Expectation::Statement);
    ++m_pool.find(held.server)->running;
    work.server = held.server;
    work.connection = connection;
    work.phase = Phase::Answer;
    ++work.attempts;
    const bool mayGoElsewhere = !isInTransaction && !work.isWrite;
    const Duration silence = std::max(Duration(MinReadTimeout),
                                      Duration(work.route.latencyObjective) * 3 / 4);
    m_timers.set(key,
                 std::min(work.replyDeadline, now + (mayGoElsewhere ? silence : StuckWriteTimeout)));
    sendCommands(connection, commands, urgencyOf(session, work, now), now);
}

ServerCommand SessionProxy::commandOf(const Session &session, const Work &work) const
{
    ServerCommand command;
    command.request = work.statement.request;
    command.argument = work.statement.argument;
    switch (work.statement.kind) {
    case StatementKind::Commit:
        command.kind = ServerCommandKind::Commit;
        break;
    case StatementKind::Write:
        command.kind = ServerCommandKind::Write;
        break;
    case StatementKind::Execute:
        command.kind = ServerCommandKind::Execute;
        command.name = session.image.findPrepared(work.statement.name)->serverName();
        break;
    default:
        command.kind = ServerCommandKind::Read;
        break;
    }
    if (session.state != TransactionState::Open && !work.isWrite)
        command.after = positionOf(work.need);
    return command;
}

// Statements of an open transaction have rank 0; the others are ranked by the priority of their
// route.
Urgency SessionProxy::urgencyOf(const Session &session, const Work &work, TimePoint now) const
{
    Urgency urgency;
    const bool isUnderWay = session.pinned != 0 && work.phase == Phase::Answer;
    urgency.rank = isUnderWay ? 0 : 1 + work.route.priority;
    urgency.maxWait = std::clamp(work.sendDeadline - now, Duration(MinQueueWait),
                                 Duration(MaxQueueWait));
    const auto average = m_runTimes.find(work.route.database);
    if (average != m_runTimes.end())
        urgency.work = average->second.value();
    return urgency;
}

void SessionProxy::sendCommands(ConnectionKey key, const std::vector<ServerCommand> &commands,
                                const Urgency &urgency, TimePoint now)
{
    m_pool.connection(key)->sentAt = now;
    m_delegate.send(key, commands, urgency);
}

// Assigns an unused connection to the next waiting borrower, or returns it to the idle ones.
void SessionProxy::release(ConnectionKey key, TimePoint now)
{
    ServerConnection &connection = *m_pool.connection(key);
    connection.borrower.reset();
    const ServerId server = connection.server;
    const WorkspaceName workspace = connection.workspace;
    if (connection.isRetired) {
        drop(key);
        return openIfWanted(server, workspace, now);
    }
    PooledServer &state = *m_pool.find(server);
    const auto next = std::find_if(state.waiting.begin(), state.waiting.end(),
                                   [&workspace](const Borrower &borrower) {
                                       return borrower.workspace == workspace;
                                   });
    if (next != state.waiting.end()) {
        const Borrower borrower = *next;
        state.waiting.erase(next);
        return assignConnection(key, borrower, now);
    }
    m_pool.putIdle(key, now);
    // The server's other connections may all be in use by other workspaces.
    if (!state.waiting.empty())
        openIfWanted(server, state.waiting.front().workspace, now);
}

// Returns whether the server has too few connections for each process to keep one.
bool SessionProxy::isScarce(const ServerId &server) const
{
    const auto settings = m_routes->services.find(m_pool.find(server)->record.announcement.service);
    const int limit = settings == m_routes->services.end() ? 0 : settings->second.maxConnections;
    return limit > 0 && limit < m_entryCount * MinConnectionShare;
}

void SessionProxy::drop(ConnectionKey key)
{
    m_delegate.close(key);
    m_pool.remove(key);
    m_vouches.closed(key);
}

void SessionProxy::retire(ConnectionKey key, TimePoint now)
{
    ServerConnection *connection = m_pool.connection(key);
    if (connection == nullptr)
        return;
    connection->isRetired = true;
    const bool isIdle = connection->isOpen && !connection->borrower && connection->expected.empty();
    if (isIdle)
        release(key, now);
}

void SessionProxy::leaveQueue(const Borrower &borrower, const ServerId &server)
{
    PooledServer *state = m_pool.find(server);
    if (state != nullptr)
        std::erase(state->waiting, borrower);
}

// Schedules another attempt, or fails the statement if its deadline or the number of attempts
// doesn't allow one.
void SessionProxy::retryLater(SessionKey key, std::string_view reason, TimePoint now)
{
    Work &work = *m_sessions.at(key).work;
    if (!mayRetryLater(work, now))
        return fail(key, work.lastFault.value_or(StatementFault::Busy), reason, now);
    work.phase = Phase::Pause;
    m_timers.set(key, now + RetryPause);
}

// Sends the statement to another server. It either didn't run or is safe to repeat.
void SessionProxy::retryElsewhere(SessionKey key, std::string_view reason, TimePoint now)
{
    Session &session = m_sessions.at(key);
    Work &work = *session.work;
    note(key, work, "sent_elsewhere", reason, now);
    work.tried.insert(work.server);
    work.connection = 0;
    if (now >= work.replyDeadline || work.attempts >= MaxAttempts)
        return fail(key, work.lastFault.value_or(StatementFault::Busy), reason, now);
    // A statement that was sent in time may be retried until its route's timeout.
    route(key, now);
}

} // namespace nutmegtide
