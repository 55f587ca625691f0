#pragma once

#include "nutmegtide/fleet/groupstate.h"
#include "nutmegtide/settings/fleetsettings.h"

#include <map>
#include <vector>

namespace nutmegtide {

// How long a server may be silent before its status changes.
struct StatusTimeouts
{
    Duration suspectedAfter; // until the primary is suspected
    Duration lostAfter; // until any server counts as lost, in events and in reports
};

// Returns the timeouts. A server is lost once it has missed two announcements, but not within 3 s.
StatusTimeouts statusTimeouts(const FailoverSettings &settings);

// The status of one server, whose changes a home reports at once. Log positions are left out
// because each write changes them.
struct ServerStatus
{
    Incarnation incarnation = 0;
    Term term = 0;
    Term durableTerm = 0; // of its last durable log entry
    ServerRole role = ServerRole::Replica;
    ServerState state = ServerState::Joining;
    std::vector<ServerId> voters;
    bool isRefusing = false; // it refused the latest connection
    bool isLost = false; // silent for longer than lostAfter

    bool operator==(const ServerStatus &) const = default;
};

// The status of one database group, whose changes a home reports at once.
struct GroupStatus
{
    Term term = 0;
    // No primary is known, or it refuses connections or was silent for the detection time.
    bool isSuspected = false;
    std::map<ServerId, ServerStatus> servers;

    bool operator==(const GroupStatus &) const = default;
};

// Return the status of a server or a group at this time.
ServerStatus statusOf(const GroupServer &server, const StatusTimeouts &timeouts, TimePoint now);
GroupStatus statusOf(const GroupState &group, const StatusTimeouts &timeouts, TimePoint now);

// Returns when the status next changes if no server is heard from until then;
// TimePoint::max() if silence alone changes nothing more.
TimePoint statusChangesAt(const GroupState &group, const StatusTimeouts &timeouts, TimePoint now);

} // namespace nutmegtide
