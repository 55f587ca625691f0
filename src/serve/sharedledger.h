#pragma once

#include "nutmegtide/failover/groupledger.h"
#include "peer_types.h"

#include <mutex>

namespace nutmegtide {

// The ledger of groups behind a lock, since the log applies to it from its own thread.
class SharedLedger : public StateMachine
{
public:
    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    void restore(const std::string &snapshot) override;

    std::optional<GroupRecord> find(const DatabaseName &database) const;
    std::map<DatabaseName, GroupRecord> records() const;

private:
    mutable std::mutex m_mutex;
    GroupLedger m_ledger;
};

wire::GroupRecord toWire(const DatabaseName &database, const GroupRecord &record);

} // namespace nutmegtide
