// The handlers of HttpServer, one for each path.
#include "httpserver.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

namespace nutmegtide::standin {

namespace {

constexpr int OkStatus = 200;
constexpr int BadRequestStatus = 400;
constexpr int UnprocessableStatus = 422;
constexpr int UnavailableStatus = 503;
constexpr std::chrono::milliseconds LongestWait = 60s;
constexpr std::size_t LongestParameter = 256; // bytes

std::optional<std::string> parameter(const std::string &query, const char *name)
{
    std::array<char, LongestParameter> value = {};
    const int length = mg_get_var(query.data(), query.size(), name, value.data(), value.size());
    if (length == -1)
        return std::nullopt;
    if (length < 0)
        throw RefusalError(BadRequestStatus, "bad_request", std::string(name) + " is too long");
    return std::string(value.data(), static_cast<std::size_t>(length));
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, fault] = std::from_chars(text.data(), end, number);
    if (fault != std::errc() || rest != end)
        throw RefusalError(BadRequestStatus, "bad_request", "not a number: " + text);
    return number;
}

std::chrono::milliseconds parseWait(const std::string &query)
{
    const std::uint64_t wait = parseNumber(parameter(query, "wait_ms").value_or("0"));
    const auto longest = static_cast<std::uint64_t>(LongestWait.count());
    return std::chrono::milliseconds(std::min(wait, longest));
}

// Reads TERM.INDEX.
LogPosition parsePosition(const std::string &text)
{
    const std::size_t point = text.find('.');
    if (point == std::string::npos)
        throw RefusalError(BadRequestStatus, "bad_request", "not a position: " + text);
    return {parseNumber(text.substr(0, point)), parseNumber(text.substr(point + 1))};
}

} // namespace

const HttpServer::Route HttpServer::Routes[] = {
        {"POST", "/v1/execute", &HttpServer::execute},
        {"GET", "/v1/position", &HttpServer::position},
        {"POST", "/v1/fence", &HttpServer::fence},
        {"POST", "/v1/promote", &HttpServer::promote},
        {"POST", "/v1/follow", &HttpServer::follow},
        {"GET", "/v1/requests/", &HttpServer::requestFate},
        {"GET", "/v1/log", &HttpServer::logFeed},
        {"GET", "/debug/log", &HttpServer::debugLog},
        {"GET", "/debug/counters", &HttpServer::debugCounters},
        {"POST", "/debug/lag", &HttpServer::debugLag},
        {"POST", "/debug/state", &HttpServer::debugState},
        {nullptr, nullptr, nullptr},
};

void HttpServer::countConnection(const Request &request)
{
    Connection &connection = *request.connection;
    const std::lock_guard lock(m_mutex);
    if (connection.isCounted)
        return;
    if (m_counters.connections >= m_connectionLimit) {
        ++m_counters.refused;
        throw RefusalError(UnavailableStatus, "too_many_connections", "no connection is left");
    }
    connection.isCounted = true;
    connection.home = request.home;
    m_budget.noteOpened(connection.home);
    ++m_counters.connections;
    m_counters.peak = std::max(m_counters.peak, m_counters.connections);
}

void HttpServer::takeSlot()
{
    const std::lock_guard lock(m_mutex);
    if (m_busySlots >= m_slots) {
        ++m_counters.busy;
        throw RefusalError(UnavailableStatus, "busy", "all slots are taken");
    }
    ++m_busySlots;
}

void HttpServer::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_busySlots;
}

HttpServer::Answer HttpServer::execute(const Request &request)
{
    const auto message = parseMessage<ExecuteRequest>(request.body);
    Answer answer;
    try {
        countConnection(request);
        takeSlot();
        try {
            answer = runStatement(message, request);
        } catch (...) {
            releaseSlot();
            throw;
        }
        releaseSlot();
    } catch (const RefusalError &error) {
        answer = refusalAnswer(error);
        answer.body["request_id"] = message.requestId.text();
    }
    return answer;
}

HttpServer::Answer HttpServer::runStatement(const ExecuteRequest &message, const Request &request)
{
    if (message.statement == "sleep") {
        m_state.checkTerm(message.term);
        const Json &time = message.parameters.value("ms", Json());
        if (!time.is_number_unsigned()) {
            throw RefusalError(UnprocessableStatus, "rejected",
                               "ms is not a whole number of 0 or more");
        }
        const std::chrono::milliseconds wait(
                std::min<std::uint64_t>(time.get<std::uint64_t>(),
                                        static_cast<std::uint64_t>(LongestWait.count())));
        std::this_thread::sleep_for(wait);
    }
    const ExecuteReply reply = m_state.execute(message, request.connection->id, Clock::now());
    const std::lock_guard lock(m_mutex);
    ++(reply.isReplay ? m_counters.replays : m_counters.executed);
    return {OkStatus, reply};
}

HttpServer::Answer HttpServer::position(const Request &request)
{
    countConnection(request);
    const std::optional<std::string> term = parameter(request.query, "term");
    const std::optional<std::string> past = parameter(request.query, "at_least");
    const std::chrono::milliseconds wait = parseWait(request.query);
    if (!past)
        return {OkStatus, m_state.position(Clock::now())};
    const std::optional<Term> known = term ? std::optional(parseNumber(*term)) : std::nullopt;
    return {OkStatus, m_state.awaitPosition(known, parsePosition(*past), wait)};
}

HttpServer::Answer HttpServer::fence(const Request &request)
{
    const auto message = parseMessage<FenceRequest>(request.body);
    return {OkStatus, m_state.fence(message, Clock::now())};
}

HttpServer::Answer HttpServer::promote(const Request &request)
{
    const auto message = parseMessage<PromoteRequest>(request.body);
    return {OkStatus, m_state.promote(message, Clock::now())};
}

HttpServer::Answer HttpServer::follow(const Request &request)
{
    const auto message = parseMessage<FollowRequest>(request.body);
    return {OkStatus, m_state.follow(message, Clock::now())};
}

HttpServer::Answer HttpServer::requestFate(const Request &request)
{
    const std::optional<std::string> caller = parameter(request.query, "caller");
    if (!caller)
        throw RefusalError(BadRequestStatus, "bad_request", "caller is missing");
    const RequestId id(request.path.substr(std::string("/v1/requests/").size()));
    return {OkStatus, m_state.requestFate(CallerId(*caller), id)};
}

HttpServer::Answer HttpServer::logFeed(const Request &request)
{
    const std::uint64_t after = parseNumber(parameter(request.query, "after").value_or("0"));
    return {OkStatus, m_state.feed(after, parseWait(request.query))};
}

HttpServer::Answer HttpServer::debugLog(const Request &)
{
    return {OkStatus, Json {{"entries", m_state.log()}}};
}

HttpServer::Answer HttpServer::debugCounters(const Request &)
{
    const std::lock_guard lock(m_mutex);
    return {OkStatus,
            Json {{"connections", m_counters.connections},
                  {"peak", m_counters.peak},
                  {"refused", m_counters.refused},
                  {"executed", m_counters.executed},
                  {"replays", m_counters.replays},
                  {"busy", m_counters.busy}}};
}

HttpServer::Answer HttpServer::debugLag(const Request &request)
{
    Delays delays = m_state.delays();
    try {
        const Json json = Json::parse(request.body);
        delays.lag = std::chrono::milliseconds(json.value("lag_ms", delays.lag.count()));
        delays.ship = std::chrono::milliseconds(json.value("ship_ms", delays.ship.count()));
        delays.isApplyStalled = json.value("stall_apply", delays.isApplyStalled);
    } catch (const Json::exception &fault) {
        throw MessageError(fault.what());
    }
    m_state.setDelays(delays);
    return {OkStatus, Json::object()};
}

HttpServer::Answer HttpServer::debugState(const Request &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    const bool hasText = json.is_object() && json.contains("state") && json["state"].is_string();
    const auto state = hasText ? serverStateFromString(json["state"].get<std::string>())
                               : std::nullopt;
    if (!state)
        throw MessageError("state is not ready, joining or leaving");
    m_state.setServerState(*state);
    return {OkStatus, Json::object()};
}

} // namespace nutmegtide::standin
