#pragma once

#include "nutmegtide/statement/statement.h"
#include "serve/directory.h"
#include "serve/identity.h"
#include "serve/peerclient.h"
#include "serve/settingssource.h"
#include "serve/transactions.h"

namespace nutmegtide {

// Brings a caller's statement to where it can run: to this process if it is a
// home proxy of the database, else to a home proxy over Thrift, the one in the
// own failure domain first. A statement of a transaction goes to the
// transaction's owner in one hop.
class EntryRunner : public StatementRunner
{
public:
    EntryRunner(const Identity &identity, const Directory &directory,
                const SettingsSource &settings, PeerClients &peers, StatementRunner &home);

    StatementResult run(const Statement &statement) override;

private:
    StatementResult runAtOwner(const Statement &statement, const TransactionOwner &owner);
    StatementResult runAt(const VmRecord &vm, const Statement &statement);
    std::vector<VmRecord> homesByDistance(const DatabaseName &database) const;

    const Identity &m_identity;
    const Directory &m_directory;
    const SettingsSource &m_settings;
    PeerClients &m_peers;
    StatementRunner &m_home;
};

} // namespace nutmegtide
