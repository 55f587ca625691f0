// Part of SessionProxy that decides how long a statement may wait for a server.
#include "nutmegtide/proxy/sessionproxy.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// An unsent statement waits for this fraction of the latency objective.
constexpr int QueueWaitDivisor = 4;
constexpr int StartQueueWaitDivisor = 2; // the same in the startup phase
constexpr auto UsualChangeTime = 3s; // from the failure of a primary until it is replaced
// A statement waits for a change of primary for this fraction of its timeout.
constexpr int ChangeWaitDivisor = 2;

} // namespace

SessionProxy::Work SessionProxy::newWork(const Route &route, TimePoint now) const
{
    Work work;
    work.route = route;
    work.arrivedAt = now;
    const int parts = now < m_startsUntil ? StartQueueWaitDivisor : QueueWaitDivisor;
    work.sendDeadline = now + work.route.latencyObjective / parts;
    work.replyDeadline = now + work.route.statementTimeout;
    return work;
}

// Extends the wait of a statement while a failed or leaving primary may soon be replaced. Otherwise
// its caller would use up its retries on refusals that come immediately.
void SessionProxy::extendForPrimaryChange(Work &work, TimePoint now) const
{
    const auto primary = m_pool.primary(work.route.service, now);
    const auto failingSince = primary ? m_pool.find(*primary)->failingSince : std::nullopt;
    const bool isChanging = !primary || m_pool.isPastLeaveTime(*primary, now)
            || (failingSince && now - *failingSince < UsualChangeTime);
    if (isChanging)
        work.sendDeadline = std::max(work.sendDeadline,
                                     work.arrivedAt
                                             + work.route.statementTimeout / ChangeWaitDivisor);
}

bool SessionProxy::mayRetryLater(const Work &work, TimePoint now)
{
    return now + RetryPause < work.sendDeadline && work.attempts < MaxAttempts;
}

} // namespace nutmegtide
