#include "nutmegtide/base/httplimits.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// The lowest pace of a body behind the message time; 1 MiB may take 64 s besides.
constexpr std::size_t LowestPace = 16'384; // bytes a second
// So many bytes of a body count as progress; a client that sends single bytes makes none.
constexpr std::size_t ProgressBytes = 4'096;
// An answer of which nothing was read for so long isn't being read.
constexpr Duration UnreadTime = 5s;
// A connection that waits is not ended at a search before this time: its client may be about to
// send.
constexpr Duration ShortestWait = 250ms;
constexpr HttpConnectionKey NoConnection = 0;

} // namespace

std::string_view nameOf(HttpLimitReason reason)
{
    switch (reason) {
    case HttpLimitReason::ThreadNeeded:
        return "thread_needed";
    case HttpLimitReason::BodyMemory:
        return "body_memory";
    case HttpLimitReason::BodyOverdue:
        return "body_overdue";
    }
    return "unknown";
}

HttpListenerKey HttpLimits::addListener(std::size_t threads, std::size_t largestBody)
{
    m_mostBodies = std::max(m_mostBodies, largestBody);
    m_listeners.push_back({threads, 0, 0, {}});
    return m_listeners.size() - 1;
}

std::vector<HttpEnding> HttpLimits::add(HttpConnectionKey key, HttpListenerKey listener,
                                        TimePoint now)
{
    Connection &connection = m_connections[key];
    connection.listener = listener;
    connection.waitingSince = now;
    ++m_listeners[listener].held;
    std::vector<HttpEnding> endings;
    if (areThreadsNeeded(listener)) {
        if (const auto ending = takeLongestWaiting(listener, key, Duration::zero(), now))
            endings.push_back(*ending);
    }
    return endings;
}

void HttpLimits::remove(HttpConnectionKey key)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    const Connection &connection = found->second;
    Listener &listener = m_listeners[connection.listener];
    if (!connection.ending) {
        --listener.held;
        if (!connection.hasSentHeader)
            notEnded(connection.listener);
    } else {
        m_endingBodies -= connection.memory;
    }
    m_bodies -= connection.memory;
    m_connections.erase(found);
}

void HttpLimits::notEnded(HttpListenerKey key)
{
    Listener &listener = m_listeners[key];
    if (listener.endingWithoutHeader > 0)
        --listener.endingWithoutHeader;
}

void HttpLimits::bodyBegun(HttpConnectionKey key, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    Connection &connection = found->second;
    connection.hasSentHeader = true;
    connection.state = State::Body;
    connection.waitingSince = now;
    connection.bodyBegunAt = now;
    connection.bodyBytes = 0;
    connection.progress = 0;
}

std::vector<HttpEnding> HttpLimits::bodyReceived(HttpConnectionKey key, std::size_t bytes,
                                                 std::size_t memory, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return {};
    Connection &received = found->second;
    received.bodyBytes += bytes;
    received.progress += bytes;
    if (received.progress >= ProgressBytes) {
        received.progress = 0;
        received.waitingSince = now;
    }
    m_bodies = m_bodies - received.memory + memory;
    if (received.ending)
        m_endingBodies = m_endingBodies - received.memory + memory;
    received.memory = memory;
    std::vector<HttpEnding> endings;
    while (m_bodies - m_endingBodies > m_mostBodies) {
        HttpConnectionKey largest = NoConnection;
        Connection *holder = nullptr;
        for (auto &[other, connection] : m_connections) {
            const bool isIncomplete = connection.state == State::Body && !connection.ending;
            if (isIncomplete && (holder == nullptr || connection.memory > holder->memory)) {
                largest = other;
                holder = &connection;
            }
        }
        if (holder == nullptr || holder->memory == 0)
            break;
        endings.push_back(end(largest, *holder, HttpLimitReason::BodyMemory));
    }
    return endings;
}

void HttpLimits::processing(HttpConnectionKey key)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    found->second.hasSentHeader = true;
    found->second.state = State::Processing;
}

void HttpLimits::writing(HttpConnectionKey key, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    found->second.state = State::Writing;
    found->second.waitingSince = now;
}

void HttpLimits::answered(HttpConnectionKey key, TimePoint now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    Connection &connection = found->second;
    connection.state = State::Header;
    connection.waitingSince = now;
    m_bodies -= connection.memory;
    if (connection.ending)
        m_endingBodies -= connection.memory;
    connection.memory = 0;
}

std::optional<HttpLimitReason> HttpLimits::endingReason(HttpConnectionKey key) const
{
    const auto found = m_connections.find(key);
    return found == m_connections.end() ? std::nullopt : found->second.ending;
}

bool HttpLimits::areThreadsNeeded(HttpListenerKey key) const
{
    const Listener &listener = m_listeners[key];
    return listener.held > listener.threads + listener.endingWithoutHeader;
}

std::vector<HttpEnding> HttpLimits::takeOverdue(TimePoint now)
{
    std::vector<HttpEnding> endings;
    for (auto &[key, connection] : m_connections) {
        const bool isOverdue = connection.state == State::Body && !connection.ending
                && now - connection.bodyBegunAt > bodyTime(connection);
        if (isOverdue)
            endings.push_back(end(key, connection, HttpLimitReason::BodyOverdue));
    }
    for (HttpListenerKey listener = 0; listener < m_listeners.size(); ++listener) {
        // A connection that had a thread has given it back by now. One that hasn't was still
        // waiting for a thread, so another one has to be ended.
        if (now - m_listeners[listener].endedAt >= ShortestWait)
            m_listeners[listener].endingWithoutHeader = 0;
        while (areThreadsNeeded(listener)) {
            const auto ending = takeLongestWaiting(listener, NoConnection, ShortestWait, now);
            if (!ending)
                break;
            endings.push_back(*ending);
        }
    }
    return endings;
}

Duration HttpLimits::bodyTime(const Connection &connection) const
{
    return m_settings.messageTime + std::chrono::seconds(connection.bodyBytes / LowestPace);
}

std::optional<HttpEnding> HttpLimits::takeLongestWaiting(HttpListenerKey listener,
                                                         HttpConnectionKey spared,
                                                         Duration shortest, TimePoint now)
{
    std::size_t passedOver = m_listeners[listener].endingWithoutHeader;
    std::vector<std::pair<TimePoint, HttpConnectionKey>> withoutHeader;
    HttpConnectionKey longest = NoConnection;
    Connection *longestWaiting = nullptr;
    for (auto &[key, connection] : m_connections) {
        const bool isCandidate = key != spared && connection.listener == listener
                && !connection.ending && connection.state != State::Processing;
        if (!isCandidate)
            continue;
        const Duration needed = connection.state == State::Writing ? UnreadTime : shortest;
        if (now - connection.waitingSince < needed)
            continue;
        if (!connection.hasSentHeader) {
            withoutHeader.emplace_back(connection.waitingSince, key);
        } else if (longestWaiting == nullptr
                   || connection.waitingSince < longestWaiting->waitingSince) {
            longest = key;
            longestWaiting = &connection;
        }
    }
    // Of those without a header, as many as are being ended already don't count; which ones these
    // are isn't known, and the oldest are ended first.
    std::sort(withoutHeader.begin(), withoutHeader.end());
    const bool hasWithoutHeader = passedOver < withoutHeader.size();
    if (hasWithoutHeader
        && (longestWaiting == nullptr
            || withoutHeader[passedOver].first <= longestWaiting->waitingSince)) {
        ++m_listeners[listener].endingWithoutHeader;
        m_listeners[listener].endedAt = now;
        return HttpEnding {listener, std::nullopt, HttpLimitReason::ThreadNeeded, false};
    }
    if (longestWaiting == nullptr)
        return std::nullopt;
    return end(longest, *longestWaiting, HttpLimitReason::ThreadNeeded);
}

HttpEnding HttpLimits::end(HttpConnectionKey key, Connection &connection, HttpLimitReason reason)
{
    connection.ending = reason;
    --m_listeners[connection.listener].held;
    m_endingBodies += connection.memory;
    return {connection.listener, key, reason, connection.state == State::Writing};
}

} // namespace nutmegtide
