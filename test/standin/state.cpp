#include "state.h"

#include "errors.h"
#include "statements.h"

#include <xxhash.h>

namespace nutmegtide::standin {

namespace {

constexpr int NotFoundStatus = 404;
constexpr int ConflictStatus = 409;
constexpr int UnprocessableStatus = 422;
constexpr Term FirstTerm = 1;

std::uint64_t contentHash(const ExecuteRequest &request)
{
    const std::string transaction = request.transaction ? request.transaction->text() : "";
    const Json content = {request.statement, request.parameters, transaction};
    const std::string text = content.dump(-1, ' ', false, Json::error_handler_t::replace);
    return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string> namesOf(const std::vector<ServerId> &servers)
{
    std::vector<std::string> names;
    for (const ServerId &server : servers)
        names.push_back(server.text());
    return names;
}

} // namespace

StandinState::StandinState(Journal *journal, std::vector<ServerId> voters, ServerState serverState)
    : m_journal(journal)
    , m_serverState(serverState)
    , m_voters(std::move(voters))
{
    if (journal)
        reload(journal->records());
    ++m_incarnation;
    saveTerm();
}

void StandinState::reload(const std::vector<Json> &records)
{
    for (const Json &record : records) {
        if (record.contains("entry")) {
            keep(record.at("entry").get<LogEntry>());
        } else if (record.contains("cut")) {
            cutAfter(record.at("cut").get<std::uint64_t>());
        } else {
            record.at("term").get_to(m_term);
            record.at("incarnation").get_to(m_incarnation);
            m_voters.clear();
            for (const Json &voter : record.at("voters"))
                m_voters.emplace_back(voter.get<std::string>());
        }
    }
    m_isRestarted = m_term > 0;
    applyTo(m_log.size());
}

void StandinState::startAsPrimary(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    takeTerm(FirstTerm, m_voters);
    m_role = ServerRole::Primary;
    writeBarrier(now);
}

void StandinState::startAsReplica(const Endpoint &primary)
{
    const std::lock_guard lock(m_mutex);
    takeTerm(FirstTerm, m_voters);
    m_source = ReplicationSource {m_term, primary};
}

void StandinState::refuse(int status, const std::string &type, const std::string &message) const
{
    throw RefusalError(status, type, message, m_term);
}

Term StandinState::term() const
{
    const std::lock_guard lock(m_mutex);
    return m_term;
}

void StandinState::checkTerm(Term term) const
{
    const std::lock_guard lock(m_mutex);
    checkTermLocked(term);
}

void StandinState::checkTermLocked(Term term) const
{
    if (term == m_term)
        return;
    refuse(ConflictStatus, "stale_term",
           "the request has term " + std::to_string(term) + ", the server "
                   + std::to_string(m_term));
}

ExecuteReply StandinState::execute(const ExecuteRequest &request, ConnectionId connection,
                                   TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    checkTermLocked(request.term);
    advance(now);
    const bool isCommit = request.statement == "commit";
    const bool isWrite = request.access == Access::Write || isWriteStatement(request.statement);
    const bool needsPrimary = isWrite || request.transaction.has_value();
    if (needsPrimary && m_role != ServerRole::Primary)
        refuse(ConflictStatus, "not_primary", "only the primary takes writes and transactions");
    const std::uint64_t hash = contentHash(request);
    if (needsPrimary) {
        if (const std::optional<ExecuteReply> first = replay(request, hash))
            return *first;
    }
    if (request.transaction && !isCommit)
        return reply(request, positionAt(m_appliedIndex), runInTransaction(request, connection));
    if (isCommit) {
        const Transaction transaction = transactionOf(request, connection);
        m_transactions.erase(*request.transaction);
        checkReads(transaction);
        const Json result = {{"committed", true}};
        return reply(request, write(request, hash, transaction.changes, result, now), result);
    }
    if (isWriteStatement(request.statement) && request.access != Access::Write)
        refuse(UnprocessableStatus, "rejected", request.statement + " needs access write");
    Table changes;
    Table reads;
    TableView view(m_table, changes, reads);
    Json result = runStatement(request.statement, request.parameters, view);
    if (!isWriteStatement(request.statement))
        return reply(request, positionAt(m_appliedIndex), std::move(result));
    const LogPosition position = write(request, hash, std::move(changes), result, now);
    return reply(request, position, std::move(result));
}

std::optional<ExecuteReply> StandinState::replay(const ExecuteRequest &request,
                                                 std::uint64_t hash) const
{
    const auto found = m_requests.find({request.caller, request.requestId});
    if (found == m_requests.end())
        return std::nullopt;
    const LogEntry &entry = m_log.at(found->second - 1);
    if (entry.contentHash != hash)
        refuse(ConflictStatus, "key_reused", "the request id came with other content before");
    ExecuteReply first = reply(request, entry.position, entry.result);
    first.isReplay = true;
    return first;
}

Json StandinState::runInTransaction(const ExecuteRequest &request, ConnectionId connection)
{
    if (request.statement == "begin") {
        begin(request, connection);
        return {{"transaction", request.transaction->text()}};
    }
    Transaction &transaction = transactionOf(request, connection);
    if (request.statement == "rollback") {
        m_transactions.erase(*request.transaction);
        return {{"rolled_back", true}};
    }
    Transaction next = transaction;
    TableView view(m_table, next.changes, next.reads);
    Json result = runStatement(request.statement, request.parameters, view);
    transaction = std::move(next);
    return result;
}

void StandinState::begin(const ExecuteRequest &request, ConnectionId connection)
{
    const bool isNew = m_transactions
                               .try_emplace(*request.transaction, Transaction {connection, {}, {}})
                               .second;
    if (!isNew)
        refuse(UnprocessableStatus, "rejected", "the transaction has begun before");
}

StandinState::Transaction &StandinState::transactionOf(const ExecuteRequest &request,
                                                       ConnectionId connection)
{
    if (!request.transaction)
        refuse(NotFoundStatus, "no_transaction", "the statement names no transaction");
    const auto found = m_transactions.find(*request.transaction);
    if (found == m_transactions.end() || found->second.connection != connection)
        refuse(NotFoundStatus, "no_transaction", "no such transaction on this connection");
    return found->second;
}

void StandinState::checkReads(const Transaction &transaction) const
{
    for (const auto &[key, seen] : transaction.reads) {
        const auto found = m_table.find(key);
        if ((found == m_table.end() ? Json() : found->second) != seen)
            refuse(UnprocessableStatus, "rejected", key + " was changed; rolled back");
    }
}

LogPosition StandinState::write(const ExecuteRequest &request, std::uint64_t hash, Table changes,
                                Json result, TimePoint now)
{
    const LogPosition position = {m_term, m_log.size() + 1};
    append({position, request.requestId, request.caller, hash, request.statement,
            std::move(changes), std::move(result), now});
    applyTo(m_log.size());
    return position;
}

ExecuteReply StandinState::reply(const ExecuteRequest &request, const LogPosition &position,
                                 Json result) const
{
    return {request.requestId, m_term, m_role, position, false, std::move(result)};
}

void StandinState::rollBackTransactionsOf(ConnectionId connection)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_transactions,
                  [connection](const auto &row) { return row.second.connection == connection; });
}

FenceReply StandinState::fence(const FenceRequest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (request.term < m_term)
        checkTermLocked(request.term);
    if (request.term > m_term)
        takeTerm(request.term, m_voters);
    const PositionReply position = positionLocked(now);
    return {m_term, position.last, position.durable};
}

PromoteReply StandinState::promote(const PromoteRequest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (request.term < m_term)
        checkTermLocked(request.term);
    const bool isSameTerm = request.term == m_term;
    if (isSameTerm && m_role == ServerRole::Primary)
        return {m_term, m_barrier};
    // A second primary in one term would break the order of positions.
    if (isSameTerm && (m_source || hasEntryOf(m_term)))
        refuse(ConflictStatus, "stale_term", "the term has another primary");
    takeTerm(request.term, request.voters);
    m_role = ServerRole::Primary;
    if (m_serverState == ServerState::Joining)
        m_serverState = ServerState::Ready;
    writeBarrier(now);
    return {m_term, m_barrier};
}

FollowReply StandinState::follow(const FollowRequest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (request.term < m_term)
        checkTermLocked(request.term);
    if (request.term == m_term && m_role == ServerRole::Primary)
        refuse(ConflictStatus, "stale_term", "the server is the primary of this term");
    const ReplicationSource source = {request.term, request.primary};
    if (m_source != source || m_voters != request.voters) {
        takeTerm(request.term, request.voters);
        m_source = source;
    }
    return {m_term, positionLocked(now).last};
}

PositionReply StandinState::position(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return positionLocked(now);
}

PositionReply StandinState::positionLocked(TimePoint now)
{
    advance(now);
    return {m_term, m_role, positionAt(m_appliedIndex), positionAt(m_log.size())};
}

PositionReply StandinState::awaitPosition(std::optional<Term> term, const LogPosition &past,
                                          std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] {
        return m_isStopped || (term && *term != m_term) || positionAt(m_log.size()) > past;
    });
    return positionLocked(Clock::now());
}

RequestOutcome StandinState::requestFate(const CallerId &caller, const RequestId &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_requests.find({caller, id});
    if (found == m_requests.end())
        return {};
    const LogEntry &entry = m_log.at(found->second - 1);
    return {true, entry.position, entry.result};
}

void StandinState::describe(Announcement &announcement, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const PositionReply position = positionLocked(now);
    announcement.incarnation = m_incarnation;
    announcement.term = position.term;
    announcement.role = position.role;
    announcement.last = position.last;
    announcement.durable = position.durable;
    announcement.state = m_serverState;
    announcement.voters = m_voters;
}

std::vector<LogEntry> StandinState::log() const
{
    const std::lock_guard lock(m_mutex);
    return m_log;
}

Delays StandinState::delays() const
{
    const std::lock_guard lock(m_mutex);
    return m_delays;
}

void StandinState::setDelays(const Delays &delays)
{
    const std::lock_guard lock(m_mutex);
    m_delays = delays;
    m_changed.notify_all();
}

void StandinState::setServerState(ServerState serverState)
{
    const std::lock_guard lock(m_mutex);
    m_serverState = serverState;
    reportChange();
}

void StandinState::setChangeHook(std::function<void()> hook)
{
    const std::lock_guard lock(m_mutex);
    m_changeHook = std::move(hook);
}

void StandinState::reportChange()
{
    if (m_changeHook)
        m_changeHook();
}

void StandinState::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

void StandinState::takeTerm(Term term, const std::vector<ServerId> &voters)
{
    m_term = term;
    m_role = ServerRole::Replica;
    m_voters = voters;
    m_source.reset();
    m_transactions.clear();
    m_probe = {m_log.size(), false};
    saveTerm();
    m_changed.notify_all();
    reportChange();
}

void StandinState::saveTerm()
{
    if (!m_journal)
        return;
    const std::vector<std::string> voters = namesOf(m_voters);
    m_journal->append({{"term", m_term}, {"incarnation", m_incarnation}, {"voters", voters}});
}

} // namespace nutmegtide::standin
