#include "httpclient.h"

namespace nutmegtide::standin {

namespace {

std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

HttpClient::HttpClient()
    : m_curl(curl_easy_init())
    , m_multi(curl_multi_init())
{ }

HttpClient::~HttpClient()
{
    curl_easy_cleanup(m_curl);
    curl_multi_cleanup(m_multi);
}

HttpAnswer HttpClient::get(const Endpoint &server, const std::string &path,
                           std::chrono::milliseconds timeout, const GiveUpCheck &isGivenUp)
{
    HttpAnswer answer;
    const std::string url = "http://" + toString(server) + path;
    curl_easy_setopt(m_curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(m_curl, CURLOPT_WRITEDATA, &answer.body);
    const CURLcode code = performTransfer(m_multi, m_curl, isGivenUp);
    if (code != CURLE_OK)
        throw HttpError(toString(server) + ": " + curl_easy_strerror(code));
    curl_easy_getinfo(m_curl, CURLINFO_RESPONSE_CODE, &answer.status);
    return answer;
}

} // namespace nutmegtide::standin
