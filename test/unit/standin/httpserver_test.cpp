#include "standin/httpserver.h"

#include "standin/httpclient.h"
#include "standin/replicator.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace nutmegtide;
using namespace nutmegtide::standin;

namespace {

constexpr auto Timeout = std::chrono::seconds(
        30); // generous, since a verdict must not depend on load
constexpr long OkStatus = 200;

Json jsonOf(const HttpAnswer &answer)
{
    return Json::parse(answer.body);
}

Options smallOptions()
{
    Options options;
    options.connections = 1;
    return options;
}

struct Server
{
    Server() { state.startAsPrimary(Clock::now()); }

    StandinState state = StandinState(nullptr, {}, ServerState::Ready);
    SharedBudget budget = SharedBudget(smallOptions().connections, true);
    HttpServer http = HttpServer(state, smallOptions(), budget);
};

// Takes connections and never answers, as a frozen process does.
class SilentServer
{
public:
    SilentServer()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof(address);
        REQUIRE(bind(m_socket, generic, size) == 0);
        REQUIRE(listen(m_socket, 4) == 0);
        REQUIRE(getsockname(m_socket, generic, &size) == 0);
        m_endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    }
    ~SilentServer()
    {
        close(m_caller);
        close(m_socket);
    }
    SilentServer(const SilentServer &) = delete;
    SilentServer &operator=(const SilentServer &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    void waitForCaller() { m_caller = accept(m_socket, nullptr, nullptr); }

private:
    int m_socket;
    int m_caller = -1;
    Endpoint m_endpoint;
};

} // namespace

TEST_CASE("a connection over the limit is refused and counted")
{
    Server server;
    const Endpoint address = server.http.address();
    HttpClient first;
    HttpClient second;
    CHECK(first.get(address, "/v1/position", Timeout).status == OkStatus);
    const HttpAnswer refused = second.get(address, "/v1/position", Timeout);
    CHECK(refused.status == 503);
    CHECK(jsonOf(refused).at("type") == "too_many_connections");
    CHECK(first.get(address, "/v1/position", Timeout).status == OkStatus);
    const Json counters = jsonOf(second.get(address, "/debug/counters", Timeout));
    CHECK(counters.at("connections") == 1);
    CHECK(counters.at("peak") == 1);
    CHECK(counters.at("refused") == 1);
}

TEST_CASE("a bad request gets a typed refusal")
{
    struct Row
    {
        const char *path;
        long status;
        const char *type;
    };
    const Row rows[] = {
            {"/", 404, "not_found"},
            {"/v1/execute", 404, "not_found"}, // not by GET
            {"/v1/positions", 404, "not_found"},
            {"/v1/position?at_least=1", 400, "bad_request"},
            {"/v1/position?at_least=1.x", 400, "bad_request"},
            {"/v1/position?wait_ms=-1", 400, "bad_request"},
            {"/v1/position?term=99999999999999999999&at_least=1.1", 400, "bad_request"},
            {"/v1/requests/r", 400, "bad_request"},
            {"/v1/log?after=x", 400, "bad_request"},
    };
    Server server;
    HttpClient client;
    for (const Row &row : rows) {
        CAPTURE(row.path);
        const HttpAnswer answer = client.get(server.http.address(), row.path, Timeout);
        CHECK(answer.status == row.status);
        CHECK(jsonOf(answer).at("type") == row.type);
        CHECK(jsonOf(answer).at("term") == 1);
    }
}

TEST_CASE("a long poll answers once the position is past the known one or the term changes")
{
    struct Row
    {
        const char *name;
        const char *query;
        LogPosition durable; // in the answer
    };
    // Each wait is longer than the timeout of the client, so that only a change can answer.
    const Row rows[] = {
            {"already past", "?term=1&at_least=1.0&wait_ms=60000", {1, 1}},
            {"other term", "?term=0&at_least=9.9&wait_ms=60000", {1, 1}},
            {"no wait", "?term=1&at_least=9.9", {1, 1}},
            {"new entry", "?term=1&at_least=1.1&wait_ms=60000", {1, 2}},
    };
    Server server;
    HttpClient client; // one connection, since the server frees another only some time after its end
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::jthread writer;
        if (row.durable.index == 2) {
            writer = std::jthread([&server] {
                const ExecuteRequest put = {1,
                                            RequestId("r"),
                                            CallerId("c"),
                                            Access::Write,
                                            {},
                                            "put",
                                            {{"key", "k"}, {"value", 1}}};
                server.state.execute(put, 1, Clock::now());
            });
        }
        const std::string path = std::string("/v1/position") + row.query;
        const HttpAnswer answer = client.get(server.http.address(), path, Timeout);
        CHECK(parseMessage<PositionReply>(answer.body).durable == row.durable);
    }
}

TEST_CASE("a replica pulls the primary's log over HTTP")
{
    Server server;
    StandinState replica(nullptr, {}, ServerState::Joining);
    const Replicator replicator(replica);
    replica.startAsReplica(server.http.address());
    const PositionReply reply = replica.awaitPosition(1, {0, 0}, Timeout);
    CHECK(reply.durable == LogPosition {1, 1});
    replica.stop();
    server.state.stop();
}

TEST_CASE("a replica of a silent primary pulls from the next one at once")
{
    SilentServer silent;
    Server next;
    StandinState replica(nullptr, {}, ServerState::Joining);
    const Replicator replicator(replica, std::chrono::hours(1));
    replica.startAsReplica(silent.endpoint());
    silent.waitForCaller();
    replica.follow({1, next.http.address(), {}}, Clock::now());
    CHECK(replica.awaitPosition(1, {0, 0}, Timeout).durable == LogPosition {1, 1});
    replica.stop();
    next.state.stop();
}
