#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"

namespace nutmegtide {

// What a read needs of a server's log.
struct ReadNeed
{
    LogPosition position; // LogPosition() for nothing
    TimePoint reachedAt; // the primary's log is known to have held it since then
};

// How far one server's log is behind its primary's, as far as its answers tell. It only steers
// reads: a server that is asked in vain says so and runs nothing.
//
//   if (lag.probablyHolds(need, now))
//       ask(replica);
//   ...
//   lag.noteMissing(need, sentAt); // it said that its log is behind
class ReplicaLag
{
public:
    // The server's log holds the position.
    void noteHeld(const LogPosition &position, const ReadNeed &need, TimePoint askedAt);
    // The server's log lacked what was needed.
    void noteMissing(const ReadNeed &need, TimePoint askedAt);
    bool probablyHolds(const ReadNeed &need, TimePoint now) const;

private:
    Duration estimate(TimePoint now) const;

    LogPosition m_held;
    Duration m_lag {};
    TimePoint m_notedAt;
};

} // namespace nutmegtide
