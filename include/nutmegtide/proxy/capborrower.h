#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/proxy/caplender.h"

#include <algorithm>
#include <map>
#include <vector>

namespace nutmegtide {

// Actions that a CapBorrower requests. An implementation must not call back into the borrower.
class CapBorrowerDelegate
{
public:
    virtual ~CapBorrowerDelegate() = default;

    // Returns whether messages to the process are expected to arrive.
    virtual bool isReachable(const Endpoint &lender) = 0;
    virtual void requestLoan(const Endpoint &lender, const WorkspaceName &workspace,
                             LenderRole role, int wanted) = 0;
    // The outcome of borrow().
    virtual void lent(const WorkspaceName &workspace, const CapLoan &loan) = 0;
};

// A process that may lend operations.
struct CapLenderCandidate
{
    Endpoint at;
    bool isOwnDomain = false; // it is in the failure domain of this process

    bool operator==(const CapLenderCandidate &) const = default;
};

// Borrows operations of workspaces with a cap on behalf of an entry proxy. Every entry that knows
// the same candidates asks the same owner. Where the owner can't be reached or doesn't answer in
// time, the stand-in in the own failure domain is asked, and where there is none, this entry lends
// itself its own small share of the cap.
//
//   borrower.setCandidates(candidates);
//   borrower.borrow(workspace, 2, now); // -> CapBorrowerDelegate::lent()
class CapBorrower
{
public:
    explicit CapBorrower(CapBorrowerDelegate &delegate)
        : m_delegate(delegate)
    { }

    void setCandidates(std::vector<CapLenderCandidate> candidates)
    {
        m_candidates = std::move(candidates);
        m_chosen.clear();
    }
    // Sets the caps of which this entry lends itself a share, and the number of entry proxies.
    void setWorkspaces(std::optional<WorkspaceTable> workspaces)
    {
        m_workspaces = std::move(workspaces);
        m_chosen.clear();
    }
    void setRule(const CapRule &rule) { m_rule = rule; }
    void setEntryCount(int count) { m_entryCount = std::max(1, count); }

    // Requests operations. The outcome is passed to the delegate, not from inside this call.
    void borrow(const WorkspaceName &workspace, int wanted, TimePoint now);
    // The answer to a request. Ignored if it is no longer waited for.
    void answered(const Endpoint &lender, const WorkspaceName &workspace, LenderRole role,
                  const CapLoan &loan);
    // Turns to the next lender where an answer is overdue or its lender can't be reached any more.
    void tick(TimePoint now);
    // Returns when tick() is due next.
    TimePoint wakeAt() const;

private:
    struct Request
    {
        int wanted = 0;
        LenderRole role = LenderRole::Owner;
        Endpoint lender;
        TimePoint askedAt;
        bool isOwnShare = false; // nobody is asked; it is settled with the next tick
    };

    // The lenders of one workspace; null where there is none.
    struct Lenders
    {
        const CapLenderCandidate *owner = nullptr;
        const CapLenderCandidate *standIn = nullptr;
    };

    const Lenders &lendersOf(const WorkspaceName &workspace);
    void ask(const WorkspaceName &workspace, Request &request, const CapLenderCandidate *lender,
             TimePoint now);
    void askNext(const WorkspaceName &workspace, Request &request, TimePoint now);
    CapLoan takeOwnShare(const WorkspaceName &workspace, int wanted, TimePoint now);

    CapBorrowerDelegate &m_delegate;
    std::vector<CapLenderCandidate> m_candidates;
    std::map<WorkspaceName, Lenders> m_chosen; // of m_candidates
    std::optional<WorkspaceTable> m_workspaces;
    int m_entryCount = 1;
    std::map<WorkspaceName, Request> m_requests;
    CapRule m_rule;
    std::map<WorkspaceName, WindowCounter> m_ownShares; // since no lender can be reached
};

} // namespace nutmegtide
