#include "serve/platformclient.h"

#include "serve/plainhttpclient.h"

namespace nutmegtide {

void PlatformClient::power(const VmName &vm, bool isOn, const OrderId &order,
                           std::chrono::milliseconds timeout) const
{
    constexpr long FirstRefusal = 400;
    constexpr long FirstFailure = 500;
    const nlohmann::json body {{"on", isOn}, {"order", order.text()}};
    PlainHttpAnswer answer;
    try {
        answer = PlainHttpClient(m_platform, timeout)
                         .post("/v1/vms/" + vm.text() + "/power", body.dump());
    } catch (const Error &fault) {
        throw PlatformError(fault.what());
    }
    if (answer.status >= FirstFailure)
        throw PlatformError("status " + std::to_string(answer.status));
    if (answer.status >= FirstRefusal)
        throw PlatformRefusal("status " + std::to_string(answer.status) + ": " + answer.body);
}

} // namespace nutmegtide
