#pragma once

#include "nutmegtide/statement/sessiontoken.h"
#include "nutmegtide/statement/statement.h"
#include "serve/httpserver.h"
#include "serve/identity.h"
#include "serve/requestfates.h"
#include "serve/settingssource.h"

#include <atomic>

namespace nutmegtide {

// The callers' HTTP API: reads a request, runs its statement and writes the
// answer with the session's new token. The paths are listed in docs/CALLERS.md.
class CallerApi
{
public:
    CallerApi(const Identity &identity, const SettingsSource &settings, StatementRunner &runner,
              RequestFates &fates);

    // Returns nothing where the path isn't one of the callers' API.
    std::optional<HttpResponse> handle(const HttpRequest &request);

private:
    struct Route
    {
        DatabaseName database;
        TransactionStep step = TransactionStep::None;
        std::optional<RequestId> request; // whose fate is asked for
        TransactionId transaction;
    };

    static std::optional<Route> parsePath(const std::string &path);
    HttpResponse findRequest(const HttpRequest &request, const Route &route);
    HttpResponse run(const HttpRequest &request, const Route &route);
    Statement parseStatement(const HttpRequest &request, const Route &route,
                             const SessionToken &token);
    void readBody(const HttpRequest &request, const Route &route, Statement &statement) const;
    RequestId requestIdOf(const HttpRequest &request);

    const Identity &m_identity;
    const SettingsSource &m_settings;
    StatementRunner &m_runner;
    RequestFates &m_fates;
    std::atomic<std::uint64_t> m_nextRequest = 1;
};

// The body of an error answer; also used where no statement could be read.
HttpResponse errorResponse(const StatementError &error, const RequestId &id);

} // namespace nutmegtide
