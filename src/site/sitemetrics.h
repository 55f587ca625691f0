#pragma once

#include "nutmegtide/base/metrics.h"
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

// Counts what an entry VM decides. The share of reads that replicas serve is the quotient of two
// of its counters.
class SiteMetrics
{
public:
    explicit SiteMetrics(MetricRegistry &registry);

    void take(const RequestDecision &decision);
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
    Gauge &m_sessions;
    Gauge &m_revision;
};

} // namespace nutmegtide
