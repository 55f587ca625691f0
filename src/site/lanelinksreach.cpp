// Part of LaneLinks that finds out whether the own failure domain is cut off.
#include "site/lanelinks.h"

namespace nutmegtide {

namespace {

constexpr std::size_t FirstProbedHomes = 4; // remote homes that are probed first on a suspicion
constexpr std::size_t WarnedHomes = 2; // homes of the own domain that forward a warning

} // namespace

// The homes that were silent during a cut may be connected again at once.
void LaneLinks::clearCutOffSuspicion(TimePoint now)
{
    m_reach.noteAlive(now);
    for (const Endpoint &at : m_remoteHomes) {
        const auto home = m_homes.find(at);
        if (home != m_homes.end())
            home->second.connectAt = std::min(home->second.connectAt, now);
    }
    m_dueAt = now;
}

void LaneLinks::checkReach(TimePoint now)
{
    const DomainReachability::ProbeTargets questions = m_reach.dueProbes(now);
    if (questions != DomainReachability::ProbeTargets::None) {
        m_reach.noteProbesSent(questions, probeRemoteHomes(questions, now), now);
        if (questions == DomainReachability::ProbeTargets::All)
            warnOwnDomainHomes();
    }
    if (const auto wakeAt = m_reach.wakeAt(); wakeAt && *wakeAt > now)
        m_dueAt = std::min(m_dueAt, *wakeAt);
}

// Probes homes of other failure domains. Returns how many of them owe an answer now.
std::size_t LaneLinks::probeRemoteHomes(DomainReachability::ProbeTargets questions, TimePoint now)
{
    const std::size_t most = questions == DomainReachability::ProbeTargets::Few
            ? FirstProbedHomes
            : m_remoteHomes.size();
    std::size_t count = 0;
    for (const Endpoint &at : m_remoteHomes) {
        const auto home = m_homes.find(at);
        if (count == most || home == m_homes.end() || !home->second.isReachable)
            continue;
        ++count;
        if (!home->second.isProbed)
            sendProbe(at, home->second, now);
    }
    return count;
}

// Homes of the own failure domain forward the warning to the entry VMs there.
void LaneLinks::warnOwnDomainHomes()
{
    std::size_t count = 0;
    for (const auto &[at, home] : m_homes) {
        if (count == WarnedHomes || !home.isReachable || m_remoteHomes.count(at) != 0)
            continue;
        ++count;
        outgoing(at).isReachDoubted = true;
    }
}

} // namespace nutmegtide
