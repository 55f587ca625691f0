#include "nutmegtide/proxy/caplender.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

constexpr auto BinTime = 50ms; // operations are counted together in such spans
constexpr double FirstBurstShare = 0.2; // of the burst, given out by a counter that has just begun

} // namespace

// A bin counts until its whole span has left the window.
void WindowCounter::expire(Duration window, TimePoint now)
{
    while (!m_bins.empty() && m_bins.front().startsAt + BinTime + window < now) {
        m_inWindow -= m_bins.front().taken;
        m_bins.pop_front();
    }
}

CapLoan WindowCounter::lend(int wanted, double limit, Duration window, TimePoint now)
{
    CapLoan loan;
    loan.granted = take(wanted, limit, window, now);
    if (loan.granted < wanted)
        loan.retryAfter = timeToNext(limit, window, now);
    return loan;
}

int WindowCounter::take(int wanted, double limit, Duration window, TimePoint now)
{
    expire(window, now);
    const double passed = std::chrono::duration<double>(now - m_startedAt)
            / std::chrono::duration<double>(window);
    const double allowed = passed < 1 ? std::min(limit, m_first + limit * passed) : limit;
    const int taken = std::clamp(static_cast<int>(std::floor(allowed)) - m_inWindow, 0, wanted);
    if (taken == 0)
        return 0;
    if (m_bins.empty() || now - m_bins.back().startsAt >= BinTime)
        m_bins.push_back({now, 0});
    m_bins.back().taken += taken;
    m_inWindow += taken;
    return taken;
}

Duration WindowCounter::timeToNext(double limit, Duration window, TimePoint now) const
{
    const auto untilRamp = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(window) / std::max(limit, 1.0));
    if (m_bins.empty() || now - m_startedAt < window)
        return untilRamp;
    return std::max(Duration(1ms), m_bins.front().startsAt + BinTime + window - now);
}

bool WindowCounter::isUnused(Duration window, TimePoint now) const
{
    return now - m_startedAt > window
            && (m_bins.empty() || m_bins.back().startsAt + BinTime + window < now);
}

void CapLender::setDomains(int present, int all)
{
    m_allDomains = std::max(1, all);
    m_presentDomains = std::clamp(present, 1, m_allDomains);
}

double CapLender::shareOf(LenderRole role) const
{
    const double part = role == LenderRole::Owner ? m_presentDomains : 1;
    return part / m_allDomains;
}

CapLoan CapLender::lend(const WorkspaceName &workspace, LenderRole role, int wanted, TimePoint now)
{
    const Workspace *known = m_workspaces ? m_workspaces->find(workspace) : nullptr;
    // An entry with a newer configuration may know a workspace that this process doesn't know yet.
    if (known == nullptr || !known->cap.isSet())
        return {wanted, {}};
    const double share = shareOf(role);
    const double limit = m_rule.allowance(known->cap) * share;
    const double first = 1 + known->cap.burst * share * FirstBurstShare;
    WindowCounter &counter = m_counters.try_emplace({workspace, role}, first, now).first->second;
    return counter.lend(wanted, limit, m_rule.window, now);
}

void CapLender::forgetUnused(TimePoint now)
{
    std::erase_if(m_counters, [this, now](const auto &item) {
        return item.second.isUnused(m_rule.window, now);
    });
}

} // namespace nutmegtide
