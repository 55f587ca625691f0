#include "process/support/relay.h"

#include "process/support/httpclient.h"
#include "process/support/waituntil.h"

#include <atomic>
#include <civetweb.h>
#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// An HTTP server that answers each request with its body and counts the requests.
class EchoServer
{
public:
    EchoServer()
    {
        const char *options[] = {"listening_ports",   "127.0.0.1:0", "num_threads", "4",
                                 "enable_keep_alive", "yes",         nullptr};
        m_context = mg_start(nullptr, nullptr, options);
        mg_set_request_handler(m_context, "/", echo, this);
    }
    ~EchoServer() { mg_stop(m_context); }
    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    Endpoint endpoint() const
    {
        mg_server_port port {};
        mg_get_server_ports(m_context, 1, &port);
        return {"127.0.0.1", static_cast<std::uint16_t>(port.port)};
    }
    int requests() const { return m_requests; }

private:
    static int echo(mg_connection *connection, void *server)
    {
        constexpr int Ok = 200;
        ++static_cast<EchoServer *>(server)->m_requests;
        std::string body(static_cast<std::size_t>(mg_get_request_info(connection)->content_length),
                         ' ');
        std::size_t filled = 0;
        while (filled < body.size()) {
            const int size = mg_read(connection, body.data() + filled, body.size() - filled);
            if (size <= 0)
                return Ok;
            filled += static_cast<std::size_t>(size);
        }
        mg_printf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nX-Echo: Yes\r\n\r\n",
                  body.size());
        mg_write(connection, body.data(), body.size());
        return Ok;
    }

    mg_context *m_context = nullptr;
    std::atomic<int> m_requests = 0;
};

constexpr std::chrono::milliseconds ShortTimeout {200};
constexpr std::size_t LargeBody = 500'000; // bytes, more than one block of the relay

} // namespace

TEST_CASE("Relay forwards both ways and keeps the connection")
{
    EchoServer server;
    const Relay relay(server.endpoint());
    HttpClient client(relay.endpoint());
    const std::string large(LargeBody, 'x');
    CHECK(client.post("/", std::string("one")).body == "one");
    CHECK(client.post("/", large).body == large);
    CHECK(client.post("/", std::string("two")).header("x-echo") == "Yes");
    CHECK(client.connectionsOpened() == 1);
}

TEST_CASE("A cut towards the target keeps requests from it until the relay heals")
{
    EchoServer server;
    Relay relay(server.endpoint());
    relay.cut(Direction::ToTarget);
    HttpClient client(relay.endpoint(), ShortTimeout);
    CHECK_THROWS_AS(client.post("/", std::string("lost")), HttpError);
    CHECK(server.requests() == 0);
    relay.heal();
    HttpClient patient(relay.endpoint());
    CHECK(patient.post("/", std::string("back")).body == "back");
}

TEST_CASE("A cut towards the caller lets requests run and keeps their answers back")
{
    EchoServer server;
    Relay relay(server.endpoint());
    relay.cut(Direction::ToCaller);
    HttpClient client(relay.endpoint(), ShortTimeout);
    CHECK_THROWS_AS(client.post("/", std::string("runs")), HttpError);
    waitUntil([&] { return server.requests() == 1; }, "the request at the server");
    relay.heal();
    HttpClient patient(relay.endpoint());
    CHECK(patient.post("/", std::string("back")).body == "back");
}

TEST_CASE("Relay closes a connection whose target refuses it")
{
    ReservedPort nobody;
    const Relay relay(nobody.endpoint());
    HttpClient client(relay.endpoint());
    CHECK_THROWS_AS(client.post("/", std::string("x")), HttpError);
}
