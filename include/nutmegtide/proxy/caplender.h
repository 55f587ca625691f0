#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/workspaces.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace nutmegtide {

// A loan that its operation didn't use may be used by another operation for so long.
constexpr Duration UnusedLoanTime = 50ms;

// How a cap is counted: in any span of `window`, a workspace may start
// (perSecond x window + burst) x (1 + overage) + slack operations.
struct CapRule
{
    std::chrono::milliseconds window {5000};
    double overage = 0; // share of the cap
    double slack = 0; // operations

    // Returns the operations that the cap allows in one window.
    double allowance(const OperationCap &cap) const
    {
        const double seconds = std::chrono::duration<double>(window).count();
        return (cap.perSecond * seconds + cap.burst) * (1 + overage) + slack;
    }
    bool operator==(const CapRule &) const = default;
};

// Identifies one run of a process that lends operations; a restarted process has another one.
using LenderId = std::int64_t;

// What a lender lent of one workspace in the last window, by age: the first entry is what was lent
// in the latest tenth of the window. Trailing zeros are left out.
struct LoanHistory
{
    static constexpr int Spans = 10;

    LenderId lender = 0;
    std::vector<int> lent;
    Duration age {}; // time since the lender reported it

    bool operator==(const LoanHistory &) const = default;
};

// The answer to a request for operations.
struct CapLoan
{
    int granted = 0;
    Duration retryAfter {}; // with fewer than asked for: when the next one will be there
    LoanHistory history {}; // of the lender, with this loan; empty from a lender of an older version
    bool isUnable = false; // the lender doesn't know the workspace; another one may
    // Another process, which is the workspace's owner as far as the lender knows.
    std::optional<Endpoint> owner {};

    bool operator==(const CapLoan &) const = default;
};

// Counts what was lent in the last window, so that no window has more than the limit.
//
// The process that lent before may have lent the whole limit just before the count began. So within
// its first window the counter gives out no more than the limit's share of the time since then, and
// `first` operations.
class WindowCounter
{
public:
    WindowCounter(double first, TimePoint now)
        : m_first(first)
        , m_startedAt(now)
    { }

    // Lends up to `wanted` operations of the limit.
    CapLoan lend(int wanted, double limit, Duration window, TimePoint now)
    {
        return lend(wanted, limit, limit, window, now);
    }
    // Of `part`, the limit is what known loans of others leave. Loans of others that aren't known
    // are covered by the increase of the part over the first window, known ones aren't counted twice.
    CapLoan lend(int wanted, double limit, double part, Duration window, TimePoint now);
    // Begins the first window again, unless it began later. What was taken stays counted.
    void beginFirstWindow(TimePoint at) { m_startedAt = std::max(m_startedAt, at); }
    // Returns whether a new counter would allow no more than this one.
    bool isUnused(Duration window, TimePoint now) const;
    // Returns what was lent in the last window, by age; see LoanHistory.
    std::vector<int> history(Duration window, TimePoint now) const;

private:
    struct Bin
    {
        TimePoint startsAt;
        int taken = 0;
    };

    int take(int wanted, double limit, double part, Duration window, TimePoint now);
    // Returns how long it takes until the next operation may be taken.
    Duration timeToNext(double limit, Duration window, TimePoint now) const;
    void expire(Duration window, TimePoint now);

    double m_first;
    TimePoint m_startedAt;
    std::deque<Bin> m_bins; // the latest one is last
    int m_inWindow = 0;
};

// As what a process is asked for operations of a workspace.
enum class LenderRole {
    Owner, // the one process that lends the workspace's cap
    StandIn, // one of each failure domain, for entry proxies that don't reach the owner
};

// What a lender knows of a workspace's owner. It decides how much the lender gives, whatever it was
// asked as: entry proxies with different lists of lenders would otherwise make several owners.
enum class OwnerState {
    Self, // this process is the owner
    Reachable, // another one, which may be lending too
    Unreachable, // another one
};

// Divides a workspace's allowance between those that may lend at the same time.
//
// The owner has what the cap itself allows and half of the overage and slack. The other half is the
// reserve: stand-ins lend it while the owner may be lending too, for entry proxies that it doesn't
// answer in time, and entry proxies that reach no lender lend it to themselves. All parts together
// are one allowance.
struct AllowanceParts
{
    double owner = 0; // where all failure domains are there
    double standIns = 0; // of all failure domains together
    double self = 0; // of all entry proxies together
};
AllowanceParts divideAllowance(const CapRule &rule, const OperationCap &cap);

// Lends the operations of workspaces with a cap to entry proxies, which start an operation only
// with a loan. A loan is given after its operation arrived and before it runs, so no window has
// more operations that arrive and run in it than loans.
//
// The owner lends its part of the allowance while all failure domains are there. A domain that
// isn't may have an owner of its own, which knows only that domain: each side lends the share of
// the domains that it knows. A stand-in lends its domain's part of the reserve. Once it can't reach
// the owner either, it lends its domain's share of what the owner hadn't lent by the latest report.
//
// A loan counts until it has left the window, whoever gave it: entry proxies report what they know
// of other lenders, and a lender gives only what these leave. So an owner that replaces another one
// goes on where that one ended. A lender that has just begun also increases what it gives from
// little to its limit over one window, since reports may be missing. Without any report it gives
// only the reserve for the first window in which failure domains are missing or the owner can't be
// reached, as the other side may have lent all just before.
//
// State is kept only for workspaces that were lent something in the last window.
//
//   lender.setWorkspaces(table);
//   lender.setDomains(3, 4); // of four failure domains, one is missing
//   lender.noteReported(workspace, history, now);
//   const CapLoan loan = lender.lend(workspace, OwnerState::Self, 2, now);
class CapLender
{
public:
    explicit CapLender(LenderId self = 0)
        : m_self(self)
    { }

    void setWorkspaces(std::optional<WorkspaceTable> workspaces)
    {
        m_workspaces = std::move(workspaces);
    }
    // Sets how many failure domains are there, of those that were there lately.
    void setDomains(int present, int all);
    void setRule(const CapRule &rule) { m_rule = rule; }
    // Counts what another lender lent, as an entry proxy knows it.
    void noteReported(const WorkspaceName &workspace, const LoanHistory &history, TimePoint now);
    // `ownerSince` is the time at which this process became the owner, if it is.
    CapLoan lend(const WorkspaceName &workspace, OwnerState owner, int wanted, TimePoint now,
                 TimePoint ownerSince = TimePoint());
    // Forgets the workspaces that have not been used for a window.
    void forgetUnused(TimePoint now);
    std::size_t counterCount() const { return m_accounts.size(); }
    // Returns how many requests had only the reserve to get, for want of a report.
    std::uint64_t uninformedCount() const { return m_uninformed; }

private:
    // What another lender lent.
    struct Reported
    {
        std::vector<int> lent;
        TimePoint takenAt;
    };
    // What was lent of one workspace.
    struct Account
    {
        WindowCounter own;
        std::map<LenderId, Reported> others;
        std::optional<TimePoint> reportedAt {}; // when the latest report was taken
        // Since when the owner couldn't be reached, as far as requests showed it.
        std::optional<TimePoint> unreachableSince {};
        TimePoint ownerSince {}; // the earliest time if it is for longer than a window
    };
    struct Limit
    {
        double part = 0;
        double left = 0; // by known loans of others
        bool isUninformed = false; // only the reserve, for want of a report
    };

    Account &accountOf(const WorkspaceName &workspace, const OperationCap &cap, TimePoint now);
    int lentByOthers(const Account &account, TimePoint now) const;
    bool isUninformed(const Account &account, TimePoint since, TimePoint now) const;
    Limit limitOf(const OperationCap &cap, OwnerState owner, const Account &account,
                  TimePoint now) const;

    const LenderId m_self;
    CapRule m_rule;
    std::optional<WorkspaceTable> m_workspaces;
    int m_presentDomains = 1;
    int m_allDomains = 1;
    std::map<WorkspaceName, Account> m_accounts;
    std::uint64_t m_uninformed = 0;
};

} // namespace nutmegtide
