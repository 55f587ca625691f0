#pragma once

#include "nutmegtide/base/endpoint.h"

#include <functional>

struct event_base;
struct evconnlistener;
struct sockaddr;

namespace nutmegtide {

// Accepts connections, to be carried by StreamSocket. While the process has no descriptor left, it
// closes each new connection: one that stays in the kernel's queue would wake the loop for ever.
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
    static void onAccepted(evconnlistener *listener, int socket, sockaddr *address, int size,
                           void *self);
    static void onError(evconnlistener *listener, void *self);
    void refuseOne();

    OnAccept m_onAccept;
    int m_spare; // descriptor that is given up to refuse a connection; -1 while there is none
    evconnlistener *m_listener = nullptr;
};

} // namespace nutmegtide
