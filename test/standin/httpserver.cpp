#include "httpserver.h"

#include <array>
#include <glog/logging.h>

namespace nutmegtide::standin {

namespace {

constexpr int InternalErrorStatus = 500;
constexpr int TooLargeStatus = 413;
constexpr int BadRequestStatus = 400;
constexpr int NotFoundStatus = 404;
constexpr std::size_t LargestBody = 16 << 20; // bytes
constexpr int ReservedThreads = 16; // for connections that aren't counted

bool readBody(mg_connection *connection, std::string &body)
{
    std::array<char, 8192> buffer = {};
    int count = 0;
    while ((count = mg_read(connection, buffer.data(), buffer.size())) > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (body.size() > LargestBody)
            return false;
    }
    return true;
}

void send(mg_connection *connection, int status, const std::string &body, bool isClosing)
{
    const std::string head = "HTTP/1.1 " + std::to_string(status) + " "
            + mg_get_response_code_text(connection, status)
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nConnection: " + (isClosing ? "close" : "keep-alive") + "\r\n\r\n";
    const std::string whole = head + body;
    mg_write(connection, whole.data(), whole.size());
}

} // namespace

HttpServer::HttpServer(StandinState &state, const Options &options, SharedBudget &budget)
    : m_state(state)
    , m_budget(budget)
    , m_slots(options.slots)
    , m_connectionLimit(options.connections)
{
    const std::string listen = toString(options.listen);
    const std::string threads = std::to_string(options.connections + ReservedThreads);
    const char *settings[] = {"listening_ports",
                              listen.c_str(),
                              "num_threads",
                              threads.c_str(),
                              "enable_keep_alive",
                              "yes",
                              "keep_alive_timeout_ms",
                              "600000",
                              "request_timeout_ms",
                              "600000",
                              "tcp_nodelay",
                              "1",
                              nullptr};
    mg_callbacks callbacks = {};
    callbacks.init_connection = openConnection;
    callbacks.connection_close = closeConnection;
    m_context = mg_start(&callbacks, this, settings);
    mg_server_port port = {};
    if (!m_context || mg_get_server_ports(m_context, 1, &port) != 1)
        throw StandinError("can't listen on " + listen);
    m_address = {options.listen.address, static_cast<std::uint16_t>(port.port)};
    mg_set_request_handler(m_context, "/", handleRequest, this);
}

HttpServer::~HttpServer()
{
    mg_stop(m_context);
}

int HttpServer::openConnection(const mg_connection *connection, void **data)
{
    auto *server = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    const std::lock_guard lock(server->m_mutex);
    *data = new Connection {++server->m_lastConnection, false, {}};
    return 0;
}

void HttpServer::closeConnection(const mg_connection *connection)
{
    auto *server = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    auto *own = static_cast<Connection *>(mg_get_user_connection_data(connection));
    if (!own)
        return;
    mg_set_user_connection_data(connection, nullptr);
    server->m_state.rollBackTransactionsOf(own->id);
    const std::lock_guard lock(server->m_mutex);
    if (own->isCounted) {
        --server->m_counters.connections;
        server->m_budget.noteClosed(own->home);
    }
    delete own;
}

int HttpServer::handleRequest(mg_connection *connection, void *server)
{
    const mg_request_info *info = mg_get_request_info(connection);
    Request request;
    request.path = info->local_uri ? info->local_uri : "";
    request.query = info->query_string ? info->query_string : "";
    request.connection = static_cast<Connection *>(mg_get_user_connection_data(connection));
    const char *home = mg_get_header(connection, HomeHeader);
    request.home = HomeRunId(home ? home : "");
    Answer answer = {TooLargeStatus, BackendRefusal {"too_large", "the body is too large", 0}, true};
    if (readBody(connection, request.body))
        answer = static_cast<HttpServer *>(server)->route(info->request_method, request);
    const std::string body = answer.body.dump(-1, ' ', false, Json::error_handler_t::replace);
    send(connection, answer.status, body, answer.isClosing);
    return answer.status;
}

HttpServer::Answer HttpServer::route(const std::string &method, const Request &request)
{
    try {
        for (const Route *route = Routes; route->method; ++route) {
            const std::string path = route->path;
            const bool isPrefix = path.ends_with('/');
            const bool isMatch = request.path.starts_with(path)
                    && (isPrefix || request.path.size() == path.size());
            if (isMatch && method == route->method)
                return (this->*route->handle)(request);
        }
        throw RefusalError(NotFoundStatus, "not_found", "no such path: " + request.path);
    } catch (const RefusalError &error) {
        return refusalAnswer(error);
    } catch (const MessageError &error) {
        return refusalAnswer(RefusalError(BadRequestStatus, "bad_request", error.what()));
    } catch (const std::exception &error) {
        LOG(ERROR) << "event=failed path=" << request.path << " fault=" << error.what();
        return refusalAnswer(RefusalError(InternalErrorStatus, "failed", error.what()));
    }
}

HttpServer::Answer HttpServer::refusalAnswer(const RefusalError &error) const
{
    BackendRefusal refusal = error.refusal();
    if (refusal.term == 0)
        refusal.term = m_state.term();
    return {error.status(), refusal, refusal.type == "too_many_connections"};
}

} // namespace nutmegtide::standin
