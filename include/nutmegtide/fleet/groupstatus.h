#pragma once

#include "nutmegtide/fleet/groupstate.h"
#include "nutmegtide/settings/fleetsettings.h"

#include <map>
#include <vector>

namespace nutmegtide {

// Silences that change a sight.
struct StatusTimeouts
{
    Duration suspectedAfter; // of the primary
    Duration lostAfter; // of any server, on the time line and in reports
};

// A server is lost once it has missed two announcements, and not sooner than in 3 s.
StatusTimeouts statusTimeouts(const FailoverSettings &settings);

// What a home tells of one server at once when it changes. Positions are left out,
// since each write changes them.
struct ServerStatus
{
    Incarnation incarnation = 0;
    Term term = 0;
    Term durableTerm = 0;
    ServerRole role = ServerRole::Replica;
    ServerState state = ServerState::Joining;
    std::vector<ServerId> voters;
    bool isRefusing = false;
    bool isLost = false;

    bool operator==(const ServerStatus &) const = default;
};

// What a home tells of one database group at once when it changes.
struct GroupStatus
{
    Term term = 0;
    bool isSuspected = false; // silent for the detection time, refusing, or no primary is there
    std::map<ServerId, ServerStatus> servers;

    bool operator==(const GroupStatus &) const = default;
};

ServerStatus statusOf(const GroupServer &server, const StatusTimeouts &timeouts, TimePoint now);
GroupStatus statusOf(const GroupState &group, const StatusTimeouts &timeouts, TimePoint now);

// Returns the moment at which the sight changes if no server is heard until then;
// TimePoint::max() when silence alone changes nothing more.
TimePoint statusChangesAt(const GroupState &group, const StatusTimeouts &timeouts, TimePoint now);

} // namespace nutmegtide
