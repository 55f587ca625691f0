#pragma once

#include "nutmegtide/base/endpoint.h"

#include <functional>

struct event_base;
struct evconnlistener;

namespace nutmegtide {

// Accepts connections, to be carried by StreamSocket.
//
//   StreamListener listener(loop.base(), endpoint, [&](int socket) { add(socket); });
class StreamListener
{
public:
    // Takes ownership of the accepted socket.
    using OnAccept = std::function<void(int socket)>;

    // Throws ListenError.
    StreamListener(event_base *base, const Endpoint &at, OnAccept onAccept);
    ~StreamListener();
    StreamListener(const StreamListener &) = delete;
    StreamListener &operator=(const StreamListener &) = delete;

private:
    OnAccept m_onAccept;
    evconnlistener *m_listener = nullptr;
};

} // namespace nutmegtide
