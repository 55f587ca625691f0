#include "serve/transactions.h"

#include "serve/exchange.h"

#include <charconv>

namespace nutmegtide {

namespace {

constexpr auto RollbackTimeout = 1s;

StatementError transactionLost(const std::string &message)
{
    return {StatementFailure::TransactionLost, Ran::No, message};
}

StatementError unknownTransaction(const TransactionId &id)
{
    return {StatementFailure::UnknownTransaction, Ran::No, "no open transaction " + id.text()};
}

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
    return fault == std::errc() && stop == text.data() + text.size() && !text.empty();
}

} // namespace

TransactionId makeTransactionId(const TransactionOwner &owner, std::uint64_t number)
{
    return TransactionId(owner.vm.text() + '.' + std::to_string(owner.incarnation) + '.'
                         + std::to_string(number));
}

std::optional<TransactionOwner> ownerOf(const TransactionId &id)
{
    const std::string &text = id.text();
    const std::size_t numberDot = text.rfind('.');
    if (numberDot == std::string::npos || numberDot == 0)
        return std::nullopt;
    const std::size_t incarnationDot = text.rfind('.', numberDot - 1);
    if (incarnationDot == std::string::npos || incarnationDot == 0)
        return std::nullopt;
    const std::string_view whole(text);
    TransactionOwner owner {VmName(text.substr(0, incarnationDot)), 0};
    std::uint64_t number = 0;
    const auto incarnation = whole.substr(incarnationDot + 1, numberDot - incarnationDot - 1);
    if (!parseNumber(incarnation, owner.incarnation)
        || !parseNumber(whole.substr(numberDot + 1), number))
        return std::nullopt;
    return owner;
}

StatementError lostWithOwner(const Statement &statement, const std::string &message)
{
    const bool isCommit = statement.step == TransactionStep::Commit;
    return {StatementFailure::TransactionLost, isCommit ? Ran::Unknown : Ran::No, message};
}

StatementResult Transactions::begin(HomeGroup &group, const Statement &statement,
                                    const ServerId &primary)
{
    Statement begin = statement;
    begin.text = "begin";
    try {
        auto transaction = std::make_shared<Transaction>(
                group.borrow(primary, std::min(BorrowWait, timeLeft(statement.deadline))));
        {
            const std::lock_guard lock(m_mutex);
            begin.transaction = makeTransactionId(m_owner, m_next++);
        }
        transaction->database = statement.database;
        transaction->caller = statement.caller;
        transaction->server = primary;
        transaction->term = group.term();
        transaction->usedAt = Clock::now();
        const ExecuteReply reply = executeInTerm(group, *transaction->connection, begin,
                                                 transaction->term);
        const std::lock_guard lock(m_mutex);
        m_transactions[begin.transaction] = transaction;
        return makeResult(begin, reply, primary);
    } catch (const RefusedByServer &refused) {
        throw errorOfRefusal(group, primary, refused);
    } catch (const LinkError &fault) {
        if (fault.fault() == LinkFault::NoConnectionFree) {
            throw StatementError(StatementFailure::Overloaded, Ran::No, fault.what(),
                                 RetryAfterBusy);
        }
        // A begin whose answer was lost is rolled back with its connection.
        throw StatementError(StatementFailure::NoConnection, Ran::No, fault.what(),
                             RetryAfterNoPrimary);
    }
}

// A sender may not have heard yet that this VM was started again since the transaction began.
void Transactions::refuseOfFormerRun(const Statement &statement) const
{
    const std::optional<TransactionOwner> owner = ownerOf(statement.transaction);
    if (!owner || owner->vm != m_owner.vm || owner->incarnation >= m_owner.incarnation)
        return;
    throw lostWithOwner(statement, "the transaction's owner was started again");
}

std::shared_ptr<Transactions::Transaction> Transactions::find(const Statement &statement) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_transactions.find(statement.transaction);
    if (found == m_transactions.end() || found->second->caller != statement.caller
        || found->second->database != statement.database)
        throw unknownTransaction(statement.transaction);
    return found->second;
}

StatementResult Transactions::run(HomeGroup &group, const Statement &statement)
{
    const std::shared_ptr<Transaction> transaction = find(statement);
    const std::lock_guard lock(transaction->mutex);
    if (transaction->isOver)
        throw unknownTransaction(statement.transaction);
    transaction->usedAt = Clock::now();
    return statement.step == TransactionStep::Commit ? commit(group, *transaction, statement)
                                                     : runPinned(group, *transaction, statement);
}

StatementResult Transactions::runPinned(HomeGroup &group, Transaction &transaction,
                                        const Statement &statement)
{
    const bool isRollback = statement.step == TransactionStep::Rollback;
    Statement sent = statement;
    if (isRollback)
        sent.text = "rollback";
    try {
        const ExecuteReply reply = executeInTerm(group, *transaction.connection, sent,
                                                 transaction.term);
        if (isRollback)
            finish(statement.transaction);
        return makeResult(statement, reply, transaction.server);
    } catch (const RefusedByServer &refused) {
        const StatementError error = errorOfRefusal(group, transaction.server, refused);
        if (error.failure() == StatementFailure::StatementRejected)
            throw error;
        // The server may still hold the transaction open on this connection.
        transaction.connection->close();
        finish(statement.transaction);
        throw transactionLost(refused.what());
    } catch (const LinkError &fault) {
        // The connection is closed, and the server rolls back what it began on it.
        finish(statement.transaction);
        throw transactionLost(fault.what());
    }
}

StatementResult Transactions::commit(HomeGroup &group, Transaction &transaction,
                                     const Statement &statement)
{
    Statement sent = statement;
    sent.text = "commit";
    sent.access = Access::Write;
    finish(statement.transaction);
    try {
        const ExecuteReply reply = executeInTerm(group, *transaction.connection, sent,
                                                 transaction.term);
        confirmWrite(group, reply, statement.deadline);
        return makeResult(statement, reply, transaction.server);
    } catch (const RefusedByServer &refused) {
        group.observeTerm(transaction.server, refused.refusal().term);
        transaction.connection->close();
        throw transactionLost(refused.what());
    } catch (const LinkError &fault) {
        throw StatementError(StatementFailure::OutcomeUnknown, Ran::Unknown, fault.what(),
                             RetryAfterNoPrimary);
    }
}

void Transactions::finish(const TransactionId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_transactions.find(id);
    if (found == m_transactions.end())
        return;
    found->second->isOver = true;
    m_transactions.erase(found);
}

void Transactions::expire(Duration idle)
{
    std::vector<std::pair<TransactionId, std::shared_ptr<Transaction>>> expired;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, transaction] : m_transactions) {
            if (Clock::now() - transaction->usedAt.load() > idle)
                expired.emplace_back(id, transaction);
        }
    }
    for (const auto &[id, transaction] : expired) {
        const std::lock_guard lock(transaction->mutex);
        if (transaction->isOver)
            continue;
        ExecuteRequest request;
        request.term = transaction->term;
        request.requestId = RequestId(id.text() + ".expire");
        request.caller = transaction->caller;
        request.transaction = id;
        request.statement = "rollback";
        finish(id);
        try {
            transaction->connection->execute(request, RollbackTimeout);
        } catch (const Error &) {
            // The closed connection makes the server roll back.
            continue;
        }
    }
}

int Transactions::open() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_transactions.size());
}

} // namespace nutmegtide
