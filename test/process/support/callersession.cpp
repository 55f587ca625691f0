#include "process/support/callersession.h"

namespace nutmegtide::test {

namespace {

Ran ranFromString(const std::string &text)
{
    for (const Ran ran : {Ran::No, Ran::Yes}) {
        if (toString(ran) == text)
            return ran;
    }
    return Ran::Unknown;
}

CallerAnswer toCallerAnswer(const HttpAnswer &http)
{
    CallerAnswer answer;
    answer.status = http.status;
    answer.body = http.json();
    if (!answer.body.is_object())
        throw HttpError("no JSON object in the answer: " + http.body);
    if (!answer.body.contains("error"))
        return answer;
    const Json &error = answer.body["error"];
    answer.failure = statementFailureFromString(error.value("type", ""));
    if (!answer.failure)
        throw HttpError("no known failure type in the answer: " + http.body);
    answer.ran = ranFromString(error.value("ran", ""));
    answer.retryAfter = std::chrono::milliseconds(error.value("retry_after_ms", 0));
    return answer;
}

} // namespace

CallerSession::CallerSession(const Endpoint &proxy, std::string database)
    : m_client(proxy)
    , m_database(std::move(database))
{ }

void CallerSession::moveTo(const Endpoint &proxy)
{
    m_client = HttpClient(proxy);
}

CallerAnswer CallerSession::write(const std::string &statement, const Json &parameters,
                                  const std::string &key)
{
    const Json body {{"statement", statement}, {"parameters", parameters}, {"access", "write"}};
    return send("statements", body, key);
}

CallerAnswer CallerSession::read(const std::string &statement, const Json &parameters,
                                 std::optional<std::chrono::milliseconds> maxAge)
{
    Json body {{"statement", statement}, {"parameters", parameters}, {"access", "read"}};
    if (maxAge)
        body["max_age_ms"] = maxAge->count();
    return send("statements", body);
}

CallerAnswer CallerSession::begin()
{
    return send("transactions", Json::object());
}

CallerAnswer CallerSession::inTransaction(const std::string &id, const std::string &word,
                                          const Json &body)
{
    return send("transactions/" + id + "/" + word, body);
}

CallerAnswer CallerSession::send(const std::string &path, const Json &body, const std::string &key)
{
    HttpHeaders headers;
    if (!m_token.empty())
        headers["Nutmegtide-Session"] = m_token;
    if (!key.empty())
        headers["Idempotency-Key"] = key;
    const HttpAnswer http = m_client.post("/v1/databases/" + m_database + "/" + path, body, headers);
    const std::string token = http.header("nutmegtide-session");
    if (!token.empty())
        m_token = token;
    return toCallerAnswer(http);
}

} // namespace nutmegtide::test
