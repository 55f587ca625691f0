#pragma once

#include "nutmegtide/base/endpoint.h"

#include <netinet/in.h>

namespace nutmegtide {

// The endpoint as the socket calls take it. Its address must be one of IPv4.
sockaddr_in socketAddress(const Endpoint &endpoint);

} // namespace nutmegtide
