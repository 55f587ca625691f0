#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/commitconfirmations.h"
#include "nutmegtide/settings/nodesettings.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

// Limits of the memory and connections that callers may use.
struct CallerLimitSettings
{
    std::size_t buffered = 0; // bytes of all callers together
    std::size_t ahead = 0; // bytes of one caller at which it isn't read any more
    std::size_t mostConnections = 0;
    Duration messageTime {}; // for a message to arrive whole, and for a session to be opened

    bool operator==(const CallerLimitSettings &) const = default;
};

// A message that hasn't arrived whole.
struct IncompleteMessage
{
    std::size_t bytes = 0; // 0 between messages
    std::size_t memory = 0; // bytes that its buffer takes, which may be more
};

// Returns the limits of a process that may open so many descriptors.
CallerLimitSettings callerLimits(const ConnectionSettings &settings, std::size_t descriptors);

// Decides which callers are read, and which ones are disconnected, so that their number and what is
// buffered for them stay bounded.
//
// What is buffered for a caller is the memory of the incomplete message that it is sending, its
// statements without an answer and the answers that it hasn't read. A caller with more than `ahead`
// bytes of the last two is not read until it has less. If all callers together have more than
// `buffered` bytes, the one with the most is disconnected. Where there are as many connections as
// are allowed, the oldest one without a session makes room for a new one.
//
//   const auto dropped = limits.add(caller, now); // may be the new caller itself
//   limits.statementTaken(caller, bytes);
//   limits.setIncomplete(caller, bytes, now);
//   for (const SessionKey dropped : limits.takeExcess()) ...
class CallerLimits
{
public:
    explicit CallerLimits(const CallerLimitSettings &settings)
        : m_settings(settings)
    { }

    // Adds a connection. Returns the caller to disconnect for it, if there is one too many.
    std::optional<SessionKey> add(SessionKey caller, TimePoint now);
    void remove(SessionKey caller);
    void sessionOpened(SessionKey caller, TimePoint now);
    // The session has ended, and its last answers are being sent.
    void sessionEnded(SessionKey caller, TimePoint now);
    void statementTaken(SessionKey caller, std::size_t bytes, TimePoint now);
    void statementAnswered(SessionKey caller);
    // Sets the message that the caller is sending.
    void setIncomplete(SessionKey caller, const IncompleteMessage &message, TimePoint now);
    void setUnread(SessionKey caller, std::size_t bytes);

    bool mayRead(SessionKey caller) const;
    // A caller that isn't read can't complete its message, so its time begins anew when it is read.
    void setPaused(SessionKey caller, bool isPaused, TimePoint now);
    // Returns the callers to disconnect so that the others stay within the limit, and removes them.
    std::vector<SessionKey> takeExcess();
    // Returns the callers whose message or session is overdue, and removes them. Searches them a
    // few times a second, however often it is called.
    std::vector<SessionKey> takeOverdue(TimePoint now);
    std::size_t buffered() const { return m_buffered; }

private:
    struct Caller
    {
        bool isPaused = false;
        std::deque<std::size_t> statements; // bytes of each that has no answer
        std::size_t unanswered = 0; // bytes
        IncompleteMessage incomplete;
        std::size_t unread = 0;
        TimePoint waitingSince; // for the session, or for the rest of a message

        std::size_t total() const { return unanswered + incomplete.memory + unread; }
    };

    bool hasSession(SessionKey caller) const { return m_withoutSession.count(caller) == 0; }
    // Applies a change to a caller and keeps the sums.
    template <typename Change>
    void update(SessionKey caller, Change change);

    const CallerLimitSettings m_settings;
    std::map<SessionKey, Caller> m_callers;
    std::set<SessionKey> m_withoutSession; // the oldest one is first
    std::set<std::pair<std::size_t, SessionKey>> m_bySize;
    std::size_t m_buffered = 0;
    TimePoint m_searchAt {}; // no search for overdue callers before
};

} // namespace nutmegtide
