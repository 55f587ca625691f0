#include "nutmegtide/proxy/sessiontimers.h"

namespace nutmegtide {

void SessionTimers::set(SessionKey session, TimePoint moment)
{
    clear(session);
    m_timers.emplace(moment, session);
    m_moments[session] = moment;
}

void SessionTimers::clear(SessionKey session)
{
    const auto found = m_moments.find(session);
    if (found == m_moments.end())
        return;
    m_timers.erase({found->second, session});
    m_moments.erase(found);
}

std::optional<SessionKey> SessionTimers::takeDue(TimePoint now)
{
    if (m_timers.empty() || m_timers.begin()->first > now)
        return std::nullopt;
    const SessionKey session = m_timers.begin()->second;
    clear(session);
    return session;
}

std::optional<TimePoint> SessionTimers::next() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

} // namespace nutmegtide
