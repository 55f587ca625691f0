#include "serve/directory.h"

namespace nutmegtide {

void Directory::put(const VmRecord &record)
{
    const std::lock_guard lock(m_mutex);
    m_records[record.vm] = record;
}

void Directory::remove(const VmName &vm)
{
    const std::lock_guard lock(m_mutex);
    m_records.erase(vm);
}

void Directory::setRevision(const VmName &vm, Revision revision)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(vm);
    if (found != m_records.end())
        found->second.revision = revision;
}

std::optional<VmRecord> Directory::find(const VmName &vm) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(vm);
    if (found == m_records.end())
        return std::nullopt;
    return found->second;
}

std::vector<VmRecord> Directory::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<VmRecord> records;
    for (const auto &[vm, record] : m_records)
        records.push_back(record);
    return records;
}

std::vector<VmName> Directory::homesOf(const DatabaseName &database, const PlacementRule &rule) const
{
    std::vector<PlacementCandidate> candidates;
    for (const VmRecord &record : all())
        candidates.push_back({record.vm, record.failureDomain, record.isDraining});
    return chooseHomes(database, candidates, rule);
}

} // namespace nutmegtide
