#include "nutmegtide/proxy/caplender.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

constexpr auto BinTime = 50ms; // operations are counted together in such spans
constexpr double ReserveShare = 0.5; // of the overage and slack
constexpr double SelfShare = 0.25; // of the reserve, for entry proxies that reach no lender
constexpr double FirstBurstShare = 0.2; // of the burst, given out by a counter that has just begun

} // namespace

// A bin counts until its whole span, and the time for which an unused loan is kept, have left the
// window.
void WindowCounter::expire(Duration window, TimePoint now)
{
    while (!m_bins.empty() && m_bins.front().startsAt + BinTime + UnusedLoanTime + window < now) {
        m_inWindow -= m_bins.front().taken;
        m_bins.pop_front();
    }
}

CapLoan WindowCounter::lend(int wanted, double limit, double part, Duration window, TimePoint now)
{
    CapLoan loan;
    loan.granted = take(wanted, limit, part, window, now);
    if (loan.granted < wanted)
        loan.retryAfter = timeToNext(limit, window, now);
    return loan;
}

int WindowCounter::take(int wanted, double limit, double part, Duration window, TimePoint now)
{
    expire(window, now);
    const double passed = std::chrono::duration<double>(now - m_startedAt)
            / std::chrono::duration<double>(window);
    const double allowed = passed < 1 ? std::min(limit, m_first + part * passed) : limit;
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
    return std::max(Duration(1ms),
                    m_bins.front().startsAt + BinTime + UnusedLoanTime + window - now);
}

bool WindowCounter::isUnused(Duration window, TimePoint now) const
{
    return now - m_startedAt > window
            && (m_bins.empty() || m_bins.back().startsAt + BinTime + UnusedLoanTime + window < now);
}

std::vector<int> WindowCounter::history(Duration window, TimePoint now) const
{
    const Duration span = window / LoanHistory::Spans;
    std::vector<int> lent;
    for (auto bin = m_bins.rbegin(); bin != m_bins.rend(); ++bin) {
        const Duration age = std::max(Duration(), now - (bin->startsAt + BinTime));
        const auto place = static_cast<std::size_t>(age / span);
        if (place >= LoanHistory::Spans)
            break;
        if (lent.size() <= place)
            lent.resize(place + 1);
        lent[place] += bin->taken;
    }
    return lent;
}

AllowanceParts divideAllowance(const CapRule &rule, const OperationCap &cap)
{
    const double all = rule.allowance(cap);
    const double extra = all - CapRule {rule.window, 0, 0}.allowance(cap);
    const double reserve = extra * ReserveShare;
    return {all - reserve, reserve * (1 - SelfShare), reserve * SelfShare};
}

void CapLender::setDomains(int present, int all)
{
    m_allDomains = std::max(1, all);
    m_presentDomains = std::clamp(present, 1, m_allDomains);
}

CapLender::Account &CapLender::accountOf(const WorkspaceName &workspace, const OperationCap &cap,
                                         TimePoint now)
{
    const double share = static_cast<double>(m_presentDomains) / m_allDomains;
    const double first = 1 + cap.burst * share * FirstBurstShare;
    return m_accounts.try_emplace(workspace, Account {WindowCounter(first, now), {}, {}, {}, {}})
            .first->second;
}

void CapLender::noteReported(const WorkspaceName &workspace, const LoanHistory &history,
                             TimePoint now)
{
    const Workspace *known = m_workspaces ? m_workspaces->find(workspace) : nullptr;
    if (known == nullptr || !known->cap.isSet() || history.lender == m_self)
        return;
    Account &account = accountOf(workspace, known->cap, now);
    std::map<LenderId, Reported> &others = account.others;
    std::erase_if(others, [this, now](const auto &item) {
        return item.second.takenAt + m_rule.window + UnusedLoanTime < now;
    });
    Reported &reported = others[history.lender];
    const TimePoint takenAt = now - history.age;
    account.reportedAt = std::max(account.reportedAt.value_or(takenAt), takenAt);
    if (!reported.lent.empty() && takenAt <= reported.takenAt)
        return;
    reported = {history.lent, takenAt};
    reported.lent.resize(std::min<std::size_t>(reported.lent.size(), LoanHistory::Spans));
}

// Each loan counts as if it had been given at the end of its span.
int CapLender::lentByOthers(const Account &account, TimePoint now) const
{
    const Duration span = m_rule.window / LoanHistory::Spans;
    int sum = 0;
    for (const auto &[lender, reported] : account.others) {
        TimePoint lentAt = reported.takenAt;
        for (const int lent : reported.lent) {
            if (lentAt + m_rule.window + UnusedLoanTime >= now)
                sum += std::max(0, lent);
            lentAt -= span;
        }
    }
    return sum;
}

// A report informs for the whole first window after the change, since what it told leaves the
// window before what the lender gives by it does.
bool CapLender::isUninformed(const Account &account, TimePoint since, TimePoint now) const
{
    const bool hasReport = account.reportedAt && *account.reportedAt + m_rule.window >= since;
    return now - since < m_rule.window && !hasReport;
}

CapLender::Limit CapLender::limitOf(const OperationCap &cap, OwnerState owner,
                                    const Account &account, TimePoint now) const
{
    const AllowanceParts parts = divideAllowance(m_rule, cap);
    const double reserve = parts.standIns / m_allDomains;
    const int others = lentByOthers(account, now);
    switch (owner) {
    case OwnerState::Self: {
        const bool isUnaware = account.ownerSince > TimePoint()
                && isUninformed(account, account.ownerSince, now);
        if (m_presentDomains < m_allDomains && isUnaware)
            return {reserve, reserve, true};
        const double part = parts.owner * m_presentDomains / m_allDomains;
        return {part, part - others, false};
    }
    case OwnerState::Reachable:
        return {reserve, reserve, false};
    case OwnerState::Unreachable:
        if (isUninformed(account, account.unreachableSince.value_or(now), now))
            return {reserve, reserve, true};
        return {parts.owner / m_allDomains,
                std::max(reserve, (parts.owner - others) / m_allDomains), false};
    }
    return {};
}

CapLoan CapLender::lend(const WorkspaceName &workspace, OwnerState owner, int wanted, TimePoint now,
                        TimePoint ownerSince)
{
    CapLoan loan;
    const Workspace *known = m_workspaces ? m_workspaces->find(workspace) : nullptr;
    // An entry with a newer configuration may know a workspace that this process doesn't know yet,
    // and a process that has just started knows none.
    if (known == nullptr) {
        loan.isUnable = true;
        return loan;
    }
    if (!known->cap.isSet()) {
        loan.granted = wanted;
        return loan;
    }
    Account &account = accountOf(workspace, known->cap, now);
    if (owner == OwnerState::Self && ownerSince > account.ownerSince) {
        account.ownerSince = ownerSince;
        account.own.beginFirstWindow(ownerSince);
    }
    if (owner != OwnerState::Unreachable)
        account.unreachableSince.reset();
    else if (!account.unreachableSince)
        account.unreachableSince = now;
    const Limit limit = limitOf(known->cap, owner, account, now);
    if (limit.isUninformed && wanted > 0)
        ++m_uninformed;
    loan = account.own.lend(wanted, std::max(0.0, limit.left), limit.part, m_rule.window, now);
    loan.history = {m_self, account.own.history(m_rule.window, now), {}};
    return loan;
}

void CapLender::forgetUnused(TimePoint now)
{
    std::erase_if(m_accounts, [this, now](const auto &item) {
        return item.second.own.isUnused(m_rule.window, now) && lentByOthers(item.second, now) == 0;
    });
}

} // namespace nutmegtide
