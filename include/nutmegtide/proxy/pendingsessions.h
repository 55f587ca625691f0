#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/commitconfirmations.h"
#include "nutmegtide/proxy/routetable.h"
#include "nutmegtide/proxy/workspaces.h"
#include "nutmegtide/session/sessionstatement.h"

#include <deque>
#include <map>
#include <vector>

namespace nutmegtide {

// A session that arrived before the first routes.
struct PendingSession
{
    DatabaseName database;
    KeyDigest credential;
    TimePoint queuedAt;
    std::deque<SessionStatement> queue; // statements that arrived meanwhile
};

// The sessions that wait for the first routes.
class PendingSessions
{
public:
    void add(SessionKey key, PendingSession session);
    void remove(SessionKey key) { m_sessions.erase(key); }
    // Returns the session's statements, or nullptr if it doesn't wait.
    std::deque<SessionStatement> *queueOf(SessionKey key);
    // Removes and returns all of them.
    std::map<SessionKey, PendingSession> takeAll();
    // Removes those that arrived before `queuedBefore`, and returns their keys.
    std::vector<SessionKey> takeQueuedBefore(TimePoint queuedBefore);

private:
    std::map<SessionKey, PendingSession> m_sessions;
};

} // namespace nutmegtide
