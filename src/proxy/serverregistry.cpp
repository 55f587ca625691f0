#include "nutmegtide/proxy/serverregistry.h"

#include <algorithm>
#include <initializer_list>

namespace nutmegtide {

namespace {

constexpr auto SetAsideTime = 10s; // a word that is set aside is kept for so long

// Of a server that stays gone, nothing more is told.
bool staysGone(const ServerRecord &left, const ServerRecord &right)
{
    return left.isGone && right.isGone && left.announcement.lifetime == right.announcement.lifetime;
}

bool isSameState(const ServerRecord &left, const ServerRecord &right)
{
    if (staysGone(left, right))
        return true;
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

void ServerRegistry::addServices(const std::set<ServiceName> &services, TimePoint now)
{
    const std::optional<std::set<ServiceName>> before = m_services;
    if (!m_services)
        m_services.emplace();
    m_services->insert(services.begin(), services.end());
    if (m_services == before)
        return;
    std::vector<ServerRecord> unnamed;
    std::erase_if(m_entries, [&](const auto &item) {
        const ServerRecord &record = item.second.record;
        if (isNamed(record.announcement.service))
            return false;
        unnamed.push_back(record);
        m_byChange.erase(item.second.changedAt);
        return true;
    });
    if (!unnamed.empty())
        ++m_version;
    const auto kept = std::exchange(m_setAside, {});
    for (const ServerRecord &record : unnamed)
        setAside(record, now);
    for (const auto &[key, entry] : kept)
        merge(entry.record, now);
}

bool ServerRegistry::isNamed(const ServiceName &service) const
{
    return !m_services || m_services->count(service) != 0;
}

bool ServerRegistry::counts(const ServerAnnouncement &announcement) const
{
    if (!isNamed(announcement.service))
        return false;
    const auto found = m_entries.find(announcement.server);
    if (found == m_entries.end())
        return m_entries.size() < MostServers;
    const ServerRecord &known = found->second.record;
    return known.isGone || known.announcement.service == announcement.service;
}

void ServerRegistry::setAside(const ServerRecord &record, TimePoint now)
{
    if (m_setAside.size() >= MostSetAside)
        forgetSetAside(now);
    const auto key = std::make_pair(record.announcement.service, record.announcement.server);
    const auto found = m_setAside.find(key);
    if (found != m_setAside.end())
        found->second = {latestOf(found->second.record, record), now};
    else if (m_setAside.size() < MostSetAside)
        m_setAside[key] = {record, now};
}

void ServerRegistry::forgetSetAside(TimePoint now)
{
    std::erase_if(m_setAside,
                  [now](const auto &item) { return now - item.second.heardAt > SetAsideTime; });
}

bool ServerRegistry::merge(const ServerRecord &record, TimePoint now)
{
    const ServerId &server = record.announcement.server;
    if (!counts(record.announcement)) {
        setAside(record, now);
        return false;
    }
    const auto found = m_entries.find(server);
    const bool isReplaced = found != m_entries.end()
            && found->second.record.announcement.service != record.announcement.service;
    if (found == m_entries.end() || isReplaced) {
        Entry &entry = m_entries[server];
        entry.record = latestOf(record, record);
        entry.record.leavingSince = leavingSince(entry.record.announcement, {&record}, now);
        entry.heardAt = now;
        noteChange(server, entry);
        return true;
    }
    Entry &entry = found->second;
    ServerRecord latest = latestOf(entry.record, record);
    if (latest.announcement != entry.record.announcement || latest.isGone != entry.record.isGone)
        entry.heardAt = now;
    latest.leavingSince = leavingSince(latest.announcement, {&entry.record, &record}, now);
    const bool isChanged = latest != entry.record && !staysGone(latest, entry.record);
    if (!isSameState(entry.record, latest))
        noteChange(server, entry);
    entry.record = latest;
    return isChanged;
}

bool ServerRegistry::noteDeparture(const ServerId &server, TimePoint now)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || found->second.record.isGone)
        return false;
    found->second.record = departed(found->second.record);
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
    forgetSetAside(now);
    std::erase_if(m_entries, [this, age, now](const auto &item) {
        const bool isForgotten = item.second.record.isGone && now - item.second.heardAt > age;
        if (isForgotten)
            m_byChange.erase(item.second.changedAt);
        return isForgotten;
    });
}

} // namespace nutmegtide
