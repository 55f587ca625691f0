#pragma once

#include "nutmegtide/base/endpoint.h"

#include <functional>
#include <string>
#include <string_view>

struct bufferevent;
struct event_base;

namespace nutmegtide {

// One non-blocking connection that carries bytes. It tells of its end once, and of nothing after
// that.
//
//   StreamSocket socket(loop.base(), endpoint, {connected, received, ended});
//   socket.send(bytes);
class StreamSocket
{
public:
    // How a connection came to its end.
    enum class End {
        Unreachable, // it never stood
        Closed,
    };

    struct Handlers
    {
        std::function<void()> connected;
        // May destroy the socket; then it must return false. Returns whether to go on reading.
        std::function<bool(std::string_view bytes)> received;
        std::function<void(End)> ended;
    };

    // Takes over a socket that stands.
    StreamSocket(event_base *base, int socket, Handlers handlers);
    // Connects. At its end the connection is reset, so that nothing is delivered after that.
    StreamSocket(event_base *base, const Endpoint &to, Handlers handlers);
    ~StreamSocket();
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    void send(std::string_view bytes);
    // Closes once all that was sent has left.
    void closeWhenSent();
    bool isClosing() const { return m_isClosing; }
    // Whether the other side has left so much unread that it would fill this process's memory.
    bool isSendBufferFull() const;

private:
    static void onRead(bufferevent *buffer, void *self);
    static void onWritten(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);
    void finish(End end);
    std::size_t unsent() const;

    bufferevent *m_buffer = nullptr;
    Handlers m_handlers;
    bool m_isConnected = false;
    bool m_isClosing = false;
    bool m_isEnded = false;
};

} // namespace nutmegtide
