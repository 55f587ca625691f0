#include "serve/callerapi.h"

#include "nutmegtide/base/jsondepth.h"
#include "nutmegtide/base/text.h"
#include "serve/exchange.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr std::string_view PathPrefix = "/v1/databases/";
constexpr const char *SessionHeader = "Nutmegtide-Session";
constexpr const char *CallerHeader = "Nutmegtide-Caller";
constexpr const char *KeyHeader = "Idempotency-Key";
constexpr std::string_view SessionCookie = "nutmegtide_session=";
constexpr std::size_t LongestName = MaxTokenDatabaseNameBytes;
constexpr std::size_t LongestKey = MaxTokenRequestIdBytes;

StatementError badRequest(const std::string &message)
{
    return {StatementFailure::BadRequest, Ran::No, message};
}

std::vector<std::string> split(const std::string &path)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        parts.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

std::string sessionText(const HttpRequest &request)
{
    if (const auto header = request.header(SessionHeader))
        return *header;
    const std::string cookies = request.header("Cookie").value_or("");
    const std::size_t start = cookies.find(SessionCookie);
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + SessionCookie.size();
    return cookies.substr(value, cookies.find(';', value) - value);
}

SessionToken readToken(const HttpRequest &request)
{
    try {
        return SessionToken::decode(sessionText(request));
    } catch (const TokenError &fault) {
        throw StatementError(StatementFailure::BadToken, Ran::No, fault.what());
    }
}

// A printable identifier that fits into a token.
void checkName(const std::string &text, std::size_t longest, const char *what)
{
    const bool isPrintable = std::all_of(text.begin(), text.end(),
                                         [](unsigned char c) { return c > ' ' && c < 127; });
    if (text.empty() || text.size() > longest || !isPrintable) {
        throw badRequest(std::string(what) + " is not of 1 to " + std::to_string(longest)
                         + " printable characters");
    }
}

CallerId callerOf(const HttpRequest &request)
{
    const std::string name = request.header(CallerHeader).value_or("anonymous");
    checkName(name, LongestName, CallerHeader);
    return CallerId(name);
}

// Shares of a busy server go by the caller's name and its address. Neither a new
// connection nor a dropped token makes another session of the same caller.
SessionId sessionOf(const CallerId &caller, const HttpRequest &request)
{
    return SessionId(caller.text() + '@' + request.remoteAddress);
}

std::chrono::milliseconds readMilliseconds(const Json &body, const char *key,
                                           std::chrono::milliseconds longest)
{
    const Json &member = body.at(key);
    if (!member.is_number_unsigned())
        throw badRequest(std::string(key) + " is not a whole number of 0 or more");
    const auto number = member.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(longest.count())) {
        throw badRequest(std::string(key) + " is " + std::to_string(number) + ", over "
                         + std::to_string(longest.count()));
    }
    return std::chrono::milliseconds(number);
}

bool readFlag(const Json &body, const char *key, bool byDefault)
{
    if (!body.contains(key))
        return byDefault;
    if (!body.at(key).is_boolean())
        throw badRequest(std::string(key) + " is neither true nor false");
    return body.at(key).get<bool>();
}

void checkMembers(const Json &body)
{
    constexpr std::array<std::string_view, 6> Known = {"statement",  "parameters", "access",
                                                       "max_age_ms", "repeatable", "timeout_ms"};
    for (const auto &[key, value] : body.items()) {
        if (std::find(Known.begin(), Known.end(), key) == Known.end())
            throw badRequest("unknown member " + key);
    }
}

Access readAccess(const Json &body)
{
    const Json access = body.value("access", Json("write"));
    if (access == "read")
        return Access::Read;
    if (access == "write")
        return Access::Write;
    throw badRequest("access is neither \"read\" nor \"write\"");
}

const char *roleName(ServerRole role)
{
    return role == ServerRole::Primary ? "primary" : "replica";
}

void addToken(HttpResponse &response, const SessionToken &token)
{
    const std::string text = token.encode();
    if (text.empty())
        return;
    response.headers.push_back({SessionHeader, text});
    response.headers.push_back(
            {"Set-Cookie", std::string(SessionCookie) + text + "; Path=/; HttpOnly"});
}

HttpResponse resultResponse(const StatementResult &result)
{
    Json body {{"result", result.result},
               {"request_id", result.id.text()},
               {"replay", result.isReplay},
               {"served_by",
                {{"role", roleName(result.role)},
                 {"backend_server", result.server.text()},
                 {"age_ms", result.age.count()}}}};
    if (!result.transaction.isEmpty())
        body["transaction"] = result.transaction.text();
    HttpResponse response;
    response.body = body.dump();
    return response;
}

// Where the session doesn't know whether the same request ran before, a refusal
// of this sending doesn't prove that it has not run.
StatementError asSeenBySession(const StatementError &error, const Statement &statement)
{
    if (error.ran() != Ran::No || statement.unknownWrite != statement.id)
        return error;
    return {StatementFailure::OutcomeUnknown, Ran::Unknown,
            std::string("an earlier sending may have run; this one: ") + error.what(),
            error.retryAfter()};
}

} // namespace

HttpResponse errorResponse(const StatementError &error, const RequestId &id)
{
    Json body {{"error",
                {{"type", toString(error.failure())},
                 {"message", error.what()},
                 {"ran", toString(error.ran())},
                 {"retry_after_ms", error.retryAfter().count()}}}};
    if (!id.isEmpty())
        body["error"]["request_id"] = id.text();
    HttpResponse response;
    response.status = httpStatus(error.failure());
    response.body = encodeJsonLossy(body);
    if (error.retryAfter() > 0ms) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter());
        response.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    return response;
}

CallerApi::CallerApi(const Identity &identity, const SettingsSource &settings,
                     StatementRunner &runner, RequestFates &fates)
    : m_identity(identity)
    , m_settings(settings)
    , m_runner(runner)
    , m_fates(fates)
{ }

std::optional<CallerApi::Route> CallerApi::parsePath(const std::string &path)
{
    if (path.rfind(PathPrefix, 0) != 0)
        return std::nullopt;
    const std::vector<std::string> parts = split(path.substr(PathPrefix.size()));
    Route route;
    route.database = DatabaseName(parts[0]);
    if (parts.size() == 2 && parts[1] == "statements")
        return route;
    if (parts.size() == 3 && parts[1] == "requests") {
        route.request = RequestId(parts[2]);
        return route;
    }
    if (parts.size() < 2 || parts[1] != "transactions")
        return std::nullopt;
    if (parts.size() == 2) {
        route.step = TransactionStep::Begin;
        return route;
    }
    if (parts.size() != 4)
        return std::nullopt;
    route.transaction = TransactionId(parts[2]);
    const std::map<std::string, TransactionStep> steps = {{"statements", TransactionStep::Statement},
                                                          {"commit", TransactionStep::Commit},
                                                          {"rollback", TransactionStep::Rollback}};
    const auto found = steps.find(parts[3]);
    if (found == steps.end())
        return std::nullopt;
    route.step = found->second;
    return route;
}

std::optional<HttpResponse> CallerApi::handle(const HttpRequest &request)
{
    const auto route = parsePath(request.path);
    if (!route)
        return std::nullopt;
    if (route->request && request.method == "GET")
        return findRequest(request, *route);
    if (route->request)
        return errorResponse(badRequest("the method is not GET"), {});
    if (request.method != "POST")
        return errorResponse(badRequest("the method is not POST"), {});
    return run(request, *route);
}

HttpResponse CallerApi::findRequest(const HttpRequest &request, const Route &route)
{
    try {
        checkName(route.database.text(), LongestName, "the database's name");
        checkName(route.request->text(), LongestKey, "the request's key");
        const RequestRecord record = m_fates.find(route.database, callerOf(request), *route.request);
        Json body {{"request_id", route.request->text()},
                   {"ran", toString(record.ran)},
                   {"known", record.ran != Ran::Unknown}};
        if (record.ran == Ran::Yes)
            body["result"] = record.result;
        HttpResponse response;
        response.body = body.dump();
        return response;
    } catch (const StatementError &error) {
        return errorResponse(error, *route.request);
    }
}

HttpResponse CallerApi::run(const HttpRequest &request, const Route &route)
{
    Statement statement;
    SessionToken token;
    try {
        token = readToken(request);
        statement = parseStatement(request, route, token);
    } catch (const StatementError &error) {
        return errorResponse(error, {});
    }
    HttpResponse response;
    try {
        const StatementResult result = m_runner.run(statement);
        token.advance(statement.database, result.position);
        if (result.settledUnknownWrite && statement.unknownWrite)
            token.settle(statement.database, *statement.unknownWrite);
        token.settle(statement.database, statement.id);
        response = resultResponse(result);
    } catch (const StatementError &error) {
        const StatementError seen = asSeenBySession(error, statement);
        if (seen.ran() == Ran::Unknown)
            token.markUnknown(statement.database, statement.id);
        response = errorResponse(seen, statement.id);
    }
    addToken(response, token);
    return response;
}

Statement CallerApi::parseStatement(const HttpRequest &request, const Route &route,
                                    const SessionToken &token)
{
    checkName(route.database.text(), LongestName, "the database's name");
    Statement statement;
    statement.database = route.database;
    statement.step = route.step;
    statement.transaction = route.transaction;
    statement.id = requestIdOf(request);
    statement.caller = callerOf(request);
    statement.session = sessionOf(statement.caller, request);
    if (const auto seen = token.find(route.database)) {
        statement.seen = seen->seen;
        statement.unknownWrite = seen->unknownWrite;
    }
    readBody(request, route, statement);
    return statement;
}

void CallerApi::readBody(const HttpRequest &request, const Route &route, Statement &statement) const
{
    const auto settings = m_settings.current();
    const bool isBodyOptional = route.step != TransactionStep::None
            && route.step != TransactionStep::Statement;
    if (isTooDeepJson(request.body))
        throw badRequest("the body nests over " + std::to_string(DeepestJson) + " levels");
    Json body = Json::parse(request.body, nullptr, false);
    if (request.body.empty() && isBodyOptional)
        body = Json::object();
    if (!body.is_object())
        throw badRequest("the body is not a JSON object");
    checkMembers(body);
    const auto longest = settings->limits.longestTimeout;
    const auto timeout = body.contains("timeout_ms") ? readMilliseconds(body, "timeout_ms", longest)
                                                     : settings->limits.defaultTimeout;
    statement.deadline = Clock::now() + timeout;
    statement.access = isBodyOptional ? Access::Write : readAccess(body);
    statement.isRepeatable = readFlag(body, "repeatable", statement.access == Access::Read);
    if (body.contains("max_age_ms"))
        statement.maxAge = readMilliseconds(body, "max_age_ms", std::chrono::hours(24));
    statement.parameters = body.value("parameters", Json::object());
    if (isBodyOptional)
        return;
    if (!body.contains("statement") || !body.at("statement").is_string())
        throw badRequest("statement is not a text");
    statement.text = body.at("statement").get<std::string>();
    const bool isReserved = statement.text == "begin" || statement.text == "commit"
            || statement.text == "rollback";
    if (isReserved)
        throw badRequest("transactions have paths of their own");
}

RequestId CallerApi::requestIdOf(const HttpRequest &request)
{
    if (const auto key = request.header(KeyHeader)) {
        checkName(*key, LongestKey, KeyHeader);
        return RequestId(*key);
    }
    return RequestId(m_identity.vm.text() + '-' + std::to_string(m_identity.incarnation) + '-'
                     + std::to_string(m_nextRequest++));
}

} // namespace nutmegtide
