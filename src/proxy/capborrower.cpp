#include "nutmegtide/proxy/capborrower.h"

#include "nutmegtide/fleet/placement.h"

#include <algorithm>
#include <set>

namespace nutmegtide {

namespace {

// Several times a round trip between failure domains, and short against a latency objective.
constexpr auto AnswerTime = 60ms;

} // namespace

// By rendezvous hashing, so that a lender that is lost moves only its own workspaces.
const CapBorrower::Lenders &CapBorrower::lendersOf(const WorkspaceName &workspace)
{
    const auto [place, isNew] = m_chosen.try_emplace(workspace);
    Lenders &lenders = place->second;
    if (!isNew)
        return lenders;
    std::vector<std::pair<std::uint64_t, const CapLenderCandidate *>> order;
    for (const CapLenderCandidate &candidate : m_candidates)
        order.emplace_back(placementWeight(workspace.text(), toString(candidate.at)), &candidate);
    std::sort(order.rbegin(), order.rend());
    std::set<FailureDomain> served;
    for (const auto &[weight, candidate] : order) {
        if (lenders.owner == nullptr)
            lenders.owner = candidate;
        else if (served.insert(candidate->failureDomain).second)
            lenders.standIns.push_back(candidate);
    }
    std::stable_partition(lenders.standIns.begin(), lenders.standIns.end(),
                          [this](const CapLenderCandidate *standIn) {
                              return standIn->failureDomain == m_own;
                          });
    return lenders;
}

void CapBorrower::borrow(const WorkspaceName &workspace, int wanted, TimePoint now)
{
    Request &request = m_requests[workspace];
    request = {wanted, LenderRole::Owner, 0, {}, now, false};
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
    m_delegate.requestLoan(lender->at, workspace, request.role, request.wanted);
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
                           const CapLoan &loan)
{
    const auto found = m_requests.find(workspace);
    const bool isAwaited = found != m_requests.end() && !found->second.isOwnShare
            && found->second.lender == lender && found->second.role == role;
    // A late answer may be to an earlier request for another number of operations.
    if (!isAwaited || loan.granted > found->second.wanted)
        return;
    m_requests.erase(found);
    m_ownShares.erase(workspace);
    m_delegate.lent(workspace, loan);
}

CapLoan CapBorrower::takeOwnShare(const WorkspaceName &workspace, int wanted, TimePoint now)
{
    const Workspace *known = m_workspaces ? m_workspaces->find(workspace) : nullptr;
    if (known == nullptr || !known->cap.isSet())
        return {wanted, {}};
    const double limit = m_rule.allowance(known->cap) / m_entryCount;
    WindowCounter &counter = m_ownShares.try_emplace(workspace, 0, now).first->second;
    return counter.lend(wanted, limit, m_rule.window, now);
}

void CapBorrower::tick(TimePoint now)
{
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
    TimePoint wake = TimePoint::max();
    for (const auto &[workspace, request] : m_requests)
        wake = std::min(wake, request.isOwnShare ? request.askedAt : request.askedAt + AnswerTime);
    return wake;
}

} // namespace nutmegtide
