#include "serve/httpserver.h"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <strings.h>

namespace nutmegtide {

namespace {

constexpr std::size_t ChunkBytes = 16'384;
constexpr std::size_t LargestDiscarded = 16'777'216; // bytes of a refused body

enum class BodyState {
    Whole,
    TooLarge,
    Truncated,
};

BodyState readBody(mg_connection *connection, long long length, std::uint64_t largest,
                   std::string &body)
{
    if (length > 0 && static_cast<std::uint64_t>(length) > largest)
        return BodyState::TooLarge;
    std::array<char, ChunkBytes> chunk;
    while (length < 0 || body.size() < static_cast<std::size_t>(length)) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
            break;
        body.append(chunk.data(), static_cast<std::size_t>(count));
        if (body.size() > largest)
            return BodyState::TooLarge;
    }
    const bool isTruncated = length > 0 && body.size() < static_cast<std::size_t>(length);
    return isTruncated ? BodyState::Truncated : BodyState::Whole;
}

// Reads what a refused request still sends. If the connection were closed with bytes unread, its
// sender would be reset, and might not see the answer.
void discardBody(mg_connection *connection)
{
    std::array<char, ChunkBytes> chunk;
    std::size_t discarded = 0;
    while (discarded < LargestDiscarded) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
            return;
        discarded += static_cast<std::size_t>(count);
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

HttpResponse refuseBody(int status, const char *type, const char *message)
{
    HttpResponse response;
    response.status = status;
    response.body = std::string(R"({"error":{"type":")") + type + R"(","message":")" + message
            + R"(","ran":"no","retry_after_ms":0}})";
    return response;
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

HttpServer::HttpServer(const Endpoint &endpoint, Options options, Handler handler)
    : m_options(options)
    , m_handler(std::move(handler))
{
    const std::string port = toString(endpoint);
    const std::string threads = std::to_string(options.threads);
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
    m_isClosing = options.closesAfterAnswer;
    m_context = mg_start(&callbacks, this, settings);
    if (!m_context)
        throw ListenError("cannot listen at " + port);
    mg_server_port taken {};
    mg_get_server_ports(m_context, 1, &taken);
    m_bound = {endpoint.address, static_cast<std::uint16_t>(taken.port)};
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

    // Without a length the body ends with its last chunk; without either there is none.
    const bool hasBody = info->content_length >= 0 || request.header("Transfer-Encoding");
    const BodyState state = hasBody
            ? readBody(connection, info->content_length, m_options.largestBody, request.body)
            : BodyState::Whole;
    HttpResponse response;
    if (state == BodyState::TooLarge)
        response = refuseBody(413, "too_large", "the body is over the limit");
    else if (state == BodyState::Truncated)
        response = refuseBody(400, "bad_request", "the body ends before its stated length");
    else
        response = m_handler(request);
    if (state != BodyState::Whole)
        mg_disable_connection_keep_alive(connection);
    write(connection, response);
    if (state == BodyState::TooLarge)
        discardBody(connection);
    return response.status;
}

void HttpServer::write(mg_connection *connection, const HttpResponse &response) const
{
    if (m_isClosing)
        mg_disable_connection_keep_alive(connection);
    mg_response_header_start(connection, response.status);
    mg_response_header_add(connection, "Content-Type", response.contentType.c_str(), -1);
    mg_response_header_add(connection, "Content-Length",
                           std::to_string(response.body.size()).c_str(), -1);
    for (const HttpHeader &header : response.headers)
        mg_response_header_add(connection, header.name.c_str(), header.value.c_str(), -1);
    mg_response_header_send(connection);
    mg_write(connection, response.body.data(), response.body.size());
}

} // namespace nutmegtide
