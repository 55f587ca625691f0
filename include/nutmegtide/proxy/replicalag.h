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

// Lag that replicas usually have, learned from all of a site together. A single replica is asked
// too seldom by one process to learn it, and one that is tried in vain each time costs a round
// trip. Only positions so young that they tell a usual lag from a disturbance count.
class UsualLag
{
public:
    // Records that a replica lacked, or had, a position that the primary's log had reached `age` ago.
    void noteMissing(Duration age, TimePoint now);
    void noteHeld(Duration age, TimePoint now);
    Duration value(TimePoint now) const;

private:
    Duration m_lag {};
    TimePoint m_notedAt {};
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
    // Records that the server's log held `position` when it was asked. Returns whether it wasn't
    // known to hold what was needed.
    bool noteHeld(const LogPosition &position, const ReadNeed &need, TimePoint askedAt);
    // Records that the server's log had not reached the required position.
    void noteMissing(const ReadNeed &need, TimePoint askedAt);
    // Returns whether the log has probably reached the required position. Lags below `usual` aren't
    // expected.
    bool probablyHolds(const ReadNeed &need, TimePoint now, Duration usual = {}) const;
    // Returns whether the log lacked a position of about this age a moment ago, so that it would be
    // asked in vain.
    bool hasLackedLately(const ReadNeed &need, TimePoint now) const;
    // Returns the estimate as it was when it was last updated, and that time; TimePoint() if it
    // never was.
    Duration notedLag() const { return m_lag; }
    TimePoint notedAt() const { return m_notedAt; }

private:
    Duration estimate(TimePoint now) const;

    LogPosition m_held;
    Duration m_lag {};
    TimePoint m_notedAt;
    TimePoint m_missedAt {};
};

} // namespace nutmegtide
