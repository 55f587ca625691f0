#pragma once

#include "nutmegtide/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegtide {

using HttpConnectionKey = std::uint64_t;
using HttpListenerKey = std::size_t;

// Limits of the threads and memory that the clients of a process's HTTP listeners may use.
struct HttpLimitSettings
{
    std::size_t bodies = 33'554'432; // bytes of memory of the bodies of all connections together
    Duration messageTime = 30s; // for a body, beyond the time that its bytes take at the lowest pace
};

// Why a connection is ended.
enum class HttpLimitReason {
    ThreadNeeded, // another connection needed its thread, and it had waited longest for its client
    BodyMemory, // all bodies together took too much memory, and its body took the most
    BodyOverdue, // its body arrived too slowly
};
std::string_view nameOf(HttpLimitReason reason);

// A connection to end. One that hasn't sent a whole header yet has no key, since its socket isn't
// known: the owner ends that connection of the listener without a header that is the oldest.
struct HttpEnding
{
    HttpListenerKey listener = 0;
    std::optional<HttpConnectionKey> connection;
    HttpLimitReason reason = HttpLimitReason::ThreadNeeded;
    bool isUnread = false; // the client doesn't read its answer

    bool operator==(const HttpEnding &) const = default;
};

// Decides which connections of HTTP listeners are ended so that clients which stop half-way neither
// hold all threads nor fill the memory. Each connection holds a thread from its acceptance to its
// end. A listener has at least one thread more than its limit, so that a connection beyond the
// limit shows that a thread is needed. Then the connection that has waited longest for its client
// is ended, and never one whose request is being processed.
//
//   for (const HttpEnding &ending : limits.add(connection, listener, now)) ...
//   limits.bodyBegun(connection, now);
//   for (const HttpEnding &ending : limits.bodyReceived(connection, bytes, memory, now)) ...
//   limits.processing(connection);
class HttpLimits
{
public:
    explicit HttpLimits(const HttpLimitSettings &settings)
        : m_settings(settings)
        , m_mostBodies(settings.bodies)
    { }

    // Connections beyond so many threads make a listener end others. One body as large as the
    // listener takes fits into the limit of all bodies, whatever the settings say.
    HttpListenerKey addListener(std::size_t threads, std::size_t largestBody);

    // A thread has taken a new connection.
    std::vector<HttpEnding> add(HttpConnectionKey connection, HttpListenerKey listener,
                                TimePoint now);
    void remove(HttpConnectionKey connection);
    // The owner found no connection without a header that it could end.
    void notEnded(HttpListenerKey listener);

    // A request's header has arrived, and its body is awaited.
    void bodyBegun(HttpConnectionKey connection, TimePoint now);
    // Further bytes of the body have arrived; its buffer takes `memory` bytes now.
    std::vector<HttpEnding> bodyReceived(HttpConnectionKey connection, std::size_t bytes,
                                         std::size_t memory, TimePoint now);
    void processing(HttpConnectionKey connection);
    // The client has to read an answer, or has read a part of it.
    void writing(HttpConnectionKey connection, TimePoint now);
    // The answer is written, the body's memory is free, and the next request is awaited.
    void answered(HttpConnectionKey connection, TimePoint now);

    // Returns why the connection is being ended, or nothing.
    std::optional<HttpLimitReason> endingReason(HttpConnectionKey connection) const;
    // Whether a listener has more connections than its limit, so that answered ones should close.
    bool areThreadsNeeded(HttpListenerKey listener) const;
    // Returns the connections to end because of the time that has passed.
    std::vector<HttpEnding> takeOverdue(TimePoint now);
    std::size_t bodies() const { return m_bodies; }

private:
    enum class State {
        Header, // or between two requests
        Body,
        Processing,
        Writing,
    };
    struct Connection
    {
        HttpListenerKey listener = 0;
        State state = State::Header;
        bool hasSentHeader = false; // of its first request
        TimePoint waitingSince; // for the next bytes, or for the client to read
        TimePoint bodyBegunAt;
        std::size_t bodyBytes = 0;
        std::size_t progress = 0; // bytes that don't count as progress yet
        std::size_t memory = 0; // of the body
        std::optional<HttpLimitReason> ending;
    };
    struct Listener
    {
        std::size_t threads = 0;
        std::size_t held = 0; // connections, without those that are being ended
        std::size_t endingWithoutHeader = 0;
        TimePoint endedAt; // the latest of them
    };

    // Returns the connection to end for its thread, if one has waited for at least `shortest`.
    std::optional<HttpEnding> takeLongestWaiting(HttpListenerKey listener, HttpConnectionKey spared,
                                                 Duration shortest, TimePoint now);
    HttpEnding end(HttpConnectionKey key, Connection &connection, HttpLimitReason reason);
    Duration bodyTime(const Connection &connection) const;

    const HttpLimitSettings m_settings;
    std::size_t m_mostBodies; // bytes
    std::vector<Listener> m_listeners;
    std::map<HttpConnectionKey, Connection> m_connections;
    std::size_t m_bodies = 0;
    std::size_t m_endingBodies = 0; // the part of them that connections being ended hold
};

} // namespace nutmegtide
