#include "base/socketaddress.h"

#include <arpa/inet.h>

namespace nutmegtide {

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

} // namespace nutmegtide
