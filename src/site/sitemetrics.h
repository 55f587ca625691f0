#pragma once

#include "nutmegtide/base/metrics.h"
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

// Counts the outcomes of an entry VM's statements. The share of reads served by replicas is the
// quotient of two of its counters.
class SiteMetrics
{
public:
    explicit SiteMetrics(MetricRegistry &registry);

    // Counts one decision: an answer, a retry on another server, or an error.
    void take(const RequestDecision &decision);
    void countLimitedCaller() { m_limitedCallers.add(); }
    // Sets how often this VM, as a home, has sent statements again after busy refusals.
    void setResent(std::uint64_t count);
    // Sets how many queued statements this VM, as a home, has refused in favour of others.
    void setShed(std::uint64_t count);
    // Sets how many idle connections it has closed for those of other workspaces.
    void setEvicted(std::uint64_t count);
    void setSessions(std::size_t count) { m_sessions.set(static_cast<double>(count)); }
    void setRevision(Revision revision) { m_revision.set(static_cast<double>(revision)); }

private:
    void recordAnswer(const RequestDecision &decision);

    MetricRegistry &m_registry;
    Counter &m_byPrimary;
    Counter &m_byReplica;
    Counter &m_sentElsewhere;
    LatencyHistogram &m_primaryTime;
    LatencyHistogram &m_replicaTime;
    Counter &m_unconfirmed;
    LatencyHistogram &m_withheldTime;
    Counter &m_limitedCallers;
    Counter &m_resent;
    std::uint64_t m_resentCount = 0;
    Counter &m_shed;
    std::uint64_t m_shedCount = 0;
    Counter &m_evicted;
    std::uint64_t m_evictedCount = 0;
    Gauge &m_sessions;
    Gauge &m_revision;
};

} // namespace nutmegtide
