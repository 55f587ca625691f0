#include "serve/peerclient.h"

#include <poll.h>
#include <thrift/protocol/TBinaryProtocol.h>

namespace nutmegtide {

namespace {

constexpr auto CloseInterval = 10s; // of looking for unused connections

// An idle connection has nothing to read unless the peer closed it.
bool isClosedByPeer(int socket)
{
    pollfd entry {socket, POLLIN, 0};
    return poll(&entry, 1, 0) != 0;
}

} // namespace

PeerConnection::PeerConnection(const Endpoint &peer, std::chrono::milliseconds connectTimeout)
    : m_socket(std::make_shared<apache::thrift::transport::TSocket>(peer.address, peer.port))
    , m_transport(std::make_shared<apache::thrift::transport::TFramedTransport>(m_socket))
{
    m_socket->setConnTimeout(static_cast<int>(connectTimeout.count()));
    m_socket->setNoDelay(true);
    m_client = std::make_unique<wire::PeerClient>(
            std::make_shared<apache::thrift::protocol::TBinaryProtocol>(m_transport));
    try {
        m_transport->open();
    } catch (const apache::thrift::TException &fault) {
        throw PeerError(toString(peer) + ": " + fault.what(), false);
    }
}

void PeerConnection::setTimeout(std::chrono::milliseconds timeout)
{
    const int milliseconds = std::max(1, static_cast<int>(timeout.count()));
    m_socket->setRecvTimeout(milliseconds);
    m_socket->setSendTimeout(milliseconds);
}

std::unique_ptr<PeerConnection> PeerClients::borrow(const Endpoint &peer)
{
    const std::lock_guard lock(m_mutex);
    auto connection = m_idle.take(peer);
    while (connection && connection->isClosed())
        connection = m_idle.take(peer);
    return connection;
}

std::unique_ptr<PeerConnection> PeerClients::open(const Endpoint &peer,
                                                  std::chrono::milliseconds timeout) const
{
    return std::make_unique<PeerConnection>(routeTo(peer), timeout);
}

const Endpoint &PeerClients::routeTo(const Endpoint &peer) const
{
    const auto route = m_routes.find(peer);
    return route == m_routes.end() ? peer : route->second;
}

void PeerClients::giveBack(const Endpoint &peer, std::unique_ptr<PeerConnection> connection)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    m_idle.put(peer, std::move(connection), now);
    // Membership calls some peer each second, so no thread of its own is needed.
    if (now - m_closedAt < CloseInterval)
        return;
    m_closedAt = now;
    m_idle.closeUnused(now);
}

bool PeerConnection::isClosed() const
{
    return isClosedByPeer(m_socket->getSocketFD());
}

} // namespace nutmegtide
