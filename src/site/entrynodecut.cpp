// How an entry VM acts while its failure domain is cut off.
#include "site/entrynode.h"

namespace nutmegtide {

namespace {

constexpr auto IsolationTime = 400ms; // without control VMs, before this VM may be isolated
// Like BalancerGrace, for the case that all VMs of a failure domain fail their health checks
// together: the time of two checks, which are a second apart.
constexpr auto DomainGrace = 2100ms;
// A suspicion ends after this time where control VMs are connected, which contradicts it.
constexpr auto LongestSuspicion = 1500ms;

// Maintains the time since when `holds` has been true. Returns whether `holds` changed.
bool updateSince(std::optional<TimePoint> &since, bool holds, TimePoint now)
{
    if (holds == since.has_value())
        return false;
    since = holds ? std::optional(now) : std::nullopt;
    return true;
}

} // namespace

// While no VM of another failure domain answers, the load balancer's health checks fail. The
// balancer acts only after two failed checks, so one failed in error costs nothing. Sessions are
// ended only once the cut is confirmed.
void EntryNode::checkSuspicion(TimePoint now)
{
    const bool isContradicted = m_suspectedSince && !m_controlLostAt
            && now - *m_suspectedSince > LongestSuspicion;
    if (isContradicted)
        m_links.clearCutOffSuspicion(now);
    const bool isSuspected = m_links.isCutOff(now);
    if (!updateSince(m_suspectedSince, isSuspected, now))
        return;
    m_isSuspected = isSuspected;
    logLine(LogLevel::Warning, isSuspected ? "cut_suspected" : "cut_denied",
            {{"reason",
              isSuspected ? "no home of another failure domain answers"
                          : (isContradicted ? "a control VM is connected"
                                            : "a home of another failure domain answers")}});
    if (isSuspected)
        m_follower.pollNow();
}

// A VM that reaches neither control VMs nor servers of other failure domains is isolated. Its
// health checks fail, so that the load balancer sends callers to other VMs, and callers without an
// open transaction are asked to reconnect.
void EntryNode::checkIsolation(TimePoint now)
{
    // A control VM without a leader still answers, and so isn't unreachable.
    const bool isControlUnreachable = m_controlLostAt
            && now - std::max(*m_controlLostAt, m_follower.heardOtherDomainAt()) > IsolationTime;
    const bool areRemoteHomesSilent = m_controlLostAt && m_suspectedSince;
    const bool isIsolated = areRemoteHomesSilent || (isControlUnreachable && m_proxy.isCutOff(now));
    if (!updateSince(m_isolatedSince, isIsolated, now))
        return;
    m_isRefusingCallers = false;
    logLine(LogLevel::Warning, isIsolated ? "node_isolated" : "node_reconnected", {});
    if (!isIsolated) {
        m_links.clearCutOffSuspicion(now);
        if (!m_isDraining)
            m_proxy.resumeService();
        return updateReadiness();
    }
    m_isReady = false;
    m_proxy.isolate();
}

// Waits until the load balancer has noticed; before that, refused callers would be sent back to
// this failure domain.
void EntryNode::refuseCallersIfCutOff(TimePoint now)
{
    if (!m_isolatedSince || m_isRefusingCallers)
        return;
    const bool isDue = now - *m_isolatedSince >= BalancerGrace
            || (m_suspectedSince && now - *m_suspectedSince >= DomainGrace);
    if (!isDue)
        return;
    m_isRefusingCallers = true;
    logLine(LogLevel::Warning, "callers_turned_away",
            {{"sessions", std::to_string(m_proxy.sessionCount())}});
    m_proxy.suspendService(now);
}

} // namespace nutmegtide
