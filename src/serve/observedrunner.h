#pragma once

#include "nutmegtide/base/metrics.h"
#include "nutmegtide/events/recorder.h"
#include "nutmegtide/statement/statement.h"

#include <atomic>

namespace nutmegtide {

// Passes callers' statements on and makes what became of them visible: counts and
// latencies as metrics, failures as events that name the change of primary behind
// them, and one log line for each recorded failure.
class ObservedRunner : public StatementRunner
{
public:
    ObservedRunner(StatementRunner &inner, MetricRegistry &metrics, Recorder &recorder);

    StatementResult run(const Statement &statement) override;

private:
    void noteResult(const Statement &statement, const StatementResult &result, Duration time);
    void noteError(const Statement &statement, const StatementError &error);
    // Limits the events of refusals, so that an overload can't push all others
    // out of the ring.
    bool isRefusalRecorded(TimePoint now);

    StatementRunner &m_inner;
    MetricRegistry &m_metrics;
    Recorder &m_recorder;
    std::atomic<TimePoint> m_windowStart;
    std::atomic<int> m_recordedInWindow = 0;
};

} // namespace nutmegtide
