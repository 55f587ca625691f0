#include "serve/httplimitlog.h"

namespace nutmegtide {

namespace {

constexpr int LinesPerSecond = 5;
constexpr const char *CounterName = "nutmegtide_http_limited_total";
constexpr const char *CounterHelp = "HTTP connections that a limit ended.";

} // namespace

HttpLimitSettings httpLimits(const ConnectionSettings &settings)
{
    return {settings.httpBodies, settings.messageTime};
}

HttpLimitLog::HttpLimitLog(LogContext context, MetricRegistry *registry)
    : m_context(std::move(context))
    , m_registry(registry)
    , m_limiter(LinesPerSecond)
{
    if (m_registry == nullptr)
        return;
    for (const HttpLimitReason reason :
         {HttpLimitReason::ThreadNeeded, HttpLimitReason::BodyMemory, HttpLimitReason::BodyOverdue})
        m_registry->counter(CounterName, CounterHelp, {{}, {}, std::string(nameOf(reason))});
}

void HttpLimitLog::take(HttpLimitReason reason, const std::string &address)
{
    const std::string type(nameOf(reason));
    if (m_registry != nullptr)
        m_registry->counter(CounterName, CounterHelp, {{}, {}, type}).add();
    std::uint64_t suppressed = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_limiter.take(type, Clock::now(), suppressed))
            return;
    }
    std::vector<LogField> fields {{"reason", type}, {"address", address}};
    if (suppressed > 0)
        fields.push_back({"suppressed", std::to_string(suppressed)});
    logEvent(LogLevel::Warning, "http_client_limited", m_context, fields);
}

std::shared_ptr<HttpConnections> makeHttpConnections(const ConnectionSettings &settings,
                                                     const LogContext &context,
                                                     MetricRegistry *registry)
{
    const auto log = std::make_shared<HttpLimitLog>(context, registry);
    return std::make_shared<HttpConnections>(httpLimits(settings),
                                             [log](HttpLimitReason reason,
                                                   const std::string &address) {
                                                 log->take(reason, address);
                                             });
}

} // namespace nutmegtide
