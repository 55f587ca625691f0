#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

namespace nutmegtide {

// Requirement of a read on a server's log.
struct ReadNeed
{
    LogPosition position; // position that the log must have reached; LogPosition() for none
    // Time since which the primary's log is known to have held the position.
    TimePoint reachedAt;
};

// Estimates the replication lag of one server from its replies. The estimate only guides the choice
// of a server: one whose log is behind refuses the read and runs nothing.
//
//   if (lag.probablyHolds(need, now))
//       ask(replica);
//   ...
//   lag.noteMissing(need, sentAt); // the replica replied that its log is behind
class ReplicaLag
{
public:
    // Records that the server's log held `position` when it was asked.
    void noteHeld(const LogPosition &position, const ReadNeed &need, TimePoint askedAt);
    // Records that the server's log had not reached the required position.
    void noteMissing(const ReadNeed &need, TimePoint askedAt);
    // Returns whether the log has probably reached the required position.
    bool probablyHolds(const ReadNeed &need, TimePoint now) const;

private:
    Duration estimate(TimePoint now) const;

    LogPosition m_held;
    Duration m_lag {};
    TimePoint m_notedAt;
};

} // namespace nutmegtide
