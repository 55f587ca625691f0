#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/routetable.h"

#include <optional>

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
    // The highest sequence number of this lifetime at which the server announced that it isn't
    // leaving, as far as the record's announcement doesn't tell; and the one that was known when
    // its departure was noted. See latestOf().
    std::uint64_t readySequence = 0;
    std::optional<std::uint64_t> departedAfter {};

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

// The rule for which word about a server counts. Returns what two records of the same server, each
// from announcements and departures in any order, say together; so copies of records can be merged
// in any order, and repeatedly.
//
// A later lifetime replaces all that is known of earlier ones. Within a lifetime the announcement
// with the highest sequence number counts. A departure names neither, and may have been held up
// since an earlier lifetime: it is taken as of the latest announcement that was known when it came.
// It holds unless the server goes on announcing that it is ready. A server that departs has been
// leaving before, so an announcement that it is leaving shows nothing.
ServerRecord latestOf(const ServerRecord &known, const ServerRecord &heard);

// Returns the record after the server has departed.
ServerRecord departed(const ServerRecord &known);

} // namespace nutmegtide
