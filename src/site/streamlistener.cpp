#include "site/streamlistener.h"

#include "base/socketaddress.h"
#include "nutmegtide/base/errors.h"

#include <cerrno>
#include <event2/listener.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegtide {

namespace {

constexpr int Backlog = 512; // connections waiting to be accepted

int openSpare()
{
    return open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void closeIfOpen(int descriptor)
{
    if (descriptor >= 0)
        close(descriptor);
}

} // namespace

StreamListener::StreamListener(event_base *base, const Endpoint &at, OnAccept onAccept)
    : m_onAccept(std::move(onAccept))
    , m_spare(openSpare())
{
    sockaddr_in address = socketAddress(at);
    constexpr unsigned Flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE;
    m_listener = evconnlistener_new_bind(base, &onAccepted, this, Flags, Backlog,
                                         reinterpret_cast<sockaddr *>(&address), sizeof address);
    if (m_listener == nullptr) {
        closeIfOpen(m_spare);
        throw ListenError("cannot listen at " + toString(at));
    }
    evconnlistener_set_error_cb(m_listener, &onError);
}

StreamListener::~StreamListener()
{
    evconnlistener_free(m_listener);
    closeIfOpen(m_spare);
}

void StreamListener::onAccepted(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                                int /*size*/, void *self)
{
    static_cast<StreamListener *>(self)->m_onAccept(socket);
}

void StreamListener::onError(evconnlistener * /*listener*/, void *self)
{
    const int error = errno;
    if (error == EMFILE || error == ENFILE)
        static_cast<StreamListener *>(self)->refuseOne();
}

void StreamListener::refuseOne()
{
    closeIfOpen(m_spare);
    closeIfOpen(accept4(evconnlistener_get_fd(m_listener), nullptr, nullptr, SOCK_CLOEXEC));
    m_spare = openSpare();
}

} // namespace nutmegtide
