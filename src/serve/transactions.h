#pragma once

#include "nutmegtide/statement/statement.h"
#include "serve/homegroup.h"
#include "serve/identity.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace nutmegtide {

// Which process owns a transaction. The id itself says it, so that any proxy
// finds the owner without a look-up.
struct TransactionOwner
{
    VmName vm;
    Incarnation incarnation = 0;

    bool operator==(const TransactionOwner &) const = default;
};

TransactionId makeTransactionId(const TransactionOwner &owner, std::uint64_t number);
// Returns nothing for text that makeTransactionId() didn't write.
std::optional<TransactionOwner> ownerOf(const TransactionId &id);

// The error for a statement of a transaction whose owner has ended: its connection closed then, so
// the backend server rolls back; but a commit may have reached the server before.
StatementError lostWithOwner(const Statement &statement, const std::string &message);

// The open transactions that this process owns. Each holds one connection to
// the primary that it began on, from begin to commit or rollback; its
// statements run one after the other.
class Transactions
{
public:
    explicit Transactions(const Identity &identity)
        : m_owner {identity.vm, identity.incarnation}
    { }

    // Throws StatementError for a transaction that an earlier run of this VM owned. This run needs
    // to know nothing of the database for that.
    void refuseOfFormerRun(const Statement &statement) const;
    // Both throw StatementError.
    StatementResult begin(HomeGroup &group, const Statement &statement, const ServerId &primary);
    StatementResult run(HomeGroup &group, const Statement &statement);

    // Rolls back transactions without a statement for this long.
    void expire(Duration idle);
    int open() const;

private:
    struct Transaction
    {
        Transaction(BackendPool::Lease lease)
            : connection(std::move(lease))
        { }

        std::mutex mutex; // held while a statement runs
        BackendPool::Lease connection;
        DatabaseName database;
        CallerId caller;
        ServerId server;
        Term term = 0;
        std::atomic<TimePoint> usedAt;
        std::atomic<bool> isOver = false;
    };

    std::shared_ptr<Transaction> find(const Statement &statement) const;
    StatementResult runPinned(HomeGroup &group, Transaction &transaction,
                              const Statement &statement);
    StatementResult commit(HomeGroup &group, Transaction &transaction, const Statement &statement);
    void finish(const TransactionId &id);

    const TransactionOwner m_owner;
    mutable std::mutex m_mutex;
    std::uint64_t m_next = 1;
    std::map<TransactionId, std::shared_ptr<Transaction>> m_transactions;
};

} // namespace nutmegtide
