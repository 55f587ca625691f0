#include "serve/sharedledger.h"

namespace nutmegtide {

void SharedLedger::apply(std::uint64_t index, const std::string &payload)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.apply(index, payload);
}

std::string SharedLedger::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.snapshot();
}

void SharedLedger::restore(const std::string &snapshot)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.restore(snapshot);
}

std::optional<GroupRecord> SharedLedger::find(const DatabaseName &database) const
{
    const std::lock_guard lock(m_mutex);
    const GroupRecord *record = m_ledger.find(database);
    return record ? std::optional(*record) : std::nullopt;
}

std::map<DatabaseName, GroupRecord> SharedLedger::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.records();
}

wire::GroupRecord toWire(const DatabaseName &database, const GroupRecord &record)
{
    wire::GroupRecord message;
    message.database = database.text();
    message.term = static_cast<std::int64_t>(record.term);
    message.primary = record.primary.text();
    for (const ServerId &server : record.voters)
        message.voters.push_back(server.text());
    for (const ServerId &server : record.pendingVoters)
        message.pendingVoters.push_back(server.text());
    return message;
}

} // namespace nutmegtide
