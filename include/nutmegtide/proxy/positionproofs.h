#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/session/sessionstatement.h"

#include <deque>
#include <optional>
#include <vector>

namespace nutmegtide {

// Returns the commands by which a primary proves its role: a read-write begin and a rollback. A
// server that is no longer the primary refuses a read-write begin; the reply to it carries the log
// position.
std::vector<ServerCommand> proofCommands();

// Log positions of a service's primary, each with the time at which it was requested.
//
// If a server proves in its reply to a request sent at time t that it is the primary, then at t its
// log held every commit acknowledged before t. Any server whose log has reached the position in the
// reply holds those commits too. Only times of this process are compared, so clock skew between VMs
// has no effect.
//
//   proofs.add(sentAt, reply.position);
//    proofs.coveringSince(now - route.largestAge); // position for a read of bounded age
class PositionProofs
{
public:
    struct Proof
    {
        TimePoint askedAt;
        LogPosition position;
    };

    // Adds a position that a confirmed primary returned. Proofs may be added out of order; they are
    // kept sorted by `askedAt`.
    void add(TimePoint askedAt, const LogPosition &position);
    // Returns the proof with the lowest position that covers every commit acknowledged before
    // `moment`, or nullopt if no proof was requested at or after `moment`.
    std::optional<Proof> coveringSince(TimePoint moment) const;
    // Returns when the latest proof was requested, or nullopt if there is none.
    std::optional<TimePoint> latest() const;

    // Returns the earliest time, at most 2 s before the proof, at which the log is known to have
    // reached the proof's position.
    TimePoint reachedAt(const Proof &proof) const;

private:
    std::deque<Proof> m_proofs; // sorted by askedAt
};

} // namespace nutmegtide
