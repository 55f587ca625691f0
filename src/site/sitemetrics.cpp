#include "site/sitemetrics.h"

namespace nutmegtide {

namespace {

constexpr const char *Answered = "nutmegtide_site_statements_total";
constexpr const char *AnsweredHelp = "Statements that a backend server answered with success.";
constexpr const char *Latency = "nutmegtide_site_statement_seconds";
constexpr const char *LatencyHelp = "Time from a statement's arrival to its success.";
constexpr const char *Refused = "nutmegtide_site_refused_total";
constexpr const char *RefusedHelp = "Statements that were answered with an error, by its type.";

MetricLabels roleLabel(const char *role)
{
    MetricLabels labels;
    labels.serverRole = role;
    return labels;
}

} // namespace

SiteMetrics::SiteMetrics(MetricRegistry &registry)
    : m_registry(registry)
    , m_byPrimary(registry.counter(Answered, AnsweredHelp, roleLabel("primary")))
    , m_byReplica(registry.counter(Answered, AnsweredHelp, roleLabel("replica")))
    , m_sentElsewhere(registry.counter("nutmegtide_site_sent_elsewhere_total",
                                       "Tries of statements that were moved to another server."))
    , m_primaryTime(registry.latency(Latency, LatencyHelp, roleLabel("primary")))
    , m_replicaTime(registry.latency(Latency, LatencyHelp, roleLabel("replica")))
    , m_unconfirmed(registry.counter("nutmegtide_site_unconfirmed_total",
                                     "Commits that weren't confirmed in time."))
    , m_withheldTime(registry.latency("nutmegtide_site_withheld_seconds",
                                      "Time for which the answers to confirmed commits were "
                                      "withheld."))
    , m_limitedCallers(registry.counter("nutmegtide_site_callers_limited_total",
                                        "Connections of callers that a limit refused or ended."))
    , m_resent(registry.counter("nutmegtide_home_resent_total",
                                "Statements that a home sent again, since their server refused "
                                "them as busy."))
    , m_shed(registry.counter("nutmegtide_home_shed_total",
                              "Statements that a home had queued and refused in favour of "
                              "others."))
    , m_evicted(registry.counter("nutmegtide_home_evicted_total",
                                 "Idle connections to servers that a home closed to open "
                                 "others."))
    , m_sessions(registry.gauge("nutmegtide_site_sessions", "Sessions of callers that are open."))
    , m_revision(registry.gauge("nutmegtide_site_revision", "Revision of the routes in force."))
{ }

void SiteMetrics::take(const RequestDecision &decision)
{
    if (decision.step == "answered")
        return recordAnswer(decision);
    if (decision.step == "sent_elsewhere")
        return m_sentElsewhere.add();
    if (decision.step == "unconfirmed")
        return m_unconfirmed.add();
    MetricLabels labels;
    labels.type = decision.fault ? std::string(toString(*decision.fault)) : "none";
    m_registry.counter(Refused, RefusedHelp, labels).add();
}

void SiteMetrics::setResent(std::uint64_t count)
{
    m_resent.add(count - std::exchange(m_resentCount, count));
}

void SiteMetrics::setShed(std::uint64_t count)
{
    m_shed.add(count - std::exchange(m_shedCount, count));
}

void SiteMetrics::setEvicted(std::uint64_t count)
{
    m_evicted.add(count - std::exchange(m_evictedCount, count));
}

void SiteMetrics::recordAnswer(const RequestDecision &decision)
{
    if (decision.withheld)
        m_withheldTime.observe(*decision.withheld);
    if (decision.isPrimary) {
        m_byPrimary.add();
        m_primaryTime.observe(decision.waited);
    } else {
        m_byReplica.add();
        m_replicaTime.observe(decision.waited);
    }
}

} // namespace nutmegtide
