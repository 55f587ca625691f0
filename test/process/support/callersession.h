#pragma once

#include "process/support/httpclient.h"

#include <optional>

namespace nutmegtide::test {

// The answer to one statement of a caller.
struct CallerAnswer
{
    int status = 0;
    Json body;
    std::optional<StatementFailure> failure; // nothing for a result
    Ran ran = Ran::Yes;
    std::chrono::milliseconds retryAfter {0};

    Json result() const { return body.value("result", Json()); }
    Json servedBy() const { return body.value("served_by", Json()); }
};

// A caller that carries its session token from answer to request. moveTo()
// keeps the token, as a caller does that roams to another proxy.
//
//   CallerSession caller(proxyA, "casks");
//   caller.write("put", {{"key", "k"}, {"value", "v"}});
//   caller.moveTo(proxyB);
//   CHECK(caller.read("get", {{"key", "k"}}).result()["value"] == "v");
class CallerSession
{
public:
    CallerSession(const Endpoint &proxy, std::string database);

    void moveTo(const Endpoint &proxy);
    const std::string &token() const { return m_token; }
    void setToken(std::string token) { m_token = std::move(token); }

    // All of these throw HttpError if no answer comes.
    CallerAnswer write(const std::string &statement, const Json &parameters,
                       const std::string &key = {});
    CallerAnswer read(const std::string &statement, const Json &parameters,
                      std::optional<std::chrono::milliseconds> maxAge = {});
    CallerAnswer begin();
    // The word is "statements", "commit" or "rollback".
    CallerAnswer inTransaction(const std::string &id, const std::string &word,
                               const Json &body = Json::object());

private:
    CallerAnswer send(const std::string &path, const Json &body, const std::string &key = {});

    HttpClient m_client;
    std::string m_database;
    std::string m_token;
};

} // namespace nutmegtide::test
