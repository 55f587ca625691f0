#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"
#include "serve/httpconnections.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct mg_context;
struct mg_connection;

namespace nutmegtide {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    std::string remoteAddress; // without the port
    std::vector<HttpHeader> headers;

    // Looks a header up without regard to case.
    std::optional<std::string> header(const std::string &name) const;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
};

// A CivetWeb listener with one handler for every path. Each connection has a
// thread, so the handler may block. Where a connection beyond the threads of the options arrives,
// another one that waits for its client is ended (HttpLimits).
//
//   HttpServer server(endpoint, options, [](const HttpRequest &request) { ... });
//   server.bound(); // the port taken
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    struct Options
    {
        int threads = 64;
        std::uint64_t largestBody = 1'048'576; // bytes; a longer one is answered with 413
        std::chrono::milliseconds requestTimeout {600'000}; // for a request to arrive whole
        // Asks the client to close its connection after each answer, so that clients which keep
        // theirs open don't take all threads.
        bool closesAfterAnswer = false;
    };

    // The listeners of a process share the connections' limits; without them this one has the
    // default limits for itself. Throws ListenError.
    HttpServer(const Endpoint &endpoint, Options options, Handler handler,
               std::shared_ptr<HttpConnections> connections = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Endpoint bound() const { return m_bound; }

    // From now on every answer asks the client to close its connection.
    void closeAfterAnswer() { m_isClosing = true; }
    void stop();

private:
    static int handleRequest(mg_connection *connection, void *self);
    static int openConnection(const mg_connection *connection, void **data);
    static void closeConnection(const mg_connection *connection);
    int handle(mg_connection *connection);
    void write(mg_connection *connection, const HttpResponse &response) const;

    Options m_options;
    Handler m_handler;
    const std::shared_ptr<HttpConnections> m_connections;
    const HttpListenerKey m_listener;
    mg_context *m_context = nullptr;
    Endpoint m_bound;
    std::atomic<bool> m_isClosing = false;
};

} // namespace nutmegtide
