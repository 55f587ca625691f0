#pragma once

#include "nutmegtide/statement/statement.h"
#include "serve/admission.h"
#include "serve/directory.h"
#include "serve/identity.h"
#include "serve/peerclient.h"
#include "serve/requestfates.h"
#include "serve/settingssource.h"
#include "serve/transactions.h"

namespace nutmegtide {

// Brings a caller's statement to where it can run: to this process if it is a
// home proxy of the database, else to a home proxy over Thrift, the one in the
// own failure domain first. A statement of a transaction goes to the
// transaction's owner in one hop.
class EntryRunner : public StatementRunner, public RequestFates
{
public:
    EntryRunner(const Identity &identity, const Directory &directory,
                const SettingsSource &settings, PeerClients &peers, StatementRunner &home,
                RequestFates &homeFates);

    StatementResult run(const Statement &statement) override;
    RequestRecord find(const DatabaseName &database, const CallerId &caller,
                       const RequestId &id) override;

private:
    // How far a statement got on its way to one home.
    enum class Reach {
        Unsent,
        Refused, // by a home that has no share of the connections
        Sent,
    };

    StatementResult runAtOwner(const Statement &statement, const TransactionOwner &owner);
    StatementResult runAtHome(const Statement &statement);
    // Tells also of a failure how far the statement got.
    StatementResult runAt(const VmRecord &vm, const Statement &statement, Reach &reach);
    StatementResult runHere(const Statement &statement, Reach &reach);
    RequestRecord findAt(const VmRecord &vm, const DatabaseName &database, const CallerId &caller,
                         const RequestId &id);
    std::vector<VmRecord> homesByDistance(const DatabaseName &database) const;

    const Identity &m_identity;
    const Directory &m_directory;
    const SettingsSource &m_settings;
    PeerClients &m_peers;
    StatementRunner &m_home;
    RequestFates &m_homeFates;
    SharedRetryBudget m_retries;
};

} // namespace nutmegtide
