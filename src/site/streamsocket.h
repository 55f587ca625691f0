#pragma once

#include "nutmegtide/base/endpoint.h"

#include <functional>
#include <string>
#include <string_view>

struct bufferevent;
struct event_base;

namespace nutmegtide {

// A non-blocking connection that carries a byte stream. It reports its end once, and no events
// after that.
//
//   StreamSocket socket(loop.base(), endpoint, {connected, received, ended});
//   socket.send(bytes);
class StreamSocket
{
public:
    // Why a connection ended.
    enum class End {
        Unreachable, // it was never established
        Closed,
    };

    struct Handlers
    {
        std::function<void()> connected;
        // Returns whether to continue reading. May destroy the socket, and must then return false.
        std::function<bool(std::string_view bytes)> received;
        std::function<void(End)> ended;
        std::function<void()> sent {}; // all data was written to the network
    };

    // Takes ownership of a connected socket.
    StreamSocket(event_base *base, int socket, Handlers handlers);
    // Connects. When it ends, the connection is reset so that no unsent data is delivered later.
    StreamSocket(event_base *base, const Endpoint &to, Handlers handlers);
    ~StreamSocket();
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    void send(std::string_view bytes);
    // Closes once all queued data has been sent.
    void closeWhenSent();
    bool isClosing() const { return m_isClosing; }
    // While paused, nothing is read, so that the peer is held up once the network buffers are full.
    void setPaused(bool isPaused);
    // Returns the bytes that the peer hasn't taken yet.
    std::size_t unsent() const;
    // Whether the peer reads so slowly that the unsent data exceeds the memory limit.
    bool isSendBufferFull() const;

private:
    static void onRead(bufferevent *buffer, void *self);
    static void onWritten(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);
    void finish(End end);

    bufferevent *m_buffer = nullptr;
    Handlers m_handlers;
    bool m_isConnected = false;
    bool m_isPaused = false;
    bool m_isClosing = false;
    bool m_isEnded = false;
};

} // namespace nutmegtide
