#include "site/streamlistener.h"

#include "base/socketaddress.h"
#include "nutmegtide/base/errors.h"

#include <event2/listener.h>

namespace nutmegtide {

namespace {

constexpr int Backlog = 512; // connections waiting to be accepted

void accept(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/, int /*size*/,
            void *onAccept)
{
    (*static_cast<StreamListener::OnAccept *>(onAccept))(socket);
}

} // namespace

StreamListener::StreamListener(event_base *base, const Endpoint &at, OnAccept onAccept)
    : m_onAccept(std::move(onAccept))
{
    sockaddr_in address = socketAddress(at);
    constexpr unsigned Flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE;
    m_listener = evconnlistener_new_bind(base, &accept, &m_onAccept, Flags, Backlog,
                                         reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (m_listener == nullptr)
        throw ListenError("cannot listen at " + toString(at));
}

StreamListener::~StreamListener()
{
    evconnlistener_free(m_listener);
}

} // namespace nutmegtide
