#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"
#include "nutmegtide/power/powerplanner.h"

#include <chrono>

namespace nutmegtide {

// The platform refused an order for good.
class PlatformRefusal : public Error
{
public:
    using Error::Error;
};

// The platform didn't answer; the order may have been carried out.
class PlatformError : public Error
{
public:
    using Error::Error;
};

// Sends power orders to the platform: POST /v1/vms/{id}/power. The platform
// carries an order id out once, however often it is sent.
class PlatformClient
{
public:
    explicit PlatformClient(Endpoint platform)
        : m_platform(std::move(platform))
    { }

    // Throws PlatformRefusal or PlatformError.
    void power(const VmName &vm, bool isOn, const OrderId &order,
               std::chrono::milliseconds timeout) const;

private:
    Endpoint m_platform;
};

} // namespace nutmegtide
