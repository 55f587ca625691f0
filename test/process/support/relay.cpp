#include "process/support/relay.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegtide::test {

namespace {

constexpr int PollMilliseconds = 10;
constexpr std::size_t BlockSize = 65'536;
constexpr std::array Directions {Direction::ToTarget, Direction::ToCaller};

bool sendAll(int socket, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(socket, data, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

bool isReadable(int socket)
{
    pollfd entry {socket, POLLIN, 0};
    return poll(&entry, 1, 0) > 0;
}

} // namespace

Relay::Relay(Endpoint target)
    : m_target(std::move(target))
{
    if (listen(m_listener.socket(), SOMAXCONN) != 0)
        throw SocketError(std::string("a relay cannot listen: ") + std::strerror(errno));
    m_thread = std::thread(&Relay::run, this);
}

Relay::~Relay()
{
    m_stopping = true;
    m_thread.join();
    for (const Link &link : m_links) {
        for (const int socket : link.source)
            close(socket);
    }
}

void Relay::cut()
{
    for (const Direction direction : Directions)
        cut(direction);
}

void Relay::cut(Direction direction)
{
    m_cut[static_cast<std::size_t>(direction)] = true;
}

void Relay::heal()
{
    for (std::atomic<bool> &isCut : m_cut)
        isCut = false;
}

void Relay::run()
{
    while (!m_stopping) {
        std::vector<pollfd> entries {{m_listener.socket(), POLLIN, 0}};
        for (const Link &link : m_links) {
            for (const Direction direction : Directions) {
                if (!isCut(direction))
                    entries.push_back({link.source[static_cast<std::size_t>(direction)], POLLIN, 0});
            }
        }
        poll(entries.data(), entries.size(), PollMilliseconds);
        std::erase_if(m_links, [this](const Link &link) {
            const bool isOpen = forward(link, Direction::ToTarget)
                    && forward(link, Direction::ToCaller);
            if (!isOpen) {
                for (const int socket : link.source)
                    close(socket);
            }
            return !isOpen;
        });
        if (isReadable(m_listener.socket()))
            acceptLink();
    }
}

void Relay::acceptLink()
{
    const int caller = accept4(m_listener.socket(), nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0)
        return;
    const int on = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int target = connectTo(m_target);
    if (target < 0) {
        close(caller);
        return;
    }
    m_links.push_back({{caller, target}});
}

bool Relay::forward(const Link &link, Direction direction) const
{
    const auto from = static_cast<std::size_t>(direction);
    if (isCut(direction) || !isReadable(link.source[from]))
        return true;
    std::array<char, BlockSize> block {};
    const ssize_t size = recv(link.source[from], block.data(), block.size(), 0);
    return size > 0 && sendAll(link.source[1 - from], block.data(), static_cast<std::size_t>(size));
}

} // namespace nutmegtide::test
