#include "nutmegtide/proxy/pendingsessions.h"

#include <utility>

namespace nutmegtide {

void PendingSessions::add(SessionKey key, PendingSession session)
{
    m_sessions[key] = std::move(session);
}

std::deque<SessionStatement> *PendingSessions::queueOf(SessionKey key)
{
    const auto found = m_sessions.find(key);
    return found == m_sessions.end() ? nullptr : &found->second.queue;
}

std::map<SessionKey, PendingSession> PendingSessions::takeAll()
{
    return std::exchange(m_sessions, {});
}

std::vector<SessionKey> PendingSessions::takeQueuedBefore(TimePoint queuedBefore)
{
    std::vector<SessionKey> taken;
    std::erase_if(m_sessions, [&](const auto &item) {
        const bool isTaken = item.second.queuedAt < queuedBefore;
        if (isTaken)
            taken.push_back(item.first);
        return isTaken;
    });
    return taken;
}

} // namespace nutmegtide
