#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/workspaces.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace nutmegtide {

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

// The answer to a request for operations.
struct CapLoan
{
    int granted = 0;
    Duration retryAfter {}; // with fewer than asked for: when the next one will be there

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
    CapLoan lend(int wanted, double limit, Duration window, TimePoint now);
    // Returns whether a new counter would allow no more than this one.
    bool isUnused(Duration window, TimePoint now) const;

private:
    struct Bin
    {
        TimePoint startsAt;
        int taken = 0;
    };

    int take(int wanted, double limit, Duration window, TimePoint now);
    // Returns how long it takes until the next operation may be taken.
    Duration timeToNext(double limit, Duration window, TimePoint now) const;
    void expire(Duration window, TimePoint now);

    double m_first;
    TimePoint m_startedAt;
    std::deque<Bin> m_bins; // the latest one is last
    int m_inWindow = 0;
};

// Who lends operations of a workspace.
enum class LenderRole {
    Owner, // the one process that lends the workspace's cap
    StandIn, // one of each failure domain, for entry proxies that don't reach the owner
};

// Lends the operations of workspaces with a cap to entry proxies, which start an operation only
// with a loan. A loan is given after its operation arrived and before it runs, so no window has
// more operations that arrive and run in it than loans.
//
// The owner lends the whole cap while all failure domains are there. A domain that isn't may have
// an owner of its own, which knows only that domain: each side lends the share of the domains that
// it knows, and all shares together are one cap. A stand-in lends the share of one domain.
//
// State is kept only for workspaces that were lent something in the last window.
//
//   lender.setWorkspaces(table);
//   lender.setDomains(3, 4); // of four failure domains, one is missing
//   const CapLoan loan = lender.lend(workspace, LenderRole::Owner, 2, now);
class CapLender
{
public:
    void setWorkspaces(std::optional<WorkspaceTable> workspaces)
    {
        m_workspaces = std::move(workspaces);
    }
    // Sets how many failure domains are there, of those that were there lately.
    void setDomains(int present, int all);
    void setRule(const CapRule &rule) { m_rule = rule; }
    CapLoan lend(const WorkspaceName &workspace, LenderRole role, int wanted, TimePoint now);
    // Forgets the workspaces that have not been used for a window.
    void forgetUnused(TimePoint now);
    std::size_t counterCount() const { return m_counters.size(); }

private:
    double shareOf(LenderRole role) const;

    CapRule m_rule;
    std::optional<WorkspaceTable> m_workspaces;
    int m_presentDomains = 1;
    int m_allDomains = 1;
    std::map<std::pair<WorkspaceName, LenderRole>, WindowCounter> m_counters;
};

} // namespace nutmegtide
