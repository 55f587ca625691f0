#include "nutmegtide/site/callerlimits.h"

#include <utility>

namespace nutmegtide {

namespace {

// Statements of a caller without an answer. A statement takes memory beside its bytes.
constexpr std::size_t MostUnansweredStatements = 64;
constexpr auto SearchInterval = 250ms; // short against the time for a message
constexpr std::size_t UnknownMemoryBuffered = 64 * 1024 * 1024; // bytes of all callers together
// Parts of the memory and of the descriptors that are left to everything else.
constexpr std::size_t MemoryParts = 4;
constexpr std::size_t DescriptorParts = 4;

} // namespace

CallerLimitSettings callerLimits(const ConnectionSettings &settings, std::size_t descriptors)
{
    CallerLimitSettings limits;
    limits.buffered = settings.memory > 0 ? settings.memory / MemoryParts : UnknownMemoryBuffered;
    if (settings.buffered > 0)
        limits.buffered = settings.buffered;
    limits.ahead = settings.bufferedPerCaller;
    if (settings.descriptors > 0)
        descriptors = static_cast<std::size_t>(settings.descriptors);
    limits.mostConnections = descriptors - descriptors / DescriptorParts;
    if (settings.mostCallers > 0)
        limits.mostConnections = static_cast<std::size_t>(settings.mostCallers);
    limits.messageTime = settings.messageTime;
    return limits;
}

template <typename Change>
void CallerLimits::update(SessionKey key, Change change)
{
    const auto found = m_callers.find(key);
    if (found == m_callers.end())
        return;
    Caller &caller = found->second;
    m_bySize.erase({caller.total(), key});
    m_buffered -= caller.total();
    change(caller);
    m_buffered += caller.total();
    m_bySize.emplace(caller.total(), key);
}

std::optional<SessionKey> CallerLimits::add(SessionKey key, TimePoint now)
{
    std::optional<SessionKey> dropped;
    if (m_callers.size() >= m_settings.mostConnections) {
        if (m_withoutSession.empty())
            return key;
        dropped = *m_withoutSession.begin();
        remove(*dropped);
    }
    m_callers[key].waitingSince = now;
    m_withoutSession.insert(key);
    m_bySize.emplace(0, key);
    return dropped;
}

void CallerLimits::remove(SessionKey key)
{
    const auto found = m_callers.find(key);
    if (found == m_callers.end())
        return;
    m_bySize.erase({found->second.total(), key});
    m_buffered -= found->second.total();
    m_withoutSession.erase(key);
    m_callers.erase(found);
}

void CallerLimits::sessionOpened(SessionKey key, TimePoint now)
{
    const auto found = m_callers.find(key);
    if (found == m_callers.end())
        return;
    found->second.waitingSince = now;
    m_withoutSession.erase(key);
}

void CallerLimits::sessionEnded(SessionKey key, TimePoint now)
{
    const auto found = m_callers.find(key);
    if (found == m_callers.end())
        return;
    found->second.waitingSince = now;
    m_withoutSession.insert(key);
}

void CallerLimits::setPaused(SessionKey key, bool isPaused, TimePoint now)
{
    const auto found = m_callers.find(key);
    if (found == m_callers.end())
        return;
    const bool wasPaused = std::exchange(found->second.isPaused, isPaused);
    if (wasPaused && !isPaused && hasSession(key))
        found->second.waitingSince = now;
}

void CallerLimits::statementTaken(SessionKey key, std::size_t bytes, TimePoint now)
{
    update(key, [bytes, now](Caller &caller) {
        caller.waitingSince = now; // what follows is another message
        caller.statements.push_back(bytes);
        caller.unanswered += bytes;
    });
}

void CallerLimits::statementAnswered(SessionKey key)
{
    update(key, [](Caller &caller) {
        if (caller.statements.empty())
            return;
        caller.unanswered -= caller.statements.front();
        caller.statements.pop_front();
    });
}

void CallerLimits::setIncomplete(SessionKey key, const IncompleteMessage &message, TimePoint now)
{
    update(key, [&](Caller &caller) {
        if (caller.incomplete.bytes == 0 && hasSession(key))
            caller.waitingSince = now;
        caller.incomplete = message;
    });
}

void CallerLimits::setUnread(SessionKey key, std::size_t bytes)
{
    update(key, [bytes](Caller &caller) { caller.unread = bytes; });
}

bool CallerLimits::mayRead(SessionKey key) const
{
    const auto found = m_callers.find(key);
    if (found == m_callers.end())
        return false;
    const Caller &caller = found->second;
    return caller.unanswered + caller.unread <= m_settings.ahead
            && caller.statements.size() < MostUnansweredStatements;
}

std::vector<SessionKey> CallerLimits::takeExcess()
{
    std::vector<SessionKey> excess;
    while (m_buffered > m_settings.buffered) {
        excess.push_back(m_bySize.rbegin()->second);
        remove(excess.back());
    }
    return excess;
}

std::vector<SessionKey> CallerLimits::takeOverdue(TimePoint now)
{
    std::vector<SessionKey> overdue;
    if (now < m_searchAt)
        return overdue;
    m_searchAt = now + SearchInterval;
    for (const auto &[key, caller] : m_callers) {
        const bool isWaiting = !hasSession(key)
                || (caller.incomplete.bytes > 0 && !caller.isPaused);
        if (isWaiting && now - caller.waitingSince > m_settings.messageTime)
            overdue.push_back(key);
    }
    for (const SessionKey key : overdue)
        remove(key);
    return overdue;
}

} // namespace nutmegtide
