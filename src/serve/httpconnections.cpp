#include "serve/httpconnections.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace nutmegtide {

namespace {

constexpr auto WatchInterval = 250ms; // short against every time in HttpLimits

struct Connected
{
    int socket = -1;
    HttpPeer peer;
};

// Returns address and port of one end of a socket; port 0 where it has none.
HttpPeer endOf(int socket, int (*read)(int, sockaddr *, socklen_t *))
{
    sockaddr_storage storage {};
    socklen_t size = sizeof storage;
    auto *generic = reinterpret_cast<sockaddr *>(&storage);
    if (read(socket, generic, &size) != 0)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (storage.ss_family == AF_INET) {
        const auto *address = reinterpret_cast<const sockaddr_in *>(&storage);
        inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(address->sin_port)};
    }
    if (storage.ss_family == AF_INET6) {
        const auto *address = reinterpret_cast<const sockaddr_in6 *>(&storage);
        inet_ntop(AF_INET6, &address->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(address->sin6_port)};
    }
    return {};
}

// Returns the process's sockets that are connected at a port of its own.
std::vector<Connected> connectedAt(int port)
{
    std::vector<Connected> result;
    std::error_code fault;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd", fault)) {
        const int socket = std::atoi(entry.path().filename().c_str());
        const HttpPeer peer = endOf(socket, &getpeername);
        if (peer.port != 0 && endOf(socket, &getsockname).port == port)
            result.push_back({socket, peer});
    }
    // In the order of their acceptance, unless a number was used again.
    std::sort(result.begin(), result.end(), [](const Connected &left, const Connected &right) {
        return left.socket < right.socket;
    });
    return result;
}

bool hasUnreadBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

// Returns the ms since the client last sent something, or since it connected.
std::uint32_t silenceOf(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return 0;
    return info.tcpi_last_data_recv;
}

} // namespace

HttpConnections::HttpConnections(const HttpLimitSettings &settings, Report report)
    : m_report(std::move(report))
    , m_limits(settings)
    , m_watcher([this] { watch(); })
{ }

HttpConnections::~HttpConnections()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_watcher.join();
}

HttpListenerKey HttpConnections::addListener(std::size_t threads, std::size_t largestBody)
{
    const std::lock_guard lock(m_mutex);
    m_listeners.emplace_back();
    return m_limits.addListener(threads, largestBody);
}

void HttpConnections::setPort(HttpListenerKey listener, int port)
{
    const std::lock_guard lock(m_mutex);
    m_listeners[listener].port = port;
}

void HttpConnections::add(HttpConnectionKey connection, HttpListenerKey listener)
{
    Reports reports;
    {
        const std::lock_guard lock(m_mutex);
        reports = end(m_limits.add(connection, listener, Clock::now()));
    }
    report(reports);
}

void HttpConnections::remove(HttpConnectionKey connection)
{
    const std::lock_guard lock(m_mutex);
    m_limits.remove(connection);
    const auto peer = m_peers.find(connection);
    if (peer == m_peers.end())
        return;
    m_named.erase(peer->second);
    m_peers.erase(peer);
}

void HttpConnections::requestBegun(HttpConnectionKey connection, HttpListenerKey listener,
                                   const HttpPeer &peer)
{
    const std::lock_guard lock(m_mutex);
    if (m_peers.emplace(connection, peer).second) {
        m_named.insert(peer);
        auto &unnamed = m_listeners[listener].unnamed;
        const auto found = unnamed.find(peer);
        if (found != unnamed.end()) {
            // It was ended just when the rest of its header had arrived. It is answered, and
            // another one is ended.
            if (found->second.isEnded)
                m_limits.notEnded(listener);
            unnamed.erase(found);
        }
    }
    m_limits.bodyBegun(connection, Clock::now());
}

bool HttpConnections::bodyReceived(HttpConnectionKey connection, std::size_t bytes,
                                   std::size_t memory)
{
    Reports reports;
    bool isEnding = false;
    {
        const std::lock_guard lock(m_mutex);
        reports = end(m_limits.bodyReceived(connection, bytes, memory, Clock::now()));
        isEnding = m_limits.endingReason(connection).has_value();
    }
    report(reports);
    return !isEnding;
}

void HttpConnections::processing(HttpConnectionKey connection)
{
    const std::lock_guard lock(m_mutex);
    m_limits.processing(connection);
}

void HttpConnections::writing(HttpConnectionKey connection)
{
    const std::lock_guard lock(m_mutex);
    m_limits.writing(connection, Clock::now());
}

void HttpConnections::answered(HttpConnectionKey connection)
{
    const std::lock_guard lock(m_mutex);
    m_limits.answered(connection, Clock::now());
}

std::optional<HttpLimitReason> HttpConnections::endingReason(HttpConnectionKey connection) const
{
    const std::lock_guard lock(m_mutex);
    return m_limits.endingReason(connection);
}

bool HttpConnections::areThreadsNeeded(HttpListenerKey listener) const
{
    const std::lock_guard lock(m_mutex);
    return m_limits.areThreadsNeeded(listener);
}

HttpConnections::Reports HttpConnections::end(const std::vector<HttpEnding> &endings)
{
    Reports reports;
    for (const HttpEnding &ending : endings) {
        if (!ending.connection) {
            const std::string address = endOldestUnnamed(ending.listener);
            if (!address.empty())
                reports.emplace_back(ending.reason, address);
            continue;
        }
        const HttpPeer peer = m_peers.at(*ending.connection);
        for (const Connected &connected : connectedAt(m_listeners[ending.listener].port)) {
            if (connected.peer != peer)
                continue;
            // Without its reading side it may still be given an answer.
            ::shutdown(connected.socket, ending.isUnread ? SHUT_RDWR : SHUT_RD);
            break;
        }
        reports.emplace_back(ending.reason, peer.address);
    }
    return reports;
}

// Ends the oldest connection that hasn't sent a whole header, and returns its address. One with
// bytes that CivetWeb hasn't read waits for a thread and not for its client.
std::string HttpConnections::endOldestUnnamed(HttpListenerKey key)
{
    Listener &listener = m_listeners[key];
    const TimePoint now = Clock::now();
    std::map<HttpPeer, Unnamed> present;
    const Connected *oldest = nullptr;
    TimePoint oldestSeenAt;
    std::uint32_t longestSilence = 0;
    const std::vector<Connected> all = connectedAt(listener.port);
    for (const Connected &connected : all) {
        if (m_named.count(connected.peer) > 0)
            continue;
        const auto known = listener.unnamed.find(connected.peer);
        const Unnamed unnamed = known == listener.unnamed.end() ? Unnamed {now, false}
                                                                : known->second;
        present.emplace(connected.peer, unnamed);
        if (unnamed.isEnded || hasUnreadBytes(connected.socket))
            continue;
        const std::uint32_t silence = silenceOf(connected.socket);
        const bool isOlder = oldest == nullptr || unnamed.seenAt < oldestSeenAt
                || (unnamed.seenAt == oldestSeenAt && silence > longestSilence);
        if (!isOlder)
            continue;
        oldest = &connected;
        oldestSeenAt = unnamed.seenAt;
        longestSilence = silence;
    }
    listener.unnamed = std::move(present);
    if (oldest == nullptr) {
        m_limits.notEnded(key);
        return {};
    }
    listener.unnamed[oldest->peer].isEnded = true;
    ::shutdown(oldest->socket, SHUT_RD);
    return oldest->peer.address;
}

void HttpConnections::report(const Reports &reports) const
{
    if (!m_report)
        return;
    for (const auto &[reason, address] : reports)
        m_report(reason, address);
}

void HttpConnections::watch()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_wake.wait_for(lock, WatchInterval);
        const Reports reports = end(m_limits.takeOverdue(Clock::now()));
        lock.unlock();
        report(reports);
        lock.lock();
    }
}

} // namespace nutmegtide
