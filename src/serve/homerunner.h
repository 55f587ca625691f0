#pragma once

#include "nutmegtide/statement/statement.h"
#include "serve/admission.h"
#include "serve/homegroups.h"
#include "serve/requestfates.h"
#include "serve/transactions.h"

#include <random>
#include <thread>

namespace nutmegtide {

// Runs statements at a home proxy, which holds connections to the backend
// servers of the statement's database.
class HomeRunner : public StatementRunner, public RequestFates
{
public:
    HomeRunner(HomeGroups &groups, Transactions &transactions, const SettingsSource &settings,
               FailureDomain ownDomain);

    StatementResult run(const Statement &statement) override;
    RequestRecord find(const DatabaseName &database, const CallerId &caller,
                       const RequestId &id) override;

private:
    // Rolls back the transactions that their callers have left.
    void expireTransactions(const std::stop_token &stop);
    HomeGroup &groupOf(const DatabaseName &database) const;
    // Waits for the statement's turn and runs it; sends it again, within the retry
    // budget, where the server refused it as busy.
    ExecuteReply execute(HomeGroup &group, const Statement &statement, const ServerId &server);
    StatementResult begin(HomeGroup &group, const Statement &statement);
    StatementResult read(HomeGroup &group, const Statement &statement);
    // Returns nothing where the answer is too old or behind the session's token.
    std::optional<StatementResult> readReplica(HomeGroup &group, const Statement &statement,
                                               const ServerId &server);
    StatementResult readPrimary(HomeGroup &group, const Statement &statement,
                                const ServerId &server);
    bool settleUnknownWrite(HomeGroup &group, const Statement &statement, const ServerId &server);
    ReadDecision route(HomeGroup &group, const Statement &statement);

    StatementResult write(HomeGroup &group, const Statement &statement);
    // Asks again under the same request id, which runs at most once, and names the server that
    // was asked.
    ExecuteReply resend(HomeGroup &group, const Statement &statement, ServerId &server);
    ServerId confirmedPrimary(HomeGroup &group, const Statement &statement);

    HomeGroups &m_groups;
    Transactions &m_transactions;
    const SettingsSource &m_settings;
    const FailureDomain m_ownDomain;
    Admissions m_admissions;
    SharedRetryBudget m_retries;
    std::mutex m_generatorMutex;
    std::mt19937_64 m_generator;
    std::mutex m_expiryMutex;
    std::condition_variable_any m_expiryWanted;
    std::jthread m_expiry;
};

} // namespace nutmegtide
