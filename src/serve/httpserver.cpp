#include "serve/httpserver.h"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <strings.h>
#include <sys/mman.h>

namespace nutmegtide {

namespace {

constexpr std::size_t ChunkBytes = 16'384;
constexpr std::chrono::seconds RetryAfterEnd {1}; // for a client whose body a limit has ended
constexpr std::size_t LargestDiscarded = 16'777'216; // bytes of a refused body

// A further thread takes a connection beyond the limit, which shows that a thread is needed.
constexpr int SpareThreads = 1;

enum class BodyState {
    Whole,
    TooLarge,
    Truncated,
    Ended, // by a limit of all connections
    NoMemory,
};

HttpConnectionKey keyOf(const mg_connection *connection)
{
    return reinterpret_cast<HttpConnectionKey>(connection);
}

// The bytes of an incomplete body, in a mapping of their own, of which only what has arrived takes
// memory. Memory of the heap stays with each thread's arena when it is freed: a proxy reached 137
// MB with 300 clients that send 0.9 MB each, and 78 MB with mappings.
class BodyBuffer
{
public:
    explicit BodyBuffer(std::size_t size)
        : m_size(size)
        , m_bytes(mmap(nullptr, size, PROT_READ | PROT_WRITE,
                       MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0))
    { }
    ~BodyBuffer()
    {
        if (isValid())
            munmap(m_bytes, m_size);
    }
    BodyBuffer(const BodyBuffer &) = delete;
    BodyBuffer &operator=(const BodyBuffer &) = delete;

    bool isValid() const { return m_bytes != MAP_FAILED; }
    char *at(std::size_t offset) const { return static_cast<char *>(m_bytes) + offset; }

private:
    const std::size_t m_size;
    void *const m_bytes;
};

BodyState readBody(mg_connection *connection, long long length, std::uint64_t largest,
                   HttpConnections &connections, std::string &body)
{
    if (length > 0 && static_cast<std::uint64_t>(length) > largest)
        return BodyState::TooLarge;
    const std::size_t most = length >= 0 ? static_cast<std::size_t>(length) : largest + 1;
    if (most == 0)
        return BodyState::Whole;
    const BodyBuffer buffer(most);
    if (!buffer.isValid())
        return BodyState::NoMemory;
    std::size_t size = 0;
    while (size < most) {
        const int count = mg_read(connection, buffer.at(size), std::min(most - size, ChunkBytes));
        if (count <= 0)
            break;
        size += static_cast<std::size_t>(count);
        if (size > largest)
            return BodyState::TooLarge;
        if (!connections.bodyReceived(keyOf(connection), static_cast<std::size_t>(count), size))
            return BodyState::Ended;
    }
    if (connections.endingReason(keyOf(connection)))
        return BodyState::Ended;
    if (length > 0 && size < most)
        return BodyState::Truncated;
    body.assign(buffer.at(0), size);
    return BodyState::Whole;
}

// Reads what a refused request still sends. If the connection were closed with bytes unread, its
// sender would be reset, and might not see the answer.
void discardBody(mg_connection *connection, HttpConnections &connections)
{
    std::array<char, ChunkBytes> chunk;
    std::size_t discarded = 0;
    while (discarded < LargestDiscarded) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
            return;
        const auto bytes = static_cast<std::size_t>(count);
        if (!connections.bodyReceived(keyOf(connection), bytes, 0))
            return;
        discarded += bytes;
    }
}

// Decodes a path. The library's own decoding would hand it over as a C string, which ends at an
// encoded zero byte.
std::string decodePath(const char *encoded)
{
    std::string path(encoded ? encoded : "");
    std::string decoded(path.size() + 1, '\0');
    const int length = mg_url_decode(path.data(), static_cast<int>(path.size()), decoded.data(),
                                     static_cast<int>(decoded.size()), 0);
    decoded.resize(static_cast<std::size_t>(std::max(length, 0)));
    return decoded;
}

HttpResponse refuseBody(int status, const char *type, const char *message,
                        std::chrono::seconds retryAfter = std::chrono::seconds(0))
{
    HttpResponse response;
    response.status = status;
    response.body = std::string(R"({"error":{"type":")") + type + R"(","message":")" + message
            + R"(","ran":"no","retry_after_ms":)" + std::to_string(retryAfter.count() * 1'000)
            + "}}";
    if (retryAfter.count() > 0)
        response.headers.push_back({"Retry-After", std::to_string(retryAfter.count())});
    return response;
}

HttpResponse refuseEnded(HttpLimitReason reason)
{
    if (reason == HttpLimitReason::BodyOverdue)
        return refuseBody(408, "bad_request", "the body arrives too slowly");
    return refuseBody(503, "overloaded", "the listener has no room for this body now",
                      RetryAfterEnd);
}

} // namespace

std::optional<std::string> HttpRequest::header(const std::string &name) const
{
    for (const HttpHeader &header : headers) {
        if (strcasecmp(header.name.c_str(), name.c_str()) == 0)
            return header.value;
    }
    return std::nullopt;
}

HttpServer::HttpServer(const Endpoint &endpoint, Options options, Handler handler,
                       std::shared_ptr<HttpConnections> connections)
    : m_options(options)
    , m_handler(std::move(handler))
    , m_connections(connections ? std::move(connections)
                                : std::make_shared<HttpConnections>(HttpLimitSettings()))
    , m_listener(m_connections->addListener(static_cast<std::size_t>(options.threads),
                                            options.largestBody + ChunkBytes))
{
    const std::string port = toString(endpoint);
    const std::string threads = std::to_string(options.threads + SpareThreads);
    const std::string requestTimeout = std::to_string(options.requestTimeout.count());
    const char *settings[] = {"listening_ports",
                              port.c_str(),
                              "num_threads",
                              threads.c_str(),
                              "enable_keep_alive",
                              "yes",
                              "keep_alive_timeout_ms",
                              "600000",
                              "request_timeout_ms",
                              requestTimeout.c_str(),
                              "tcp_nodelay",
                              "1",
                              "decode_url",
                              "no",
                              nullptr};
    mg_callbacks callbacks {};
    callbacks.init_connection = &HttpServer::openConnection;
    callbacks.connection_close = &HttpServer::closeConnection;
    m_isClosing = options.closesAfterAnswer;
    m_context = mg_start(&callbacks, this, settings);
    if (!m_context)
        throw ListenError("cannot listen at " + port);
    mg_server_port taken {};
    mg_get_server_ports(m_context, 1, &taken);
    m_bound = {endpoint.address, static_cast<std::uint16_t>(taken.port)};
    m_connections->setPort(m_listener, taken.port);
    mg_set_request_handler(m_context, "/", &HttpServer::handleRequest, this);
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (m_context)
        mg_stop(m_context);
    m_context = nullptr;
}

int HttpServer::handleRequest(mg_connection *connection, void *self)
{
    return static_cast<HttpServer *>(self)->handle(connection);
}

int HttpServer::openConnection(const mg_connection *connection, void ** /*data*/)
{
    const auto *self = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    self->m_connections->add(keyOf(connection), self->m_listener);
    return 0;
}

// CivetWeb calls this before it closes the connection's socket.
void HttpServer::closeConnection(const mg_connection *connection)
{
    const auto *self = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    self->m_connections->remove(keyOf(connection));
}

int HttpServer::handle(mg_connection *connection)
{
    const mg_request_info *info = mg_get_request_info(connection);
    HttpRequest request;
    request.method = info->request_method;
    request.path = decodePath(info->local_uri);
    request.remoteAddress = info->remote_addr;
    request.query = info->query_string ? info->query_string : "";
    for (int i = 0; i < info->num_headers; ++i)
        request.headers.push_back({info->http_headers[i].name, info->http_headers[i].value});

    const HttpConnectionKey key = keyOf(connection);
    const HttpPeer peer {request.remoteAddress, info->remote_port};
    m_connections->requestBegun(key, m_listener, peer);
    // Without a length the body ends with its last chunk; without either there is none.
    const bool hasBody = info->content_length >= 0 || request.header("Transfer-Encoding");
    const BodyState state = hasBody ? readBody(connection, info->content_length,
                                               m_options.largestBody, *m_connections, request.body)
                                    : BodyState::Whole;
    if (state != BodyState::Whole)
        mg_disable_connection_keep_alive(connection);
    HttpResponse response;
    if (state == BodyState::TooLarge) {
        response = refuseBody(413, "too_large", "the body is over the limit");
        m_connections->bodyReceived(key, 0, 0);
    } else if (state == BodyState::Truncated) {
        response = refuseBody(400, "bad_request", "the body ends before its stated length");
    } else if (state == BodyState::Ended) {
        response = refuseEnded(m_connections->endingReason(key).value());
    } else if (state == BodyState::NoMemory) {
        response = refuseEnded(HttpLimitReason::BodyMemory);
    } else {
        m_connections->processing(key);
        response = m_handler(request);
    }
    write(connection, response);
    if (state == BodyState::TooLarge) {
        m_connections->requestBegun(key, m_listener, peer);
        discardBody(connection, *m_connections);
    }
    m_connections->answered(key);
    return response.status;
}

void HttpServer::write(mg_connection *connection, const HttpResponse &response) const
{
    if (m_isClosing || m_connections->areThreadsNeeded(m_listener))
        mg_disable_connection_keep_alive(connection);
    mg_response_header_start(connection, response.status);
    mg_response_header_add(connection, "Content-Type", response.contentType.c_str(), -1);
    mg_response_header_add(connection, "Content-Length",
                           std::to_string(response.body.size()).c_str(), -1);
    for (const HttpHeader &header : response.headers)
        mg_response_header_add(connection, header.name.c_str(), header.value.c_str(), -1);
    m_connections->writing(keyOf(connection));
    mg_response_header_send(connection);
    for (std::size_t written = 0; written < response.body.size();) {
        const std::size_t bytes = std::min(ChunkBytes, response.body.size() - written);
        if (mg_write(connection, response.body.data() + written, bytes) <= 0)
            return;
        written += bytes;
        m_connections->writing(keyOf(connection));
    }
}

} // namespace nutmegtide
