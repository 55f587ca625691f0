#include "nutmegtide/fleet/domainreachability.h"

namespace nutmegtide {

namespace {

constexpr auto RecentAnswerTime = 100ms; // an answer this recent rules out a cut
constexpr auto FewProbesTimeout = 100ms; // short, since probing all too early costs only bytes
constexpr auto AllProbesTimeout = 250ms; // long enough for a VM that is busy or far away
constexpr std::size_t MinProbesForCut = 2; // the silence of a single VM doesn't prove a cut

} // namespace

bool DomainReachability::wasHeardRecently(TimePoint now) const
{
    return now - m_heardAt < RecentAnswerTime;
}

void DomainReachability::noteOverdueAnswer(TimePoint now)
{
    if (!wasHeardRecently(now) && !m_probedFewAt && !m_probedAllAt
        && m_dueProbes == ProbeTargets::None)
        m_dueProbes = ProbeTargets::Few;
}

void DomainReachability::noteWarning(TimePoint now)
{
    if (!wasHeardRecently(now) && !m_probedAllAt)
        m_dueProbes = ProbeTargets::All;
}

void DomainReachability::noteAlive(TimePoint now)
{
    m_heardAt = now;
    m_dueProbes = ProbeTargets::None;
    m_probedFewAt.reset();
    m_probedAllAt.reset();
}

void DomainReachability::restartTimeouts(TimePoint now)
{
    if (m_probedFewAt)
        m_probedFewAt = now;
    if (m_probedAllAt)
        m_probedAllAt = now;
}

DomainReachability::ProbeTargets DomainReachability::dueProbes(TimePoint now) const
{
    if (m_probedFewAt && now - *m_probedFewAt >= FewProbesTimeout)
        return ProbeTargets::All;
    return m_dueProbes;
}

void DomainReachability::noteProbesSent(ProbeTargets targets, std::size_t count, TimePoint now)
{
    m_dueProbes = ProbeTargets::None;
    m_probedFewAt.reset();
    if (targets == ProbeTargets::Few)
        m_probedFewAt = now;
    if (targets == ProbeTargets::All && count >= MinProbesForCut)
        m_probedAllAt = now;
}

bool DomainReachability::isCutOff(TimePoint now) const
{
    return m_probedAllAt && now - *m_probedAllAt >= AllProbesTimeout;
}

std::optional<TimePoint> DomainReachability::wakeAt() const
{
    if (m_probedAllAt)
        return *m_probedAllAt + AllProbesTimeout;
    if (m_probedFewAt)
        return *m_probedFewAt + FewProbesTimeout;
    return std::nullopt;
}

} // namespace nutmegtide
