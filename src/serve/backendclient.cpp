#include "serve/backendclient.h"

#include <curl/curl.h>

namespace nutmegtide {

namespace {

constexpr auto ConnectTimeout = 1000ms;

std::size_t appendToString(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

LinkFault faultOf(CURL *handle, CURLcode code)
{
    if (code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST)
        return LinkFault::Lost;
    // When a kept connection closes without an answer, curl connects anew by itself. The
    // request may have run before, though the last thing that failed is a connect.
    long sentBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
    return sentBytes > 0 ? LinkFault::LostAndRefused : LinkFault::Refused;
}

} // namespace

BackendConnection::BackendConnection(Endpoint server, HomeRunId home)
    : m_server(std::move(server))
    , m_home(std::move(home))
{ }

BackendConnection::BackendConnection(BackendConnection &&other) noexcept
    : m_server(std::move(other.m_server))
    , m_home(std::move(other.m_home))
    , m_handle(std::exchange(other.m_handle, nullptr))
    , m_transfer(std::exchange(other.m_transfer, nullptr))
{ }

BackendConnection::~BackendConnection()
{
    close();
}

void BackendConnection::close()
{
    if (m_handle)
        curl_easy_cleanup(m_handle);
    m_handle = nullptr;
    if (m_transfer)
        curl_multi_cleanup(m_transfer);
    m_transfer = nullptr;
}

void BackendConnection::open()
{
    if (m_handle)
        return;
    m_handle = curl_easy_init();
    m_transfer = curl_multi_init();
}

std::string BackendConnection::exchange(const std::string &path, const std::string *body,
                                        std::chrono::milliseconds timeout,
                                        const GiveUpCheck &isGivenUp)
{
    open();
    std::string answer;
    const std::string url = "http://" + toString(m_server) + path;
    curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, long(ConnectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, std::max(1L, long(timeout.count())));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &appendToString);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &answer);
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    if (!m_home.isEmpty()) {
        const std::string home = std::string(HomeHeader) + ": " + m_home.text();
        headers = curl_slist_append(headers, home.c_str());
    }
    if (body) {
        headers = curl_slist_append(headers, "Content-Type: application/json");
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, long(body->size()));
        curl_easy_setopt(m_handle, CURLOPT_COPYPOSTFIELDS, body->c_str());
    } else {
        curl_easy_setopt(m_handle, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, headers);
    const auto code = performTransfer(m_transfer, m_handle, isGivenUp);
    curl_slist_free_all(headers);
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, nullptr);
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK) {
        const LinkFault fault = faultOf(m_handle, code);
        close();
        throw LinkError(fault, toString(m_server) + ": " + curl_easy_strerror(code));
    }
    if (status == 200)
        return answer;
    try {
        throw RefusedByServer(parseMessage<BackendRefusal>(answer), int(status));
    } catch (const MessageError &fault) {
        close();
        throw LinkError(LinkFault::BadAnswer, toString(m_server) + ": " + fault.what());
    }
}

template <typename Reply>
Reply BackendConnection::ask(const std::string &path, const Json *body,
                             std::chrono::milliseconds timeout, const GiveUpCheck &isGivenUp)
{
    const std::string text = body ? body->dump() : std::string();
    const std::string answer = exchange(path, body ? &text : nullptr, timeout, isGivenUp);
    try {
        return parseMessage<Reply>(answer);
    } catch (const MessageError &fault) {
        close();
        throw LinkError(LinkFault::BadAnswer, toString(m_server) + ": " + fault.what());
    }
}

std::string BackendConnection::escape(const std::string &text) const
{
    char *escaped = curl_easy_escape(m_handle, text.c_str(), int(text.size()));
    std::string result = escaped ? escaped : "";
    curl_free(escaped);
    return result;
}

ExecuteReply BackendConnection::execute(const ExecuteRequest &request,
                                        std::chrono::milliseconds timeout,
                                        const GiveUpCheck &isGivenUp)
{
    const Json body = request;
    ExecuteReply reply = ask<ExecuteReply>("/v1/execute", &body, timeout, isGivenUp);
    if (reply.requestId != request.requestId) {
        close();
        throw LinkError(LinkFault::BadAnswer,
                        "answer to " + reply.requestId.text() + " where " + request.requestId.text()
                                + " was asked");
    }
    return reply;
}

PositionReply BackendConnection::position(Term term, LogPosition atLeast,
                                          std::chrono::milliseconds wait,
                                          std::chrono::milliseconds timeout)
{
    const std::string path = "/v1/position?term=" + std::to_string(term)
            + "&at_least=" + std::to_string(atLeast.term) + '.' + std::to_string(atLeast.index)
            + "&wait_ms=" + std::to_string(wait.count());
    return ask<PositionReply>(path, nullptr, timeout);
}

RequestOutcome BackendConnection::requestFate(const CallerId &caller, const RequestId &id,
                                              std::chrono::milliseconds timeout)
{
    const std::string path = "/v1/requests/" + escape(id.text())
            + "?caller=" + escape(caller.text());
    return ask<RequestOutcome>(path, nullptr, timeout);
}

FenceReply BackendConnection::fence(const FenceRequest &request, std::chrono::milliseconds timeout)
{
    const Json body = request;
    return ask<FenceReply>("/v1/fence", &body, timeout);
}

PromoteReply BackendConnection::promote(const PromoteRequest &request,
                                        std::chrono::milliseconds timeout)
{
    const Json body = request;
    return ask<PromoteReply>("/v1/promote", &body, timeout);
}

FollowReply BackendConnection::follow(const FollowRequest &request,
                                      std::chrono::milliseconds timeout)
{
    const Json body = request;
    return ask<FollowReply>("/v1/follow", &body, timeout);
}

BackendPool::Lease::Lease(Lease &&other) noexcept
    : m_pool(std::exchange(other.m_pool, nullptr))
    , m_connection(std::move(other.m_connection))
{ }

BackendPool::Lease::~Lease()
{
    if (m_pool)
        m_pool->giveBack(std::move(m_connection));
}

BackendPool::Lease BackendPool::borrow(std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const bool isFree = m_freed.wait_for(lock, wait, [this] { return m_inUse < mostNow(); });
    if (!isFree)
        throw LinkError(LinkFault::NoConnectionFree, "no free connection to " + toString(m_server));
    ++m_inUse;
    if (m_idle.empty())
        return Lease(*this, BackendConnection(m_server, m_home));
    BackendConnection connection = std::move(m_idle.back());
    m_idle.pop_back();
    return Lease(*this, std::move(connection));
}

void BackendPool::giveBack(BackendConnection connection)
{
    const std::lock_guard lock(m_mutex);
    --m_inUse;
    const bool isCurrent = connection.server() == m_server;
    if (isCurrent && m_inUse + int(m_idle.size()) < mostNow())
        m_idle.push_back(std::move(connection));
    m_freed.notify_one();
}

void BackendPool::setMost(int most, TimePoint voidAt)
{
    const std::lock_guard lock(m_mutex);
    m_most = most;
    m_voidAt = voidAt;
    while (!m_idle.empty() && m_inUse + int(m_idle.size()) > mostNow())
        m_idle.pop_back();
    m_freed.notify_all();
}

int BackendPool::most() const
{
    const std::lock_guard lock(m_mutex);
    return mostNow();
}

void BackendPool::setServer(const Endpoint &server)
{
    const std::lock_guard lock(m_mutex);
    if (m_server == server)
        return;
    m_server = server;
    m_idle.clear();
}

int BackendPool::inUse() const
{
    const std::lock_guard lock(m_mutex);
    return m_inUse;
}

int BackendPool::open() const
{
    const std::lock_guard lock(m_mutex);
    return m_inUse + int(m_idle.size());
}

} // namespace nutmegtide
