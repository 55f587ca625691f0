#include "process/support/caskfleet.h"
#include "process/support/sockets.h"
#include "serve/peerclient.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr const char *Statements = "/v1/databases/casks/statements";
const std::string Put = R"({"statement":"put","parameters":{"key":"k","value":"v"}})";

// Sends bytes, ends the sending side and returns what comes back.
std::string sendRaw(const Endpoint &endpoint, const std::string &bytes)
{
    const int socket = connectTo(endpoint);
    REQUIRE(socket >= 0);
    const timeval limit {5, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(socket, SHUT_WR);
    std::string answer;
    char chunk[4096];
    for (ssize_t count = 1; count > 0;) {
        count = recv(socket, chunk, sizeof(chunk), 0);
        answer.append(chunk, std::size_t(std::max<ssize_t>(0, count)));
    }
    close(socket);
    return answer;
}

std::string logOf(CaskFleet &casks)
{
    return HttpClient(casks.fleet().server("s1")).get("/debug/log").body;
}

void checkServing(CaskFleet &casks)
{
    const CallerAnswer answer = casks.session("a1").read("get", {{"key", "start-a1"}});
    CHECK_MESSAGE(answer.status == 200, answer.body.dump());
}

wire::Header header(const std::string &fleet, std::int64_t incarnation)
{
    wire::Header header;
    header.fleet = fleet;
    header.vm = "stranger";
    header.incarnation = incarnation;
    return header;
}

} // namespace

TEST_CASE("bad requests of callers get a typed error and change nothing")
{
    struct Row
    {
        const char *what;
        std::string path;
        std::string body;
        HttpHeaders headers;
        int status;
        const char *type;
    };
    const std::string deep = R"({"statement":"put","parameters":{"key":"k","value":)"
            + std::string(400'000, '[') + std::string(400'000, ']') + "}}";
    const Row rows[] = {
            {"no JSON", Statements, "{", {}, 400, "bad_request"},
            {"empty", Statements, "", {}, 400, "bad_request"},
            {"a list", Statements, "[]", {}, 400, "bad_request"},
            {"nested too deep", Statements, deep, {}, 400, "bad_request"},
            {"too large", Statements, std::string(2'000'000, ' '), {}, 413, "too_large"},
            {"no UTF-8", Statements, "{\"statement\":\"\xff\"}", {}, 400, "bad_request"},
            {"no statement", Statements, "{}", {}, 400, "bad_request"},
            {"a number as statement", Statements, R"({"statement":1})", {}, 400, "bad_request"},
            {"unknown member", Statements, R"({"statement":"put","x":1})", {}, 400, "bad_request"},
            {"access of another kind",
             Statements,
             R"({"statement":"put","access":"both"})",
             {},
             400,
             "bad_request"},
            {"negative timeout",
             Statements,
             R"({"statement":"put","timeout_ms":-1})",
             {},
             400,
             "bad_request"},
            {"absurd timeout",
             Statements,
             R"({"statement":"put","timeout_ms":99999999999999})",
             {},
             400,
             "bad_request"},
            {"fraction as timeout",
             Statements,
             R"({"statement":"put","timeout_ms":1.5})",
             {},
             400,
             "bad_request"},
            {"no time",
             Statements,
             R"({"statement":"put","timeout_ms":0})",
             {},
             503,
             "deadline_passed"},
            {"age as text",
             Statements,
             R"({"statement":"get","access":"read","max_age_ms":"1"})",
             {},
             400,
             "bad_request"},
            {"transaction by statement",
             Statements,
             R"({"statement":"commit"})",
             {},
             400,
             "bad_request"},
            {"unknown database", "/v1/databases/nowhere/statements", Put, {}, 404, "unknown_database"},
            {"name too long",
             "/v1/databases/" + std::string(500, 'n') + "/statements",
             Put,
             {},
             400,
             "bad_request"},
            {"unknown path", "/v1/databases/casks/nothing", Put, {}, 404, "bad_request"},
            {"garbage as token",
             Statements,
             Put,
             {{"Nutmegtide-Session", "garbage"}},
             400,
             "bad_token"},
            {"key too long",
             Statements,
             Put,
             {{"Idempotency-Key", std::string(500, 'k')}},
             400,
             "bad_request"},
            {"transaction id of nobody",
             "/v1/databases/casks/transactions/zz.1.1/commit",
             "{}",
             {},
             503,
             "transaction_lost"},
            {"no transaction id",
             "/v1/databases/casks/transactions/zz/commit",
             "{}",
             {},
             404,
             "unknown_transaction"},
    };
    CaskFleet casks;
    const std::string before = logOf(casks);
    HttpClient client(casks.fleet().callers("a1"));
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const HttpAnswer answer = client.post(row.path, row.body, row.headers);
        CHECK(answer.status == row.status);
        const Json body = answer.json();
        REQUIRE_MESSAGE(body.is_object(), answer.body);
        CHECK(body.value("error", Json::object()).value("type", "") == row.type);
        CHECK(body.value("error", Json::object()).value("ran", "") != "yes");
    }
    CHECK(logOf(casks) == before);
    checkServing(casks);
}

TEST_CASE("a damaged token is refused")
{
    CaskFleet casks;
    CallerSession caller = casks.session("a1");
    REQUIRE(caller.write("put", {{"key", "k"}, {"value", 1}}).status == 200);
    const std::string token = caller.token();
    for (std::size_t i = 0; i < token.size(); ++i) {
        CAPTURE(i);
        std::string damaged = token;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        caller.setToken(damaged);
        CHECK((caller.read("get", {{"key", "k"}}).failure == StatementFailure::BadToken));
    }
}

TEST_CASE("truncated requests and garbage leave a process serving")
{
    CaskFleet casks;
    const std::string before = logOf(casks);
    const std::string truncated = std::string("POST ") + Statements
            + " HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n" + Put;
    const std::string noise(5'000, '\xf3');
    const Endpoint callers = casks.fleet().callers("a1");
    CHECK(sendRaw(callers, truncated).find("bad_request") != std::string::npos);
    for (const Endpoint &endpoint :
         {callers, casks.fleet().operators("a1"), casks.fleet().peers("a1")}) {
        CAPTURE(toString(endpoint));
        sendRaw(endpoint, noise);
        sendRaw(endpoint, std::string("\x00\x00\x00\x10", 4) + noise.substr(0, 16));
        sendRaw(endpoint, std::string("\x7f\xff\xff\xff", 4));
        sendRaw(endpoint, "");
    }
    CHECK(logOf(casks) == before);
    checkServing(casks);
}

TEST_CASE("the operators' listener refuses what it doesn't know")
{
    CaskFleet casks;
    HttpClient client(casks.fleet().operators("a1"));
    CHECK(client.post("/healthz", std::string("{")).status == 405);
    CHECK(client.get("/nothing").status == 404);
    CHECK(client.post("/nothing", std::string(2'000'000, 'x')).status == 413);
    CHECK(client.get("/healthz").status == 200);
}

TEST_CASE("peers of another fleet, of an older incarnation or with bad messages are refused")
{
    CaskFleet casks;
    PeerConnection connection(casks.fleet().peers("a1"), std::chrono::seconds(5));
    connection.setTimeout(std::chrono::seconds(5));
    wire::Header reply;
    const auto refusalOf = [&](const wire::Header &sent) {
        try {
            connection.client().handshake(reply, sent);
        } catch (const wire::PeerRefusal &refusal) {
            return int(refusal.kind);
        }
        return 0;
    };
    CHECK((refusalOf(header("other", 7)) == wire::RefusalKind::OTHER_FLEET));
    CHECK(refusalOf(header("test", 7)) == 0);
    CHECK((refusalOf(header("test", 6)) == wire::RefusalKind::OLDER_INCARNATION));

    const std::string before = logOf(casks);
    wire::StatementCall good;
    good.database = "casks";
    good.requestId = "from-a-peer";
    good.isWrite = true;
    good.timeoutMilliseconds = 1'000;
    good.statement = "put";
    good.parameters = R"({"key":"k","value":"v"})";
    struct Row
    {
        const char *what;
        std::function<void(wire::StatementCall &)> damage;
    };
    const Row rows[] = {
            {"negative timeout", [](auto &call) { call.timeoutMilliseconds = -1; }},
            {"absurd timeout", [](auto &call) { call.timeoutMilliseconds = INT64_MAX; }},
            {"no JSON", [](auto &call) { call.parameters = "{"; }},
            {"nested too deep", [](auto &call) { call.parameters = std::string(400'000, '['); }},
            {"no such step", [](auto &call) { call.step = wire::TransactionStep::type(9); }},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        wire::StatementCall call = good;
        row.damage(call);
        wire::StatementReply answer;
        CHECK_THROWS_AS(connection.client().execute(answer, header("test", 7), call),
                        wire::PeerRefusal);
    }
    CHECK(logOf(casks) == before);
    checkServing(casks);
}
