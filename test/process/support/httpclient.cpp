#include "process/support/httpclient.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>

namespace nutmegtide::test {

struct HttpClient::Handle
{
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl {curl_easy_init(), curl_easy_cleanup};
    long connectionsOpened = 0;
};

namespace {

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t takeBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

std::string trimmed(const std::string &text)
{
    constexpr const char *Blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

std::size_t takeHeader(char *data, std::size_t size, std::size_t count, void *headers)
{
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
        return size * count;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    (*static_cast<HttpHeaders *>(headers))[name] = trimmed(line.substr(colon + 1));
    return size * count;
}

HeaderList toHeaderList(const HttpHeaders &headers)
{
    curl_slist *list = curl_slist_append(nullptr, "Content-Type: application/json");
    // Keeps libcurl from waiting for "100 Continue" before it sends a large body.
    list = curl_slist_append(list, "Expect:");
    for (const auto &[name, value] : headers)
        list = curl_slist_append(list, (name + ": " + value).c_str());
    return {list, curl_slist_free_all};
}

} // namespace

std::string HttpAnswer::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

HttpClient::HttpClient(Endpoint server, std::chrono::milliseconds timeout)
    : m_server(std::move(server))
    , m_handle(std::make_unique<Handle>())
{
    CURL *curl = m_handle->curl.get();
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, takeBody);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, takeHeader);
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient &&) noexcept = default;
HttpClient &HttpClient::operator=(HttpClient &&) noexcept = default;

HttpAnswer HttpClient::get(const std::string &path, const HttpHeaders &headers)
{
    curl_easy_setopt(m_handle->curl.get(), CURLOPT_HTTPGET, 1L);
    return perform(path, headers);
}

HttpAnswer HttpClient::post(const std::string &path, const std::string &body,
                            const HttpHeaders &headers)
{
    CURL *curl = m_handle->curl.get();
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body.c_str());
    return perform(path, headers);
}

HttpAnswer HttpClient::post(const std::string &path, const Json &body, const HttpHeaders &headers)
{
    return post(path, body.dump(), headers);
}

long HttpClient::connectionsOpened() const
{
    return m_handle->connectionsOpened;
}

HttpAnswer HttpClient::perform(const std::string &path, const HttpHeaders &headers)
{
    CURL *curl = m_handle->curl.get();
    const std::string url = "http://" + toString(m_server) + path;
    const HeaderList list = toHeaderList(headers);
    HttpAnswer answer;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list.get());
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer.headers);
    const CURLcode code = curl_easy_perform(curl);
    long opened = 0;
    curl_easy_getinfo(curl, CURLINFO_NUM_CONNECTS, &opened);
    m_handle->connectionsOpened += opened;
    if (code != CURLE_OK)
        throw HttpError(url + ": " + curl_easy_strerror(code));
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}

} // namespace nutmegtide::test
