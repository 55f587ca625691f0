#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/commitconfirmations.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace nutmegtide {

// One timer for each session that has one set.
//
//   timers.set(session, now + 3s);
//   while (const auto session = timers.takeDue(now))
//       handle(*session);
class SessionTimers
{
public:
    // Replaces the session's timer, if it has one.
    void set(SessionKey session, TimePoint moment);
    void clear(SessionKey session);
    // Clears the first timer that is due, and returns its session.
    std::optional<SessionKey> takeDue(TimePoint now);
    // Returns when the next timer is due; nothing without one.
    std::optional<TimePoint> next() const;

private:
    std::set<std::pair<TimePoint, SessionKey>> m_timers;
    std::map<SessionKey, TimePoint> m_moments; // of m_timers
};

} // namespace nutmegtide
