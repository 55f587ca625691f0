#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/routetable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// State that a backend server announces.
struct ServerAnnouncement
{
    ServerId server;
    ServiceName service;
    Endpoint address;
    FailureDomain failureDomain;
    int slots = 0; // statements that the server runs concurrently
    bool isLeaving = false;
    bool isPrimary = false;
    // Increases with each start of the server; 0 if the server doesn't announce it.
    std::uint64_t lifetime = 0;
    std::uint64_t sequence = 0; // increases with each announcement of a lifetime

    bool operator==(const ServerAnnouncement &) const = default;
};

// Latest announcement of a server, and what is known of it besides.
struct ServerRecord
{
    ServerAnnouncement announcement;
    bool isGone = false;
    // Latest term in which control confirmed the service's primary; announcement.isPrimary is from
    // that confirmation or later. 0 if it was never confirmed.
    Term confirmedTerm = 0;
    // When the server began to leave, by the clock of this process; nullopt if it isn't leaving.
    std::optional<TimePoint> leavingSince {};

    // Returns whether the server has been leaving for `leaveTime`, after which it gets no new work.
    bool isPastLeaveTime(Duration leaveTime, TimePoint now) const
    {
        return leavingSince && now - *leavingSince >= leaveTime;
    }
    // Ignores leavingSince: each process that receives the record computes it anew, so a difference
    // is not a change.
    bool operator==(const ServerRecord &other) const
    {
        return announcement == other.announcement && isGone == other.isGone
                && confirmedTerm == other.confirmedTerm;
    }
};

// Directory of all backend servers. An announcement older than the stored one is ignored, so copies
// of the registry can be merged in any order.
//
//   if (registry.merge({announcement, false}, now))
//       tellOthers(registry.find(id));
class ServerRegistry
{
public:
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

    void noteChange(const ServerId &server, Entry &entry);

    std::map<ServerId, Entry> m_entries;
    std::map<std::uint64_t, ServerId> m_byChange; // by Entry::changedAt
    std::uint64_t m_version = 0;
};

} // namespace nutmegtide
