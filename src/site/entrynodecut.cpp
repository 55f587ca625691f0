// What an entry VM does while its failure domain is cut off.
#include "site/entrynode.h"

namespace nutmegtide {

namespace {

constexpr auto IsolationTime = 400ms; // without control, before this VM may be isolated
// Like BalancerGrace, where all VMs of a failure domain fail their checks together: two checks a
// second apart.
constexpr auto DomainGrace = 2100ms;
// A suspicion that control's word speaks against ends after this long.
constexpr auto LongestSuspicion = 1500ms;

// Keeps since when something holds. Returns whether that has changed.
bool updateSince(std::optional<TimePoint> &since, bool holds, TimePoint now)
{
    if (holds == since.has_value())
        return false;
    since = holds ? std::optional(now) : std::nullopt;
    return true;
}

} // namespace

// While no VM of another failure domain answers, the balancer is told to look elsewhere: it takes two
// failed checks, so that one that was failed in error costs nothing. Sessions end only on proof.
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
                          : (isContradicted ? "control is in touch" : "one answers")}});
    if (isSuspected)
        m_follower.pollNow();
}

// A VM that reaches neither control VMs nor servers of other failure domains is cut off itself:
// the balancer sends callers elsewhere, and those who have nothing open are asked to come back.
void EntryNode::checkIsolation(TimePoint now)
{
    // Control that has no leader answers all the same, and isn't out of reach.
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

// Until the balancer looks elsewhere, callers who are sent away come back to this failure domain.
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
