#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace nutmegtide {

// An IP address with a port.
struct Endpoint
{
    std::string address; // numeric IPv4 or IPv6, never a host name
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

// Reads "127.0.0.1:80" or "[::1]:80". Throws EndpointError otherwise.
Endpoint parseEndpoint(const std::string &text);

// Writes the form that parseEndpoint() reads.
std::string toString(const Endpoint &endpoint);

inline std::ostream &operator<<(std::ostream &out, const Endpoint &endpoint)
{
    return out << toString(endpoint);
}

} // namespace nutmegtide
