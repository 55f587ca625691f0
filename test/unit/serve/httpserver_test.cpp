#include "serve/httpserver.h"

#include <algorithm>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <thread>
#include <unistd.h>

using namespace nutmegtide;

namespace {

constexpr std::uint64_t LargestBody = 1'000; // bytes
constexpr int AnswerTimeoutMs = 10'000;

// A client that sends bytes as it likes and reads what comes back.
class RawClient
{
public:
    explicit RawClient(const Endpoint &server)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto *generic = reinterpret_cast<const sockaddr *>(&address);
        REQUIRE(connect(m_socket, generic, sizeof(address)) == 0);
    }
    ~RawClient() { close(m_socket); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    // Returns whether all of it could be sent; false if the server has reset the connection.
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent,
                                         MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Returns what the server sends next; empty if it reset or closed the connection.
    std::string receive()
    {
        pollfd ready {m_socket, POLLIN, 0};
        REQUIRE(poll(&ready, 1, AnswerTimeoutMs) == 1);
        std::string bytes(4'096, '\0');
        const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
        bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return bytes;
    }

private:
    const int m_socket;
};

HttpServer::Options smallBodies()
{
    HttpServer::Options options;
    options.threads = 2;
    options.largestBody = LargestBody;
    return options;
}

} // namespace

// Guards against a reset in place of the refusal, when the server closes with bytes unread.
TEST_CASE("a sender of a body over the limit gets the refusal after it has sent all of it")
{
    struct Row
    {
        const char *what;
        std::size_t first; // bytes that are sent before a pause
        std::size_t rest; // and after it
    };
    const Row rows[] = {{"in one piece", 20'000, 0},
                        {"in two pieces", 2'000, 300'000},
                        {"nothing before the pause", 0, 200'000}};
    HttpServer server({"127.0.0.1", 0}, smallBodies(),
                      [](const HttpRequest &) { return HttpResponse(); });
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        RawClient client(server.bound());
        const std::size_t length = row.first + row.rest;
        CHECK(client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length)
                          + "\r\n\r\n" + std::string(row.first, 'x')));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        CHECK(client.send(std::string(row.rest / 2, 'x')));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        CHECK(client.send(std::string(row.rest - row.rest / 2, 'x')));
        CHECK(client.receive().substr(0, 12) == "HTTP/1.1 413");
    }
}

// Guards against bodies that stop and keep their thread.
TEST_CASE("a body that arrives too slowly is refused and its connection closed")
{
    const auto connections = std::make_shared<HttpConnections>(
            HttpLimitSettings {1'000'000, std::chrono::milliseconds(100)});
    HttpServer server(
            {"127.0.0.1", 0}, smallBodies(), [](const HttpRequest &) { return HttpResponse(); },
            connections);
    RawClient client(server.bound());
    CHECK(client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nxxxx"));
    CHECK(client.receive().substr(0, 12) == "HTTP/1.1 408");
}

// Guards against bodies that fill the memory, and against refusing the small ones for them.
TEST_CASE("the sender of the largest incomplete body is refused when all take too much memory")
{
    const auto connections = std::make_shared<HttpConnections>(HttpLimitSettings {1'000, 30s});
    HttpServer::Options options;
    options.threads = 2;
    options.largestBody = 100'000; // the limit of all bodies is a little more
    HttpServer server(
            {"127.0.0.1", 0}, options, [](const HttpRequest &) { return HttpResponse(); },
            connections);
    const std::string header = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
    RawClient largest(server.bound());
    CHECK(largest.send(header + std::string(90'000, 'x')));
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // until it has been read
    RawClient other(server.bound());
    CHECK(other.send(header + std::string(60'000, 'x')));
    CHECK(largest.receive().substr(0, 12) == "HTTP/1.1 503");
    CHECK(other.send(std::string(40'000, 'x')));
    CHECK(other.receive().substr(0, 12) == "HTTP/1.1 200");
}

// Guards against idle connections that hold all threads, and against requests cut for them.
TEST_CASE("an idle connection gives its thread to a new one, a request being processed doesn't")
{
    HttpServer::Options options = smallBodies();
    options.threads = 1;
    std::atomic<bool> isHeld = false;
    std::atomic<bool> isProcessing = false;
    HttpServer server({"127.0.0.1", 0}, options, [&](const HttpRequest &) {
        isProcessing = true;
        while (isHeld)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return HttpResponse();
    });
    const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    RawClient silent(server.bound());
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // until it has a thread
    isHeld = true;
    RawClient first(server.bound());
    CHECK(first.send(request));
    CHECK(silent.receive().empty()); // closed
    while (!isProcessing)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    RawClient second(server.bound());
    CHECK(second.send("GET /x"));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    isHeld = false;
    CHECK(first.receive().substr(0, 12) == "HTTP/1.1 200");
}
