#include "nutmegtide/proxy/capborrower.h"

#include "nutmegtide/fleet/placement.h"

#include <algorithm>
#include <set>

namespace nutmegtide {

namespace {

// Several times a round trip between failure domains, and short against a latency objective.
constexpr auto AnswerTime = 60ms;
// Longer than control VMs that can't reach each other list different lenders.
constexpr auto UnlistedTime = 10s;
constexpr auto OpeningTime = 1s; // of a connection to an unlisted lender that wasn't used before
// Between attempts to report to an owner that can't be reached; a connection opens in less.
constexpr auto ReportInterval = 50ms;
constexpr auto ForgetInterval = 1s; // between searches for loans that have left the window

} // namespace

// By rendezvous hashing, so that a lender that is lost moves only its own workspaces.
const CapBorrower::Lenders &CapBorrower::lendersOf(const WorkspaceName &workspace)
{
    const auto [place, isNew] = m_chosen.try_emplace(workspace);
    Lenders &lenders = place->second;
    if (!isNew)
        return lenders;
    std::vector<std::pair<std::uint64_t, const CapLenderCandidate *>> order;
    const auto addCandidate = [&](const CapLenderCandidate &candidate) {
        order.emplace_back(placementWeight(workspace.text(), toString(candidate.at)), &candidate);
    };
    for (const CapLenderCandidate &candidate : m_candidates)
        addCandidate(candidate);
    for (const auto &[at, unlisted] : m_unlisted)
        addCandidate(unlisted.candidate);
    std::sort(order.rbegin(), order.rend());
    std::set<FailureDomain> served;
    for (const auto &[weight, candidate] : order) {
        if (lenders.owner == nullptr)
            lenders.owner = candidate;
        else if (served.insert(candidate->failureDomain).second)
            lenders.standIns.push_back(candidate);
    }
    lenders.ownerSince = ownerSince(workspace, lenders.owner);
    std::stable_partition(lenders.standIns.begin(), lenders.standIns.end(),
                          [this](const CapLenderCandidate *standIn) {
                              return standIn->failureDomain == m_own;
                          });
    return lenders;
}

TimePoint CapBorrower::ownerSince(const WorkspaceName &workspace,
                                  const CapLenderCandidate *owner) const
{
    for (auto former = m_former.rbegin(); former != m_former.rend(); ++former) {
        const auto before =
                std::max_element(former->lenders.begin(), former->lenders.end(),
                                 [&workspace](const Endpoint &one, const Endpoint &other) {
                                     return placementWeight(workspace.text(), toString(one))
                                             < placementWeight(workspace.text(), toString(other));
                                 });
        if (owner == nullptr || before == former->lenders.end() || *before != owner->at)
            return former->until;
    }
    return {};
}

std::vector<Endpoint> CapBorrower::allLenders() const
{
    std::vector<Endpoint> lenders;
    for (const CapLenderCandidate &candidate : m_candidates)
        lenders.push_back(candidate.at);
    for (const auto &[at, unlisted] : m_unlisted)
        lenders.push_back(at);
    std::sort(lenders.begin(), lenders.end());
    return lenders;
}

void CapBorrower::noteCandidatesChanged(std::vector<Endpoint> before, TimePoint now)
{
    m_chosen.clear();
    if (before == allLenders())
        return;
    m_former.push_back({std::move(before), now});
    m_isReportDue = true;
    m_reportAt = now;
}

void CapBorrower::setCandidates(std::vector<CapLenderCandidate> candidates, TimePoint now)
{
    std::vector<Endpoint> lendersBefore = allLenders();
    const std::vector<CapLenderCandidate> before = std::exchange(m_candidates,
                                                                 std::move(candidates));
    for (const CapLenderCandidate &candidate : before) {
        const bool isOpening = m_usedAt.count(candidate.at) == 0 && m_lost.count(candidate.at) == 0;
        m_unlisted.try_emplace(candidate.at, UnlistedLender {candidate, now, isOpening});
    }
    for (const CapLenderCandidate &candidate : m_candidates)
        m_unlisted.erase(candidate.at);
    std::erase_if(m_lost, [this](const Endpoint &at) {
        return m_unlisted.count(at) == 0
                && std::none_of(m_candidates.begin(), m_candidates.end(),
                                [&at](const auto &one) { return one.at == at; });
    });
    noteCandidatesChanged(std::move(lendersBefore), now);
}

void CapBorrower::lenderLost(const Endpoint &lender)
{
    m_runs.erase(lender);
    m_lost.insert(lender);
    if (const auto unlisted = m_unlisted.find(lender); unlisted != m_unlisted.end())
        unlisted->second.isOpening = false;
    std::erase_if(m_reportsAsked,
                  [&lender](const auto &item) { return item.first.first == lender; });
    m_isReportDue = true;
    m_reportAt = {};
}

std::set<Endpoint> CapBorrower::unlistedLenders() const
{
    std::set<Endpoint> lenders;
    for (const auto &[at, unlisted] : m_unlisted)
        lenders.insert(at);
    return lenders;
}

// An unlisted lender is used only as long as it can be reached.
void CapBorrower::forgetUnlisted(TimePoint now)
{
    while (!m_former.empty() && now - m_former.front().until > m_rule.window) {
        m_former.pop_front();
        m_chosen.clear();
    }
    if (m_unlisted.empty())
        return;
    std::vector<Endpoint> before = allLenders();
    const auto erased = std::erase_if(m_unlisted, [this, now](const auto &item) {
        const Duration age = now - item.second.since;
        const bool mayBeOpening = item.second.isOpening && age < OpeningTime;
        return age > UnlistedTime || (!m_delegate.isReachable(item.first) && !mayBeOpening);
    });
    if (erased > 0)
        noteCandidatesChanged(std::move(before), now);
}

void CapBorrower::borrow(const WorkspaceName &workspace, int wanted, TimePoint now)
{
    forgetUnlisted(now);
    Request &request = m_requests[workspace];
    request = {wanted, LenderRole::Owner, 0, {}, now, false, false};
    const CapLenderCandidate *lender = lendersOf(workspace).owner;
    if (lender != nullptr && m_delegate.isReachable(lender->at))
        ask(workspace, request, lender, now);
    else
        askNext(workspace, request, now);
}

void CapBorrower::ask(const WorkspaceName &workspace, Request &request,
                      const CapLenderCandidate *lender, TimePoint now)
{
    request.lender = lender->at;
    request.askedAt = now;
    m_delegate.requestLoan(lender->at, workspace, request.role, request.wanted,
                           reportsFor(lender->at, workspace, now));
}

std::optional<Endpoint> CapBorrower::ownerOf(const WorkspaceName &workspace, TimePoint now)
{
    forgetUnlisted(now);
    const CapLenderCandidate *owner = lendersOf(workspace).owner;
    if (owner == nullptr)
        return std::nullopt;
    return owner->at;
}

TimePoint CapBorrower::ownerSince(const WorkspaceName &workspace, TimePoint now)
{
    forgetUnlisted(now);
    return lendersOf(workspace).ownerSince;
}

void CapBorrower::noteHistory(const Endpoint &lender, const WorkspaceName &workspace,
                              const LoanHistory &history, TimePoint now)
{
    if (history.lender == 0)
        return; // a lender of an older version tells nothing
    m_runs[lender] = history.lender;
    m_knownLoans[workspace][history.lender] = {history.lent, now, {lender}};
}

// Returns the loans of other runs that the lender wasn't told yet. Until it has answered on its
// present connection it may be a new run, which doesn't know what the earlier one lent.
std::vector<LoanHistory> CapBorrower::reportsFor(const Endpoint &lender,
                                                 const WorkspaceName &workspace, TimePoint now)
{
    std::vector<LoanHistory> reports;
    const auto known = m_knownLoans.find(workspace);
    if (known == m_knownLoans.end())
        return reports;
    const bool isNewRun = m_runs.count(lender) == 0;
    for (auto &[run, loans] : known->second) {
        const bool isOld = now - loans.reportedAt > m_rule.window;
        if (isOld || (!isNewRun && loans.passedOnTo.count(lender) != 0))
            continue;
        loans.passedOnTo.insert(lender);
        reports.push_back({run, loans.lent, now - loans.reportedAt});
    }
    return reports;
}

// Reports known loans to owners that may not know them, until all of these could be reached.
void CapBorrower::reportToOwners(TimePoint now)
{
    if (!m_isReportDue || now < m_reportAt)
        return;
    m_isReportDue = false;
    m_reportAt = now + ReportInterval;
    std::vector<WorkspaceName> workspaces;
    for (const auto &[workspace, loans] : m_knownLoans)
        workspaces.push_back(workspace);
    for (const WorkspaceName &workspace : workspaces) {
        const CapLenderCandidate *owner = lendersOf(workspace).owner;
        if (owner == nullptr)
            continue;
        const auto request = m_requests.find(workspace);
        // Answers come in the order of the requests, so an earlier one is awaited first.
        const bool isAsked = request != m_requests.end() && !request->second.isOwnShare
                && request->second.lender == owner->at;
        if (isAsked || !m_delegate.isReachable(owner->at)) {
            m_isReportDue = true;
            continue;
        }
        const std::vector<LoanHistory> reports = reportsFor(owner->at, workspace, now);
        if (reports.empty())
            continue;
        ++m_reportsAsked[{owner->at, workspace}];
        m_delegate.requestLoan(owner->at, workspace, LenderRole::Owner, 0, reports);
    }
}

void CapBorrower::forgetOldLoans(TimePoint now)
{
    if (now < m_forgetAt)
        return;
    m_forgetAt = now + ForgetInterval;
    for (auto &[workspace, loans] : m_knownLoans) {
        std::erase_if(loans, [this, now](const auto &item) {
            return now - item.second.reportedAt > m_rule.window;
        });
    }
    std::erase_if(m_knownLoans, [](const auto &item) { return item.second.empty(); });
    std::erase_if(m_usedAt,
                  [this, now](const auto &item) { return now - item.second > m_rule.window; });
}

void CapBorrower::askNext(const WorkspaceName &workspace, Request &request, TimePoint now)
{
    request.role = LenderRole::StandIn;
    const std::vector<const CapLenderCandidate *> &standIns = lendersOf(workspace).standIns;
    while (request.nextStandIn < standIns.size()) {
        const CapLenderCandidate *lender = standIns[request.nextStandIn++];
        if (m_delegate.isReachable(lender->at))
            return ask(workspace, request, lender, now);
    }
    request.isOwnShare = true;
    request.lender = {};
}

void CapBorrower::answered(const Endpoint &lender, const WorkspaceName &workspace, LenderRole role,
                           const CapLoan &loan, TimePoint now)
{
    m_usedAt[lender] = now;
    m_lost.erase(lender);
    noteHistory(lender, workspace, loan.history, now);
    // A refusal always has a time to come back, and the answer to a report has none.
    const auto reported = m_reportsAsked.find({lender, workspace});
    if (reported != m_reportsAsked.end() && loan.granted == 0 && loan.retryAfter == Duration()) {
        if (--reported->second == 0)
            m_reportsAsked.erase(reported);
        return;
    }
    const auto found = m_requests.find(workspace);
    const bool isAwaited = found != m_requests.end() && !found->second.isOwnShare
            && found->second.lender == lender && found->second.role == role;
    // A late answer may be to an earlier request for another number of operations.
    if (!isAwaited || loan.granted > found->second.wanted)
        return;
    if (redirect(workspace, found->second, loan, now))
        return;
    if (loan.isUnable)
        return askNext(workspace, found->second, now);
    m_requests.erase(found);
    m_ownShares.erase(workspace);
    m_delegate.lent(workspace, loan);
}

// Asks the owner that a lender named in place of operations. Returns whether it did.
bool CapBorrower::redirect(const WorkspaceName &workspace, Request &request, const CapLoan &loan,
                           TimePoint now)
{
    if (!loan.owner || *loan.owner == request.lender || request.wasRedirected || loan.granted > 0)
        return false;
    const auto listed = std::find_if(m_candidates.begin(), m_candidates.end(),
                                     [&loan](const auto &one) { return one.at == *loan.owner; });
    if (listed == m_candidates.end()) {
        std::vector<Endpoint> before = allLenders();
        m_unlisted.try_emplace(*loan.owner, UnlistedLender {{*loan.owner, {}}, now, true});
        noteCandidatesChanged(std::move(before), now);
    }
    request.wasRedirected = true;
    if (!m_delegate.isReachable(*loan.owner)) {
        askNext(workspace, request, now);
        return true;
    }
    request.role = LenderRole::Owner;
    const CapLenderCandidate owner {*loan.owner, {}};
    ask(workspace, request, &owner, now);
    return true;
}

CapLoan CapBorrower::takeOwnShare(const WorkspaceName &workspace, int wanted, TimePoint now)
{
    const Workspace *known = m_workspaces ? m_workspaces->find(workspace) : nullptr;
    if (known == nullptr || !known->cap.isSet())
        return {wanted, {}};
    // Where no lender is known, no other process lends either.
    const bool isAlone = m_candidates.empty() && m_unlisted.empty();
    const double all = isAlone ? m_rule.allowance(known->cap)
                               : divideAllowance(m_rule, known->cap).self;
    const double limit = all / m_entryCount;
    WindowCounter &counter = m_ownShares.try_emplace(workspace, 0, now).first->second;
    return counter.lend(wanted, limit, m_rule.window, now);
}

void CapBorrower::tick(TimePoint now)
{
    forgetUnlisted(now);
    forgetOldLoans(now);
    reportToOwners(now);
    std::vector<WorkspaceName> settled;
    for (auto &[workspace, request] : m_requests) {
        const bool isOverdue = !request.isOwnShare
                && (now - request.askedAt >= AnswerTime || !m_delegate.isReachable(request.lender));
        if (isOverdue)
            askNext(workspace, request, now);
        if (request.isOwnShare)
            settled.push_back(workspace);
    }
    for (const WorkspaceName &workspace : settled) {
        const CapLoan loan = takeOwnShare(workspace, m_requests.at(workspace).wanted, now);
        m_requests.erase(workspace);
        m_delegate.lent(workspace, loan);
    }
}

TimePoint CapBorrower::wakeAt() const
{
    const bool hasReports = m_isReportDue && !m_knownLoans.empty();
    TimePoint wake = hasReports ? m_reportAt : TimePoint::max();
    for (const auto &[workspace, request] : m_requests)
        wake = std::min(wake, request.isOwnShare ? request.askedAt : request.askedAt + AnswerTime);
    return wake;
}

} // namespace nutmegtide
