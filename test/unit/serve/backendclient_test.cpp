#include "serve/backendclient.h"

#include <arpa/inet.h>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace nutmegtide;

namespace {

std::string http(const std::string &body, std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(length) + "\r\n\r\n" + body;
}

std::string answerTo(const std::string &id)
{
    return Json {{"request_id", id},  {"term", 1},
                 {"role", "primary"}, {"position", {{"term", 1}, {"index", 1}}},
                 {"replay", false},   {"result", {{"for", id}}}}
            .dump();
}

std::string whole(const std::string &body)
{
    return http(body, body.size());
}

// A backend server of one connection at a time that answers each request with
// the bytes of a script and then closes, if the script says so.
class FakeServer
{
public:
    struct Answer
    {
        std::string bytes;
        std::chrono::milliseconds delay {0};
        bool closes = false;
        bool ends = false; // takes no new connection either
    };
    // The number counts requests from 0; the id is that of the request.
    using Script = std::function<Answer(int number, const std::string &id)>;

    explicit FakeServer(Script script)
        : m_script(std::move(script))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(listen(m_listener, 8) == 0);
        socklen_t size = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
        m_thread = std::thread([this] { run(); });
    }
    ~FakeServer()
    {
        m_isStopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }
    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    int connections() const { return m_connections; }

private:
    void run()
    {
        while (!m_isStopping) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                continue;
            ++m_connections;
            serve(connection);
            close(connection);
        }
    }

    void serve(int connection)
    {
        std::string received;
        char chunk[4096];
        while (true) {
            const ssize_t count = recv(connection, chunk, sizeof(chunk), 0);
            if (count <= 0)
                return;
            received.append(chunk, std::size_t(count));
            const std::size_t body = received.find("\r\n\r\n");
            const Json request = body == std::string::npos
                    ? Json()
                    : Json::parse(received.substr(body + 4), nullptr, false);
            if (!request.is_object())
                continue;
            received.clear();
            const Answer answer = m_script(m_requests++, request.value("request_id", ""));
            std::this_thread::sleep_for(answer.delay);
            if (answer.ends)
                shutdown(m_listener, SHUT_RDWR);
            send(connection, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
            if (answer.closes)
                return;
        }
    }

    Script m_script;
    int m_listener;
    Endpoint m_endpoint;
    int m_requests = 0;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

ExecuteRequest request(const std::string &id)
{
    ExecuteRequest request;
    request.term = 1;
    request.requestId = RequestId(id);
    request.caller = CallerId("caller");
    request.statement = "get";
    return request;
}

} // namespace

TEST_CASE("after a bad answer the connection is closed and nobody sees another's answer")
{
    struct Row
    {
        const char *what;
        FakeServer::Answer first;
        LinkFault fault;
    };
    const std::string mine = answerTo("first");
    const Row rows[] = {
            {"late", {whole(mine), 600ms, false}, LinkFault::Lost},
            {"short", {http(mine.substr(0, 20), mine.size()), 0ms, true}, LinkFault::Lost},
            {"none", {"", 0ms, true}, LinkFault::Lost},
            {"crossed", {whole(answerTo("other")), 0ms, false}, LinkFault::BadAnswer},
            {"cut JSON", {whole(mine.substr(0, 20)), 0ms, false}, LinkFault::BadAnswer},
            {"no JSON", {whole("hello"), 0ms, false}, LinkFault::BadAnswer},
            {"a member missing",
             {whole(R"({"request_id":"first"})"), 0ms, false},
             LinkFault::BadAnswer},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        FakeServer server([&row](int number, const std::string &id) {
            return number == 0 ? row.first : FakeServer::Answer {whole(answerTo(id))};
        });
        BackendPool pool(server.endpoint(), 1);
        try {
            BackendPool::Lease lease = pool.borrow(1s);
            lease->execute(request("first"), 200ms);
            FAIL("the bad answer was taken");
        } catch (const LinkError &fault) {
            CHECK(int(fault.fault()) == int(row.fault));
            CHECK_FALSE(fault.isUnsent());
        }
        BackendPool::Lease lease = pool.borrow(1s);
        const ExecuteReply reply = lease->execute(request("second"), 60s);
        CHECK(reply.requestId == RequestId("second"));
        CHECK(reply.result.value("for", "") == "second");
        CHECK(server.connections() == 2);
    }
}

TEST_CASE("a wait that is given up ends at once, and the next exchange has a connection of its own")
{
    FakeServer server([](int number, const std::string &id) {
        return FakeServer::Answer {whole(answerTo(id)), number == 0 ? 600ms : 0ms, false};
    });
    BackendPool pool(server.endpoint(), 1);
    int checks = 0;
    try {
        pool.borrow(1s)->execute(request("first"), 60s, [&] { return ++checks == 2; });
        FAIL("the answer was waited for");
    } catch (const LinkError &fault) {
        CHECK(int(fault.fault()) == int(LinkFault::Lost));
    }
    CHECK(checks == 2);
    CHECK(pool.borrow(1s)->execute(request("second"), 60s).requestId == RequestId("second"));
    CHECK(server.connections() == 2);
}

TEST_CASE("a request that a server took before it died isn't told as unsent")
{
    FakeServer server([](int number, const std::string &id) {
        return number == 0 ? FakeServer::Answer {whole(answerTo(id))}
                           : FakeServer::Answer {"", 0ms, true, true};
    });
    BackendPool pool(server.endpoint(), 1);
    pool.borrow(1s)->execute(request("first"), 60s);
    try {
        pool.borrow(1s)->execute(request("second"), 60s);
        FAIL("a server that has died answered");
    } catch (const LinkError &fault) {
        CHECK(int(fault.fault()) == int(LinkFault::LostAndRefused));
        CHECK(fault.isRefusing());
        CHECK_FALSE(fault.isUnsent());
    }
}

TEST_CASE("good answers keep the connection")
{
    FakeServer server(
            [](int, const std::string &id) { return FakeServer::Answer {whole(answerTo(id))}; });
    BackendPool pool(server.endpoint(), 1);
    for (const std::string id : {"a", "b", "c"}) {
        BackendPool::Lease lease = pool.borrow(1s);
        CHECK(lease->execute(request(id), 60s).requestId == RequestId(id));
    }
    CHECK(server.connections() == 1);
}

TEST_CASE(
        "a smaller or void share closes idle connections at once and lent ones when they come back")
{
    FakeServer server(
            [](int, const std::string &id) { return FakeServer::Answer {whole(answerTo(id))}; });
    BackendPool pool(server.endpoint(), 4);
    std::optional<BackendPool::Lease> first(pool.borrow(0ms));
    std::optional<BackendPool::Lease> second(pool.borrow(0ms));
    pool.borrow(0ms);
    CHECK(pool.open() == 3);
    pool.setMost(1);
    CHECK(pool.open() == 2);
    CHECK_THROWS_AS(pool.borrow(0ms), LinkError);
    first.reset();
    CHECK(pool.open() == 1);
    second.reset();
    CHECK(pool.open() == 1);
    pool.setMost(4, Clock::now());
    CHECK(pool.open() == 0);
    CHECK(pool.most() == 0);
    CHECK_THROWS_AS(pool.borrow(0ms), LinkError);
}

TEST_CASE("a bytes surplus after an answer isn't taken for the next one")
{
    FakeServer server([](int number, const std::string &id) {
        const std::string own = whole(answerTo(id));
        return FakeServer::Answer {number == 0 ? own + whole(answerTo("second")) : own};
    });
    BackendPool pool(server.endpoint(), 1);
    for (const std::string id : {"first", "third"}) {
        BackendPool::Lease lease = pool.borrow(1s);
        try {
            CHECK(lease->execute(request(id), 60s).requestId == RequestId(id));
        } catch (const LinkError &fault) {
            CHECK(int(fault.fault()) == int(LinkFault::BadAnswer));
        }
    }
}
