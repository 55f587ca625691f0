#include "site/controlvmselector.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// How long a control VM that failed ranks after the others, indexed by ControlFailure.
constexpr Duration RetryTimes[] = {5s, 200ms};

} // namespace

ControlVmSelector::ControlVmSelector(FailureDomain own, std::vector<Endpoint> seeds,
                                     std::optional<Endpoint> self)
    : m_own(std::move(own))
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
{ }

std::vector<ControlLocation> ControlVmSelector::known() const
{
    std::vector<ControlLocation> all = m_controls;
    for (const Endpoint &seed : m_seeds) {
        const bool isKnown = std::any_of(all.begin(), all.end(), [&seed](const auto &control) {
            return control.peers == seed;
        });
        if (!isKnown)
            all.push_back({seed, {}});
    }
    std::erase_if(all, [this](const ControlLocation &control) { return control.peers == m_self; });
    return all;
}

// Prefers the VM whose failure is longest ago, or that never failed; among equals, one of the own
// failure domain.
std::optional<Endpoint> ControlVmSelector::next(TimePoint now)
{
    std::optional<ControlLocation> best;
    auto rank = [this, now](const ControlLocation &control) {
        const Standing &standing = m_standings[control.peers];
        const TimePoint failedAt = now < standing.badUntil ? standing.failedAt : TimePoint {};
        return std::make_tuple(failedAt, control.failureDomain != m_own, control.peers != m_current);
    };
    for (const ControlLocation &control : known()) {
        if (!best || rank(control) < rank(*best))
            best = control;
    }
    if (!best)
        return std::nullopt;
    m_current = best->peers;
    return m_current;
}

void ControlVmSelector::succeeded(const Endpoint &control)
{
    m_standings[control].badUntil = {};
}

void ControlVmSelector::failed(const Endpoint &control, ControlFailure failure, TimePoint now)
{
    m_standings[control] = {now, now + RetryTimes[static_cast<std::size_t>(failure)]};
}

bool ControlVmSelector::isOwnDomain(const Endpoint &control) const
{
    return std::any_of(m_controls.begin(), m_controls.end(), [&](const ControlLocation &known) {
        return known.peers == control && known.failureDomain == m_own;
    });
}

bool ControlVmSelector::isTrusted(ControlConnectivity standing) const
{
    return standing == ControlConnectivity::Member
            || (standing == ControlConnectivity::Follower && !m_self);
}

void ControlVmSelector::learn(const std::vector<ControlLocation> &controls)
{
    if (!controls.empty())
        m_controls = controls;
}

} // namespace nutmegtide
