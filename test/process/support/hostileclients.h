#pragma once

#include "nutmegtide/base/endpoint.h"

#include <cstddef>
#include <limits>
#include <poll.h>
#include <string>
#include <vector>

namespace nutmegtide::test {

// What each client of a crowd sends before it stops.
struct Crowd
{
    int clients;
    std::string text;
    std::size_t piece = std::numeric_limits<std::size_t>::max(); // bytes sent at once at most
};

// Connections that all send at once, never read and stay open.
class HostileClients
{
public:
    // Returns once each client has sent all of its text or was refused, or the server takes no
    // more.
    HostileClients(const Endpoint &server, const Crowd &crowd);
    ~HostileClients();
    HostileClients(const HostileClients &) = delete;
    HostileClients &operator=(const HostileClients &) = delete;

private:
    void sendAll();
    void sendSome(std::size_t client);

    const Crowd m_crowd;
    std::vector<pollfd> m_sockets;
    std::vector<std::size_t> m_sent; // bytes
};

std::string repeated(const std::string &text, int count);

} // namespace nutmegtide::test
