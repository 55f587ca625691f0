// Tries every order of events around one workspace with a cap: its owner, the lender that comes
// after it, and two entry proxies that borrow.
#include "nutmegtide/fleet/placement.h"
#include "nutmegtide/proxy/capborrower.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace nutmegtide;

namespace {

const WorkspaceName Casks("casks");
const OperationCap Cap {2, 2};
const OperationCap LoweredCap {1, 1};
const CapRule Rule {5000ms, 0.1, 2};
constexpr Duration StepTime = 500ms;
constexpr int Wanted = 8; // operations that an entry asks for at once

// What may happen in one step.
enum class Event {
    FirstBorrows,
    SecondBorrows,
    FirstLosesOwner, // its list of lenders has the owner no more
    BothLoseOwner, // all lists have it no more, and it goes on
    Cut, // the owner and the second entry from the first entry and the other lender
    Heal,
    Restart, // of the owner
    Pause,
    LowerCap, // of all processes
};
constexpr int EventCount = static_cast<int>(Event::LowerCap) + 1;
constexpr int EventCountWithoutCap = static_cast<int>(Event::Pause) + 1;

// Two lenders and two entry proxies, whose messages arrive at once or not at all.
class Fleet
{
public:
    Fleet()
    {
        const bool isFirst = placementWeight(Casks.text(), toString(m_at[0]))
                > placementWeight(Casks.text(), toString(m_at[1]));
        m_owner = isFirst ? 0 : 1;
        for (int lender = 0; lender < 2; ++lender)
            start(lender);
        for (int node = 0; node < NodeCount; ++node) {
            m_nodes[node].fleet = this;
            m_nodes[node].number = node;
            startBorrower(node);
            list(node, true);
        }
        // The lenders have been there for longer than a window, so none begins with little.
        for (int lender = 0; lender < 2; ++lender)
            m_lenders[lender]->lend(Casks, OwnerState::Self, 0, m_now);
        m_now += 2 * Rule.window;
    }
    void happen(Event event)
    {
        switch (event) {
        case Event::FirstBorrows:
            borrow(FirstEntry);
            break;
        case Event::SecondBorrows:
            borrow(SecondEntry);
            break;
        case Event::FirstLosesOwner:
            list(FirstEntry, false);
            break;
        case Event::BothLoseOwner:
            for (int node = 0; node < NodeCount; ++node)
                list(node, false);
            break;
        case Event::Cut:
        case Event::Heal:
            setCut(event == Event::Cut);
            break;
        case Event::Restart:
            start(m_owner);
            startBorrower(m_owner);
            list(m_owner, m_isListed[m_owner]);
            for (const auto &borrower : m_borrowers)
                borrower->lenderLost(m_at[m_owner]);
            break;
        case Event::Pause:
            m_now += Rule.window / 2;
            break;
        case Event::LowerCap:
            m_cap = LoweredCap;
            m_loweredAt = m_now;
            for (const auto &lender : m_lenders)
                lender->setWorkspaces(tableOf());
            for (const auto &borrower : m_borrowers)
                borrower->setWorkspaces(tableOf());
            break;
        }
        pass(StepTime);
    }
    // Lets the entries borrow one operation each in turn, and returns how many were granted.
    int borrowEvenly(Duration gap, int count)
    {
        const int before = granted();
        for (int i = 0; i < count; ++i) {
            borrow(i % 2 == 0 ? FirstEntry : SecondEntry, 1);
            pass(gap);
        }
        return granted() - before;
    }
    void pass(Duration time)
    {
        m_now += time;
        for (const auto &borrower : m_borrowers)
            borrower->tick(m_now);
        deliverReports();
    }
    // A lowered cap is checked in the spans that begin after it.
    bool isWithinAllowance() const
    {
        return mostInWindow() <= Rule.allowance(Cap)
                && (!m_loweredAt || mostInWindow(*m_loweredAt) <= Rule.allowance(LoweredCap));
    }
    int mostInWindow(TimePoint from = {}) const
    {
        int most = 0;
        for (std::size_t first = 0; first < m_granted.size(); ++first) {
            if (m_granted[first].first < from)
                continue;
            int sum = 0;
            for (std::size_t i = first;
                 i < m_granted.size() && m_granted[i].first - m_granted[first].first <= Rule.window;
                 ++i)
                sum += m_granted[i].second;
            most = std::max(most, sum);
        }
        return most;
    }
    int granted() const
    {
        int sum = 0;
        for (const auto &[at, count] : m_granted)
            sum += count;
        return sum;
    }

private:
    // Each lender is an entry proxy too, and knows by that who the owner is.
    static constexpr int FirstEntry = 2;
    static constexpr int SecondEntry = 3;
    static constexpr int NodeCount = 4;

    struct Node : CapBorrowerDelegate
    {
        Fleet *fleet = nullptr;
        int number = 0;

        bool isReachable(const Endpoint &lender) override { return fleet->reaches(number, lender); }
        void requestLoan(const Endpoint &lender, const WorkspaceName & /*workspace*/,
                         LenderRole role, int wanted,
                         const std::vector<LoanHistory> &reports) override
        {
            const Request request {lender, role, wanted, reports};
            if (wanted == 0)
                fleet->m_reports.emplace_back(number, request);
            else
                fleet->m_request = request;
        }
        void lent(const WorkspaceName & /*workspace*/, const CapLoan &loan) override
        {
            if (loan.granted > 0)
                fleet->m_granted.emplace_back(fleet->m_now, loan.granted);
            fleet->m_isSettled = true;
        }
    };
    struct Request
    {
        Endpoint lender;
        LenderRole role = LenderRole::Owner;
        int wanted = 0;
        std::vector<LoanHistory> reports;
    };

    WorkspaceTable tableOf() const
    {
        WorkspaceTable table;
        table.add({Casks, 1, m_cap}, {});
        return table;
    }
    void startBorrower(int node)
    {
        m_borrowers[node] = std::make_unique<CapBorrower>(m_nodes[node], FailureDomain("d"));
        m_borrowers[node]->setWorkspaces(tableOf());
        m_borrowers[node]->setRule(Rule);
        m_borrowers[node]->setEntryCount(2);
    }
    void start(int lender)
    {
        m_lenders[lender] = std::make_unique<CapLender>(++m_lastRun);
        m_lenders[lender]->setWorkspaces(tableOf());
        m_lenders[lender]->setRule(Rule);
        setDomains(lender);
    }
    void setDomains(int lender) { m_lenders[lender]->setDomains(m_isCut ? 1 : 2, 2); }
    void setCut(bool isCut)
    {
        m_isCut = isCut;
        for (int lender = 0; lender < 2; ++lender)
            setDomains(lender);
        for (const auto &borrower : m_borrowers) {
            for (const Endpoint &at : m_at)
                borrower->lenderLost(at);
        }
    }
    void list(int node, bool isOwnerListed)
    {
        m_isListed[node] = isOwnerListed;
        std::vector<CapLenderCandidate> candidates {{m_at[1 - m_owner], FailureDomain("other")}};
        if (isOwnerListed)
            candidates.push_back({m_at[m_owner], FailureDomain("d")});
        m_borrowers[node]->setCandidates(candidates, m_now);
    }
    bool isOnOwnersSide(int node) const { return node == m_owner || node == SecondEntry; }
    bool reaches(int node, const Endpoint &lender) const
    {
        const int other = lender == m_at[0] ? 0 : 1;
        return !m_isCut || isOnOwnersSide(node) == isOnOwnersSide(other);
    }
    void borrow(int node, int wanted = Wanted)
    {
        m_request.reset();
        m_isSettled = false;
        m_borrowers[node]->borrow(Casks, wanted, m_now);
        while (!m_isSettled && m_request) {
            const Request request = *std::exchange(m_request, std::nullopt);
            m_borrowers[node]->answered(request.lender, Casks, request.role, answerTo(request),
                                        m_now);
        }
        m_borrowers[node]->tick(m_now);
    }
    // Reports without a request arrive like any other message.
    void deliverReports()
    {
        for (const auto &[node, report] : std::exchange(m_reports, {}))
            m_borrowers[node]->answered(report.lender, Casks, report.role, answerTo(report), m_now);
    }
    CapLoan answerTo(const Request &request)
    {
        const int lender = request.lender == m_at[0] ? 0 : 1;
        for (const LoanHistory &report : request.reports)
            m_lenders[lender]->noteReported(Casks, report, m_now);
        const auto owner = m_borrowers[lender]->ownerOf(Casks, m_now);
        OwnerState state = OwnerState::Self;
        if (!owner || *owner != m_at[lender])
            state = owner && reaches(lender, *owner) ? OwnerState::Reachable
                                                     : OwnerState::Unreachable;
        CapLoan loan = m_lenders[lender]->lend(Casks, state, request.wanted, m_now,
                                               m_borrowers[lender]->ownerSince(Casks, m_now));
        if (state == OwnerState::Reachable)
            loan.owner = owner;
        return loan;
    }

    const std::array<Endpoint, 2> m_at {Endpoint {"10.0.0.1", 1}, Endpoint {"10.0.0.2", 1}};
    std::array<std::unique_ptr<CapLender>, 2> m_lenders;
    std::array<Node, NodeCount> m_nodes;
    std::array<std::unique_ptr<CapBorrower>, NodeCount> m_borrowers; // by node
    std::array<bool, NodeCount> m_isListed {}; // whether the node's list has the owner
    OperationCap m_cap = Cap;
    std::optional<TimePoint> m_loweredAt;
    std::vector<std::pair<TimePoint, int>> m_granted;
    std::optional<Request> m_request;
    std::vector<std::pair<int, Request>> m_reports; // sent without a request, by node
    TimePoint m_now {100s};
    LenderId m_lastRun = 0;
    int m_owner = 0;
    bool m_isCut = false;
    bool m_isSettled = false;
};

// Returns the order with this number, whose digits are the events.
std::vector<Event> eventsOf(int order, int length, int kinds)
{
    std::vector<Event> events;
    for (int i = 0; i < length; ++i, order /= kinds)
        events.push_back(static_cast<Event>(order % kinds));
    return events;
}

// Returns whether each kind of change happens at most once.
bool hasChangesOnce(const std::vector<Event> &events)
{
    const Event changes[] = {Event::FirstLosesOwner, Event::BothLoseOwner, Event::Cut, Event::Heal,
                             Event::Restart,         Event::LowerCap};
    return std::all_of(std::begin(changes), std::end(changes), [&events](Event change) {
        return std::count(events.begin(), events.end(), change) <= 1;
    });
}

std::string textOf(const std::vector<Event> &events)
{
    std::string text;
    for (const Event event : events)
        text += std::to_string(static_cast<int>(event));
    return text;
}

} // namespace

// Guards against two lenders that give the cap twice while lists, links and processes change, and
// against one that goes on by a cap that was lowered.
TEST_CASE("no order of events lets a window have more than the allowance of a cap")
{
    constexpr int Length = 5; // events
    for (const int kinds : {EventCountWithoutCap, EventCount}) {
        int orders = 1;
        for (int i = 0; i < Length; ++i)
            orders *= kinds;
        int broken = 0;
        int tried = 0;
        int granted = 0;
        std::string example;
        for (int order = 0; order < orders; ++order) {
            const std::vector<Event> events = eventsOf(order, Length, kinds);
            if (!hasChangesOnce(events))
                continue;
            ++tried;
            Fleet fleet;
            for (const Event event : events)
                fleet.happen(event);
            granted += fleet.granted();
            if (fleet.isWithinAllowance())
                continue;
            if (++broken == 1)
                example = textOf(events) + ": " + std::to_string(fleet.mostInWindow());
        }
        CAPTURE(example);
        CAPTURE(tried);
        CHECK(broken == 0);
        CHECK(granted > 0);
        CHECK(tried == (kinds == EventCount ? 27'693 : 14'988));
    }
}

// Guards against rules that refuse a workspace below its cap where no process or link fails: the
// owner goes on for 10 s after the lists lost it, and another one replaces it then.
TEST_CASE("a workspace at 0.8 of its cap is admitted while the lists lose its owner")
{
    constexpr Duration Gap = 625ms; // 1.6/s
    for (const Event change : {Event::Pause, Event::FirstLosesOwner, Event::BothLoseOwner}) {
        CAPTURE(static_cast<int>(change));
        Fleet fleet;
        CHECK(fleet.borrowEvenly(Gap, 16) == 16);
        fleet.happen(change);
        constexpr int Count = 48; // 30 s
        CHECK(fleet.borrowEvenly(Gap, Count) >= 0.995 * Count);
        CHECK(fleet.isWithinAllowance());
    }
}
