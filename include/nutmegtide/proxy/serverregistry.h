#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/serverrecord.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace nutmegtide {

// Directory of all backend servers. latestOf() says which word about a server counts, so copies of
// the registry can be merged in any order.
//
// Anybody may announce servers. Words about a service that the configuration doesn't name, or under
// the id of another service's present server, are set aside: they hide no server, and nothing but
// counts() tells of them. A bounded number is kept, for the case that the configuration names the
// service later.
//
//   registry.addServices(routes.serviceNames(), now);
//   if (registry.merge({announcement, false}, now))
//       tellOthers(registry.find(id));
class ServerRegistry
{
public:
    static constexpr std::size_t MostServers = 16'384; // of named services
    static constexpr std::size_t MostSetAside = 1'024;

    // Adds the services that the configuration names. Before the first call all count. One that the
    // configuration names no longer still counts, since transactions may be open there.
    void addServices(const std::set<ServiceName> &services, TimePoint now);
    const std::optional<std::set<ServiceName>> &services() const { return m_services; }
    // Returns whether a word about this server counts, rather than being set aside.
    bool counts(const ServerAnnouncement &announcement) const;
    // Merges a record. Returns whether the stored record changed.
    bool merge(const ServerRecord &record, TimePoint now);
    // Records that the server has left for good. Returns whether that is a change.
    bool noteDeparture(const ServerId &server, TimePoint now);
    // Records that control confirmed the server as the service's primary in the term.
    void confirmPrimary(const ServiceName &service, const ServerId &server, Term term);
    // Returns the server's record, or nullptr if it is unknown.
    const ServerRecord *find(const ServerId &server) const;
    // Returns the servers that have not left.
    std::vector<ServerRecord> present() const;
    std::vector<ServerRecord> presentOf(const ServiceName &service) const;
    // Returns all records, for merging into other registries.
    std::vector<ServerRecord> all() const;
    // Some records, and the version up to which a reader of them has been told all changes.
    struct Changes
    {
        std::vector<ServerRecord> records;
        std::uint64_t version = 0;
    };
    // Returns the records that changed in more than their sequence number after the version, at
    // most `most` of them, in the order of their changes.
    Changes changedSince(std::uint64_t version, std::size_t most) const;
    // Returns at most `most` records after the server in the order of ids.
    std::vector<ServerRecord> recordsAfter(const ServerId &server, std::size_t most) const;
    std::size_t size() const { return m_entries.size(); }
    // Removes servers that left longer than `age` ago. Until then the record rejects announcements
    // that arrive late.
    void forget(std::chrono::milliseconds age, TimePoint now);
    // Increases whenever a record changes in more than its sequence number.
    std::uint64_t version() const { return m_version; }

private:
    struct Entry
    {
        ServerRecord record;
        TimePoint heardAt;
        std::uint64_t changedAt = 0; // the version of the latest change
    };

    bool isNamed(const ServiceName &service) const;
    void noteChange(const ServerId &server, Entry &entry);
    void setAside(const ServerRecord &record, TimePoint now);
    void forgetSetAside(TimePoint now);

    std::map<ServerId, Entry> m_entries;
    std::map<std::pair<ServiceName, ServerId>, Entry> m_setAside;
    std::optional<std::set<ServiceName>> m_services;
    std::map<std::uint64_t, ServerId> m_byChange; // by Entry::changedAt
    std::uint64_t m_version = 0;
};

} // namespace nutmegtide
