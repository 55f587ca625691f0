#include "nutmegtide/base/endpoint.h"

#include "nutmegtide/base/errors.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace nutmegtide {

namespace {

bool isNumericAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer {};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1
            || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

std::uint16_t parsePort(const std::string &text, const std::string &whole)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, port);
    if (fault != std::errc() || stop != end)
        throw EndpointError("no port number in \"" + whole + "\"");
    return port;
}

} // namespace

Endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw EndpointError("no port in \"" + text + "\"");
    std::string address = text.substr(0, colon);
    if (address.size() >= 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    if (!isNumericAddress(address))
        throw EndpointError("no numeric IP address in \"" + text + "\"");
    return {address, parsePort(text.substr(colon + 1), text)};
}

std::string toString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = isIpv6 ? '[' + endpoint.address + ']' : endpoint.address;
    return host + ':' + std::to_string(endpoint.port);
}

} // namespace nutmegtide
