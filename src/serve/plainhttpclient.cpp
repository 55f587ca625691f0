#include "serve/plainhttpclient.h"

#include <curl/curl.h>
#include <memory>
#include <utility>

namespace nutmegtide {

namespace {

constexpr std::size_t LargestAnswer = 256 << 20; // bytes
constexpr long FirstSuccess = 200;
constexpr long LastSuccess = 299;

// libcurl's callback; a short return aborts the transfer.
std::size_t takeBytes(char *bytes, std::size_t size, std::size_t count, void *target)
{
    auto *body = static_cast<std::string *>(target);
    const std::size_t length = size * count;
    if (body->size() + length > LargestAnswer)
        return 0;
    body->append(bytes, length);
    return length;
}

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

void throwFailure(CURL *handle, CURLcode code, const Endpoint &at)
{
    curl_off_t connected = 0; // microseconds; 0 until the connection stands
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connected);
    const std::string text = toString(at) + ": " + curl_easy_strerror(code);
    if (connected == 0)
        throw UnreachableError(text);
    throw NoAnswerError(text);
}

} // namespace

PlainHttpClient::PlainHttpClient(Endpoint at, std::chrono::milliseconds timeout)
    : m_at(std::move(at))
    , m_timeout(timeout)
{ }

PlainHttpAnswer PlainHttpClient::get(const std::string &path) const
{
    return perform(path, nullptr, {});
}

PlainHttpAnswer PlainHttpClient::post(const std::string &path, const std::string &body,
                                      const std::vector<std::string> &headers) const
{
    return perform(path, &body, headers);
}

PlainHttpAnswer PlainHttpClient::perform(const std::string &path, const std::string *body,
                                         const std::vector<std::string> &headers) const
{
    const CurlHandle handle(curl_easy_init(), &curl_easy_cleanup);
    if (!handle)
        throw UnreachableError(toString(m_at) + ": no HTTP client");
    const std::string url = "http://" + toString(m_at) + path;
    CurlHeaders list(curl_slist_append(nullptr, "Content-Type: application/json"),
                     &curl_slist_free_all);
    // The first node stays the list's head, so the owner need not change.
    for (const std::string &header : headers)
        curl_slist_append(list.get(), header.c_str());
    PlainHttpAnswer answer;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(m_timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &takeBytes);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
    if (body != nullptr) {
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, list.get());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body->size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->data());
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        throwFailure(handle.get(), code, m_at);
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    return answer;
}

void checkSuccess(const PlainHttpAnswer &answer)
{
    if (answer.status < FirstSuccess || answer.status > LastSuccess)
        throw RefusedError("HTTP status " + std::to_string(answer.status) + ": " + answer.body);
}

nlohmann::json jsonOf(const PlainHttpAnswer &answer)
{
    checkSuccess(answer);
    nlohmann::json json = nlohmann::json::parse(answer.body, nullptr, false);
    if (json.is_discarded())
        throw MessageError("the answer is no JSON");
    return json;
}

} // namespace nutmegtide
