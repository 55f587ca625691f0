#include "site/streamsocket.h"

#include "base/socketaddress.h"

#include <array>
#include <chrono>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace nutmegtide {

namespace {

constexpr std::chrono::milliseconds UnacknowledgedLimit {3'000}; // then the connection is closed
constexpr std::size_t ReadAtOnce = 16'384; // bytes
constexpr std::size_t MostUnsent = 4 * 1024 * 1024; // bytes

// Resets the connection when it is closed, so that data sent on an abandoned connection isn't
// delivered after a network cut has healed.
void discardUnsentOnClose(int socket)
{
    const linger reset {1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

// Sets the options of every socket: no delay, and a time limit for unacknowledged data.
void prepareSocket(int socket)
{
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const auto limit = static_cast<unsigned>(UnacknowledgedLimit.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

} // namespace

StreamSocket::StreamSocket(event_base *base, int socket, Handlers handlers)
    : m_buffer(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE))
    , m_handlers(std::move(handlers))
    , m_isConnected(true)
{
    prepareSocket(socket);
    bufferevent_setcb(m_buffer, &onRead, &onWritten, &onEvent, this);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
}

StreamSocket::StreamSocket(event_base *base, const Endpoint &to, Handlers handlers)
    : m_buffer(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_handlers(std::move(handlers))
{
    bufferevent_setcb(m_buffer, &onRead, &onWritten, &onEvent, this);
    sockaddr_in address = socketAddress(to);
    bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr *>(&address), sizeof address);
    discardUnsentOnClose(bufferevent_getfd(m_buffer));
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
}

StreamSocket::~StreamSocket()
{
    bufferevent_free(m_buffer);
}

void StreamSocket::send(std::string_view bytes)
{
    if (!m_isEnded)
        bufferevent_write(m_buffer, bytes.data(), bytes.size());
}

std::size_t StreamSocket::unsent() const
{
    return evbuffer_get_length(bufferevent_get_output(m_buffer));
}

void StreamSocket::setPaused(bool isPaused)
{
    if (m_isEnded || m_isClosing || std::exchange(m_isPaused, isPaused) == isPaused)
        return;
    if (isPaused) {
        bufferevent_disable(m_buffer, EV_READ);
        return;
    }
    bufferevent_enable(m_buffer, EV_READ);
    // What was read before the pause causes no further event.
    if (evbuffer_get_length(bufferevent_get_input(m_buffer)) > 0)
        bufferevent_trigger(m_buffer, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

bool StreamSocket::isSendBufferFull() const
{
    return unsent() > MostUnsent;
}

void StreamSocket::closeWhenSent()
{
    m_isClosing = true;
    bufferevent_disable(m_buffer, EV_READ);
    if (unsent() == 0)
        finish(End::Closed);
}

void StreamSocket::finish(End end)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_handlers.ended(end);
}

void StreamSocket::onWritten(bufferevent * /*buffer*/, void *self)
{
    auto *socket = static_cast<StreamSocket *>(self);
    if (socket->m_isClosing && socket->unsent() == 0)
        return socket->finish(End::Closed);
    if (socket->m_handlers.sent)
        socket->m_handlers.sent();
}

void StreamSocket::onEvent(bufferevent *buffer, short what, void *self)
{
    auto *socket = static_cast<StreamSocket *>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        prepareSocket(bufferevent_getfd(buffer));
        socket->m_isConnected = true;
        if (socket->m_handlers.connected)
            socket->m_handlers.connected();
        return;
    }
    socket->finish(socket->m_isConnected ? End::Closed : End::Unreachable);
}

void StreamSocket::onRead(bufferevent *buffer, void *self)
{
    auto *socket = static_cast<StreamSocket *>(self);
    evbuffer *input = bufferevent_get_input(buffer);
    std::array<char, ReadAtOnce> bytes;
    while (!socket->m_isPaused) {
        const int count = evbuffer_remove(input, bytes.data(), bytes.size());
        if (count <= 0)
            return;
        if (!socket->m_handlers.received({bytes.data(), static_cast<std::size_t>(count)}))
            return; // the handler may have destroyed the socket
    }
}

} // namespace nutmegtide
