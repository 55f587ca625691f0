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

// What a backend server says of itself.
struct ServerAnnouncement
{
    ServerId server;
    ServiceName service;
    Endpoint address;
    FailureDomain failureDomain;
    int slots = 0; // statements that run at the same time
    bool isLeaving = false;
    bool isPrimary = false;
    std::uint64_t lifetime = 0; // grows with each start of the server; 0 where it isn't told
    std::uint64_t sequence = 0; // grows within a lifetime

    bool operator==(const ServerAnnouncement &) const = default;
};

// The latest announcement of a server, and whether it is gone.
struct ServerRecord
{
    ServerAnnouncement announcement;
    bool isGone = false;
    // The term of the service in which control last made sure who leads; said.isPrimary is from
    // then or later. 0 for never.
    Term confirmedTerm = 0;
    // When it began to leave, on this process's clock; nothing while it doesn't leave.
    std::optional<TimePoint> leavingSince {};

    // Whether its time to leave is over, so that it gets no new work, whatever else is under way.
    bool isPastLeaveTime(Duration leaveTime, TimePoint now) const
    {
        return leavingSince && now - *leavingSince >= leaveTime;
    }
    // Processes that tell each other of a server reckon its leavingSince anew, so a difference in
    // it is no news.
    bool operator==(const ServerRecord &other) const
    {
        return announcement == other.announcement && isGone == other.isGone && confirmedTerm == other.confirmedTerm;
    }
};

// All backend servers, by their announcements. An announcement that is older than the one known
// changes nothing, so copies of the registry can be merged in any order.
//
//   if (registry.take({announcement, false}, now))
//       tellOthers(registry.find(id));
class ServerRegistry
{
public:
    // Returns whether the record is news.
    bool take(const ServerRecord &record, TimePoint now);
    // The server said that it leaves for good. Returns whether that is news.
    bool noteDeparture(const ServerId &server, TimePoint now);
    // Control has made sure that the server leads its service in the term.
    void confirmPrimary(const ServiceName &service, const ServerId &server, Term term);
    const ServerRecord *find(const ServerId &server) const;
    // Those that are not gone.
    std::vector<ServerRecord> present() const;
    // All, for other registries.
    std::vector<ServerRecord> all() const;
    // Drops what is gone for a while; late announcements come within it.
    void forget(std::chrono::milliseconds age, TimePoint now);
    // Grows with each change of a role, an address or a phase, not with repeated announcements.
    std::uint64_t version() const { return m_version; }

private:
    struct Entry
    {
        ServerRecord record;
        TimePoint heardAt;
    };

    std::map<ServerId, Entry> m_entries;
    std::uint64_t m_version = 0;
};

} // namespace nutmegtide
