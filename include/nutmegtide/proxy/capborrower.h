#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/proxy/caplender.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace nutmegtide {

// Actions that a CapBorrower requests. An implementation must not call back into the borrower.
class CapBorrowerDelegate
{
public:
    virtual ~CapBorrowerDelegate() = default;

    // Returns whether messages to the process are expected to arrive.
    virtual bool isReachable(const Endpoint &lender) = 0;
    // `reports` tell the lender what others lent, as far as it may not know it. With `wanted` 0
    // the reports are all that is sent, and the answer is passed to answered() too.
    virtual void requestLoan(const Endpoint &lender, const WorkspaceName &workspace,
                             LenderRole role, int wanted,
                             const std::vector<LoanHistory> &reports) = 0;
    // The outcome of borrow().
    virtual void lent(const WorkspaceName &workspace, const CapLoan &loan) = 0;
};

// A process that may lend operations.
struct CapLenderCandidate
{
    Endpoint at;
    FailureDomain failureDomain;

    bool operator==(const CapLenderCandidate &) const = default;
};

// Borrows operations of workspaces with a cap on behalf of an entry proxy. Every entry that knows
// the same candidates asks the same owner. A workspace also has one stand-in in each failure
// domain, the same for all entries. Where the owner can't be reached or doesn't answer in time, the
// stand-ins are asked one after the other, that of the own failure domain first. Where none is
// left, this entry lends itself its own small share of the reserve.
//
// A lender tells with each loan what it lent lately. The borrower passes that on to every other
// lender of the workspace that it asks within a window, so that a new owner counts what the old one
// lent. Where the owner changes, or the connection to it was lost, it passes this on at once with a
// request for no operations, since the next operation may arrive at another entry proxy, which has
// nothing to report.
//
//   CapBorrower borrower(delegate, failureDomain);
//   borrower.setCandidates(candidates);
//   borrower.borrow(workspace, 2, now); // -> CapBorrowerDelegate::lent()
class CapBorrower
{
public:
    CapBorrower(CapBorrowerDelegate &delegate, FailureDomain own)
        : m_delegate(delegate)
        , m_own(std::move(own))
    { }

    // Sets the lenders that are listed now. One that is no longer listed stays a candidate for a
    // while, as long as it can be reached: other entry proxies may have other lists, and go on
    // using it.
    void setCandidates(std::vector<CapLenderCandidate> candidates, TimePoint now);
    // Returns the candidates that are no longer listed.
    std::set<Endpoint> unlistedLenders() const;
    // Sets the caps of which this entry lends itself a share, and the number of entry proxies.
    void setWorkspaces(std::optional<WorkspaceTable> workspaces)
    {
        m_workspaces = std::move(workspaces);
        m_chosen.clear();
    }
    void setRule(const CapRule &rule) { m_rule = rule; }
    void setEntryCount(int count) { m_entryCount = std::max(1, count); }
    // The connection to a lender was lost, so the process may have been restarted.
    void lenderLost(const Endpoint &lender);
    // Returns the workspace's owner, nothing where no lender is known.
    std::optional<Endpoint> ownerOf(const WorkspaceName &workspace, TimePoint now);
    // Returns since when it has been the owner by the candidates of the last window, the earliest
    // time if it was throughout.
    TimePoint ownerSince(const WorkspaceName &workspace, TimePoint now);

    // Requests operations. The outcome is passed to the delegate, not from inside this call.
    void borrow(const WorkspaceName &workspace, int wanted, TimePoint now);
    // The answer to a request. Ignored if it is no longer waited for.
    void answered(const Endpoint &lender, const WorkspaceName &workspace, LenderRole role,
                  const CapLoan &loan, TimePoint now);
    // Turns to the next lender where an answer is overdue or its lender can't be reached any more.
    void tick(TimePoint now);
    // Returns when tick() is due next.
    TimePoint wakeAt() const;

private:
    struct Request
    {
        int wanted = 0;
        LenderRole role = LenderRole::Owner;
        std::size_t nextStandIn = 0; // which of the workspace's stand-ins is tried next
        Endpoint lender;
        TimePoint askedAt;
        bool isOwnShare = false; // nobody is asked; it is settled with the next tick
        bool wasRedirected = false;
    };

    // A lender that is no longer listed.
    struct UnlistedLender
    {
        CapLenderCandidate candidate;
        TimePoint since;
        bool isOpening = false; // it wasn't used before, and a connection to it is being opened
    };

    // The lenders of one workspace.
    struct Lenders
    {
        const CapLenderCandidate *owner = nullptr; // null where there is none
        std::vector<const CapLenderCandidate *> standIns; // in the order in which they are asked
        TimePoint ownerSince {};
    };

    // What is known of the loans of one lender.
    struct KnownLoans
    {
        std::vector<int> lent;
        TimePoint reportedAt;
        std::set<Endpoint> passedOnTo; // lenders that were told it
    };

    // The candidates before a change.
    struct FormerCandidates
    {
        std::vector<Endpoint> lenders;
        TimePoint until;
    };

    const Lenders &lendersOf(const WorkspaceName &workspace);
    TimePoint ownerSince(const WorkspaceName &workspace, const CapLenderCandidate *owner) const;
    std::vector<Endpoint> allLenders() const;
    void noteCandidatesChanged(std::vector<Endpoint> before, TimePoint now);
    void forgetUnlisted(TimePoint now);
    void reportToOwners(TimePoint now);
    bool redirect(const WorkspaceName &workspace, Request &request, const CapLoan &loan,
                  TimePoint now);
    void noteHistory(const Endpoint &lender, const WorkspaceName &workspace,
                     const LoanHistory &history, TimePoint now);
    std::vector<LoanHistory> reportsFor(const Endpoint &lender, const WorkspaceName &workspace,
                                        TimePoint now);
    void forgetOldLoans(TimePoint now);
    void ask(const WorkspaceName &workspace, Request &request, const CapLenderCandidate *lender,
             TimePoint now);
    void askNext(const WorkspaceName &workspace, Request &request, TimePoint now);
    CapLoan takeOwnShare(const WorkspaceName &workspace, int wanted, TimePoint now);

    CapBorrowerDelegate &m_delegate;
    const FailureDomain m_own;
    std::vector<CapLenderCandidate> m_candidates; // listed
    std::map<Endpoint, UnlistedLender> m_unlisted;
    std::deque<FormerCandidates> m_former; // of the last window, the latest one last
    std::map<Endpoint, TimePoint> m_usedAt; // when each lender answered last
    std::set<Endpoint> m_lost; // lenders that haven't answered since their connection was lost
    std::map<WorkspaceName, Lenders> m_chosen; // of m_candidates and m_unlisted
    std::optional<WorkspaceTable> m_workspaces;
    int m_entryCount = 1;
    std::map<WorkspaceName, Request> m_requests;
    CapRule m_rule;
    std::map<WorkspaceName, WindowCounter> m_ownShares; // since no lender can be reached
    std::map<WorkspaceName, std::map<LenderId, KnownLoans>> m_knownLoans;
    std::map<Endpoint, LenderId> m_runs; // the run of each lender that answered last
    // Reports without a request that weren't answered yet.
    std::map<std::pair<Endpoint, WorkspaceName>, int> m_reportsAsked;
    bool m_isReportDue = false; // an owner may not know what others lent
    TimePoint m_reportAt {}; // when an owner that couldn't be reached is tried again
    TimePoint m_forgetAt {};
};

} // namespace nutmegtide
