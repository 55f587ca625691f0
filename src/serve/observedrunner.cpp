#include "serve/observedrunner.h"

#include "base/log.h"

namespace nutmegtide {

namespace {

constexpr auto Window = 1s;
constexpr int MostRefusalsPerWindow = 20;

EventKind kindOf(const StatementError &error)
{
    if (error.failure() == StatementFailure::TransactionLost)
        return EventKind::TransactionLost;
    return error.ran() == Ran::Unknown ? EventKind::WriteUnknown : EventKind::StatementRefused;
}

} // namespace

ObservedRunner::ObservedRunner(StatementRunner &inner, MetricRegistry &metrics, Recorder &recorder)
    : m_inner(inner)
    , m_metrics(metrics)
    , m_recorder(recorder)
    , m_windowStart(Clock::now())
{ }

StatementResult ObservedRunner::run(const Statement &statement)
{
    const TimePoint start = Clock::now();
    try {
        StatementResult result = m_inner.run(statement);
        noteResult(statement, result, Clock::now() - start);
        return result;
    } catch (const StatementError &error) {
        noteError(statement, error);
        throw;
    }
}

void ObservedRunner::noteResult(const Statement &statement, const StatementResult &result,
                                Duration time)
{
    const bool isWrite = statement.access == Access::Write;
    MetricLabels labels;
    labels.database = statement.database;
    labels.serverRole = result.role == ServerRole::Primary ? "primary" : "replica";
    labels.type = isWrite ? "write" : "read";
    m_metrics.counter("nutmegtide_statements_total", "Statements answered with a result.", labels)
            .add();
    m_metrics.latency("nutmegtide_statement_seconds", "Time from entry to result.", labels)
            .observe(time);
}

void ObservedRunner::noteError(const Statement &statement, const StatementError &error)
{
    MetricLabels labels;
    labels.database = statement.database;
    labels.type = toString(error.failure());
    m_metrics.counter("nutmegtide_statement_failures_total", "Statements without a result.", labels)
            .add();
    const EventKind kind = kindOf(error);
    if (kind == EventKind::StatementRefused && !isRefusalRecorded(Clock::now()))
        return;
    EventFields fields;
    fields.database = statement.database;
    fields.request = statement.id;
    fields.details = {{"type", std::string(toString(error.failure()))},
                      {"ran", std::string(toString(error.ran()))},
                      {"message", error.what()}};
    const EventId cause = error.cause().empty() ? m_recorder.latestChange(statement.database)
                                                : EventId(error.cause());
    m_recorder.record(kind, fields, cause);
    LogContext context;
    context.vm = m_recorder.identity().vm;
    context.failureDomain = m_recorder.identity().failureDomain;
    context.role = "entry";
    context.database = statement.database;
    context.request = statement.id;
    logEvent(LogLevel::Warning, toString(kind), context,
             {{"type", std::string(toString(error.failure()))}, {"message", error.what()}});
}

bool ObservedRunner::isRefusalRecorded(TimePoint now)
{
    if (now - m_windowStart.load() > Window) {
        m_windowStart = now;
        m_recordedInWindow = 0;
    }
    return m_recordedInWindow++ < MostRefusalsPerWindow;
}

} // namespace nutmegtide
