#include "nutmegtide/proxy/serverregistry.h"

#include <algorithm>
#include <initializer_list>
#include <tuple>

namespace nutmegtide {

namespace {

// Ordering key of a server's records. Within a lifetime, the record of its departure is the last
// one.
auto orderOf(const ServerRecord &record)
{
    return std::make_tuple(record.announcement.lifetime, record.isGone,
                           record.announcement.sequence);
}

bool isSameState(const ServerRecord &left, const ServerRecord &right)
{
    ServerRecord copy = left;
    copy.announcement.sequence = right.announcement.sequence;
    return copy == right;
}

// Returns the earliest time at which any process learned that the server is leaving in its current
// lifetime, according to the records that were received.
std::optional<TimePoint> leavingSince(const ServerAnnouncement &announcement,
                                      std::initializer_list<const ServerRecord *> heard,
                                      TimePoint now)
{
    if (!announcement.isLeaving)
        return std::nullopt;
    TimePoint since = now;
    for (const ServerRecord *record : heard) {
        if (record->leavingSince && record->announcement.lifetime == announcement.lifetime)
            since = std::min(since, *record->leavingSince);
    }
    return since;
}

} // namespace

bool ServerRegistry::merge(const ServerRecord &record, TimePoint now)
{
    const auto found = m_entries.find(record.announcement.server);
    if (found == m_entries.end()) {
        ServerRecord first = record;
        first.leavingSince = leavingSince(record.announcement, {&record}, now);
        Entry &entry = m_entries[record.announcement.server];
        entry = {first, now};
        noteChange(record.announcement.server, entry);
        return true;
    }
    Entry &entry = found->second;
    ServerRecord latest = entry.record;
    if (orderOf(record) > orderOf(latest)) {
        latest = record;
        latest.confirmedTerm = std::max(record.confirmedTerm, entry.record.confirmedTerm);
        entry.heardAt = now;
    }
    // A confirmation is later than the announcement in its own record, and perhaps than newer ones.
    if (record.confirmedTerm > entry.record.confirmedTerm) {
        latest.confirmedTerm = record.confirmedTerm;
        latest.announcement.isPrimary = record.announcement.isPrimary;
    }
    latest.leavingSince = leavingSince(latest.announcement, {&entry.record, &record}, now);
    const bool isChanged = latest != entry.record;
    if (!isSameState(entry.record, latest))
        noteChange(record.announcement.server, entry);
    entry.record = latest;
    return isChanged;
}

bool ServerRegistry::noteDeparture(const ServerId &server, TimePoint now)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || found->second.record.isGone)
        return false;
    found->second.record.isGone = true;
    found->second.heardAt = now;
    noteChange(server, found->second);
    return true;
}

void ServerRegistry::confirmPrimary(const ServiceName &service, const ServerId &server, Term term)
{
    for (auto &[id, entry] : m_entries) {
        ServerRecord &record = entry.record;
        const bool isPrimary = id == server;
        if (record.announcement.service != service || record.confirmedTerm > term)
            continue;
        if (record.confirmedTerm == term && record.announcement.isPrimary == isPrimary)
            continue;
        record.confirmedTerm = term;
        record.announcement.isPrimary = isPrimary;
        noteChange(id, entry);
    }
}

const ServerRecord *ServerRegistry::find(const ServerId &server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<ServerRecord> ServerRegistry::present() const
{
    std::vector<ServerRecord> records;
    for (const auto &[server, entry] : m_entries) {
        if (!entry.record.isGone)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<ServerRecord> ServerRegistry::presentOf(const ServiceName &service) const
{
    std::vector<ServerRecord> records;
    for (const auto &[server, entry] : m_entries) {
        if (!entry.record.isGone && entry.record.announcement.service == service)
            records.push_back(entry.record);
    }
    return records;
}

std::vector<ServerRecord> ServerRegistry::all() const
{
    std::vector<ServerRecord> records;
    for (const auto &[server, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

void ServerRegistry::noteChange(const ServerId &server, Entry &entry)
{
    m_byChange.erase(entry.changedAt);
    entry.changedAt = ++m_version;
    m_byChange.emplace(entry.changedAt, server);
}

ServerRegistry::Changes ServerRegistry::changedSince(std::uint64_t version, std::size_t most) const
{
    Changes changes {{}, m_version};
    for (auto change = m_byChange.upper_bound(version); change != m_byChange.end(); ++change) {
        if (changes.records.size() == most)
            return changes;
        changes.records.push_back(m_entries.at(change->second).record);
        changes.version = change->first;
    }
    changes.version = m_version;
    return changes;
}

std::vector<ServerRecord> ServerRegistry::recordsAfter(const ServerId &server,
                                                       std::size_t most) const
{
    std::vector<ServerRecord> records;
    for (auto entry = m_entries.upper_bound(server);
         entry != m_entries.end() && records.size() < most; ++entry)
        records.push_back(entry->second.record);
    return records;
}

void ServerRegistry::forget(std::chrono::milliseconds age, TimePoint now)
{
    std::erase_if(m_entries, [this, age, now](const auto &item) {
        const bool isForgotten = item.second.record.isGone && now - item.second.heardAt > age;
        if (isForgotten)
            m_byChange.erase(item.second.changedAt);
        return isForgotten;
    });
}

} // namespace nutmegtide
