#pragma once

#include "nutmegtide/base/httplimits.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace nutmegtide {

// The far end of a connection as CivetWeb names it.
struct HttpPeer
{
    std::string address;
    int port = 0;

    auto operator<=>(const HttpPeer &) const = default;
};

// The connections of all HTTP listeners of a process. Applies HttpLimits to them: finds the sockets
// of the connections to end among the process's descriptors, and shuts them down. Thread-safe.
//
//   auto connections = std::make_shared<HttpConnections>(settings, report);
//   HttpServer server(endpoint, {...}, handler, connections);
class HttpConnections
{
public:
    // Called for each connection that is ended, by any thread; the address is without the port.
    using Report = std::function<void(HttpLimitReason, const std::string &address)>;

    explicit HttpConnections(const HttpLimitSettings &settings, Report report = {});
    ~HttpConnections();
    HttpConnections(const HttpConnections &) = delete;
    HttpConnections &operator=(const HttpConnections &) = delete;

    HttpListenerKey addListener(std::size_t threads, std::size_t largestBody);
    void setPort(HttpListenerKey listener, int port);

    // See HttpLimits.
    void add(HttpConnectionKey connection, HttpListenerKey listener);
    void remove(HttpConnectionKey connection);
    void requestBegun(HttpConnectionKey connection, HttpListenerKey listener, const HttpPeer &peer);
    // Returns false if the connection is being ended.
    bool bodyReceived(HttpConnectionKey connection, std::size_t bytes, std::size_t memory);
    void processing(HttpConnectionKey connection);
    void writing(HttpConnectionKey connection);
    void answered(HttpConnectionKey connection);
    std::optional<HttpLimitReason> endingReason(HttpConnectionKey connection) const;
    bool areThreadsNeeded(HttpListenerKey listener) const;

private:
    // A connection that hasn't sent a whole header, whose key isn't known.
    struct Unnamed
    {
        TimePoint seenAt; // by the first search
        bool isEnded = false;
    };
    struct Listener
    {
        int port = 0;
        std::map<HttpPeer, Unnamed> unnamed; // as the latest search has found them
    };
    using Reports = std::vector<std::pair<HttpLimitReason, std::string>>;

    // Shuts the connections down and returns what to report. Requires m_mutex to be held, so that
    // CivetWeb doesn't close a socket, whose number another one may then have.
    Reports end(const std::vector<HttpEnding> &endings);
    std::string endOldestUnnamed(HttpListenerKey key);
    void report(const Reports &reports) const;
    void watch();

    const Report m_report;
    mutable std::mutex m_mutex;
    HttpLimits m_limits;
    std::vector<Listener> m_listeners;
    std::map<HttpConnectionKey, HttpPeer> m_peers; // of connections that have sent a header
    std::set<HttpPeer> m_named; // the same peers
    bool m_isStopping = false;
    std::condition_variable m_wake;
    std::thread m_watcher;
};

} // namespace nutmegtide
