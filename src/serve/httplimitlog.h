#pragma once

#include "base/log.h"
#include "nutmegtide/base/metrics.h"
#include "serve/httpconnections.h"
#include "site/sitelog.h"

namespace nutmegtide {

// Returns the limits of a process's HTTP listeners.
HttpLimitSettings httpLimits(const ConnectionSettings &settings);

// Logs and counts the connections that HttpLimits ends. Thread-safe.
class HttpLimitLog
{
public:
    // Without a registry nothing is counted.
    HttpLimitLog(LogContext context, MetricRegistry *registry);

    void take(HttpLimitReason reason, const std::string &address);

private:
    const LogContext m_context;
    MetricRegistry *const m_registry;
    std::mutex m_mutex;
    LogRateLimiter m_limiter;
};

// Returns connections whose limits are those of the settings, and which are logged and counted.
std::shared_ptr<HttpConnections> makeHttpConnections(const ConnectionSettings &settings,
                                                     const LogContext &context,
                                                     MetricRegistry *registry);

} // namespace nutmegtide
