#include "serve/transfer.h"

#include <chrono>

namespace nutmegtide {

namespace {

constexpr std::chrono::milliseconds GiveUpInterval {20}; // between two checks
constexpr std::chrono::milliseconds LongestPoll {1'000};

} // namespace

CURLcode performTransfer(CURLM *connections, CURL *transfer, const GiveUpCheck &isGivenUp)
{
    const auto pollTime = static_cast<int>((isGivenUp ? GiveUpInterval : LongestPoll).count());
    CURLcode code = CURLE_ABORTED_BY_CALLBACK;
    curl_multi_add_handle(connections, transfer);
    while (true) {
        int count = 0;
        curl_multi_perform(connections, &count);
        if (const CURLMsg *message = curl_multi_info_read(connections, &count)) {
            code = message->data.result;
            break;
        }
        int events = 0;
        curl_multi_poll(connections, nullptr, 0, pollTime, &events);
        if (events == 0 && isGivenUp && isGivenUp())
            break;
    }
    curl_multi_remove_handle(connections, transfer);
    return code;
}

} // namespace nutmegtide
