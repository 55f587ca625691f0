#include "process/support/hostileclients.h"

#include "base/socketaddress.h"
#include "process/support/sockets.h"

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegtide::test {

namespace {

constexpr int QuietTime = 1'000; // ms without a byte sent after which the crowd is complete

} // namespace

HostileClients::HostileClients(const Endpoint &server, const Crowd &crowd)
    : m_crowd(crowd)
{
    const sockaddr_in address = socketAddress(server);
    // A client without anything to send is complete once it is connected.
    for (int client = 0; client < crowd.clients; ++client) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        if (socket < 0)
            throw SocketError("a hostile client has no socket");
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto *generic = reinterpret_cast<const sockaddr *>(&address);
        (void)::connect(socket, generic, sizeof address); // goes on by itself
        m_sockets.push_back({socket, POLLOUT, 0});
        m_sent.push_back(0);
    }
    sendAll();
}

HostileClients::~HostileClients()
{
    for (const pollfd &entry : m_sockets)
        ::close(entry.fd < 0 ? ~entry.fd : entry.fd);
}

void HostileClients::sendAll()
{
    while (::poll(m_sockets.data(), m_sockets.size(), QuietTime) > 0) {
        for (std::size_t client = 0; client < m_sockets.size(); ++client) {
            if (m_sockets[client].revents != 0)
                sendSome(client);
        }
    }
}

void HostileClients::sendSome(std::size_t client)
{
    pollfd &entry = m_sockets[client];
    const std::size_t rest = m_crowd.text.size() - m_sent[client];
    const ssize_t count = ::send(entry.fd, m_crowd.text.data() + m_sent[client],
                                 std::min(rest, m_crowd.piece), MSG_NOSIGNAL);
    if (count > 0)
        m_sent[client] += static_cast<std::size_t>(count);
    const bool isRefused = count < 0 && errno != EAGAIN && errno != EINTR;
    if (isRefused || m_sent[client] == m_crowd.text.size())
        entry.fd = ~entry.fd; // poll() passes over a negative one
}

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace nutmegtide::test
