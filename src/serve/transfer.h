#pragma once

#include <curl/curl.h>
#include <functional>

namespace nutmegtide {

// Asked now and then while an answer is waited for; true ends the wait.
using GiveUpCheck = std::function<bool()>;

// Runs one transfer of libcurl to its end and returns its code, CURLE_ABORTED_BY_CALLBACK
// where it was given up. The connection stays open in `connections` for the next one, unless
// the transfer failed or was given up.
CURLcode performTransfer(CURLM *connections, CURL *transfer, const GiveUpCheck &isGivenUp);

} // namespace nutmegtide
