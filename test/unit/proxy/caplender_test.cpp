#include "nutmegtide/proxy/caplender.h"

#include <doctest/doctest.h>

#include <random>

using namespace nutmegtide;

namespace {

const WorkspaceName Small("small");
const WorkspaceName Uncapped("uncapped");

WorkspaceTable tableOf(const OperationCap &cap)
{
    WorkspaceTable table;
    table.add({Small, 1, cap}, {});
    table.add({Uncapped, 1, {}}, {});
    return table;
}

} // namespace

TEST_CASE("a window has its limit, and what leaves it may be taken again")
{
    WindowCounter counter(0, TimePoint(1s));
    CHECK(counter.lend(50, 20, 5s, TimePoint(2s)).granted
          == 4); // a fifth of the first window has passed
    CHECK(counter.lend(50, 20, 5s, TimePoint(6s)).granted == 16);
    CHECK(counter.lend(1, 20, 5s, TimePoint(6900ms)) == CapLoan {0, 200ms});
    CHECK(counter.lend(50, 20, 5s, TimePoint(7150ms)).granted == 4);
    CHECK_FALSE(counter.isUnused(5s, TimePoint(12s)));
    CHECK(counter.isUnused(5s, TimePoint(13s)));
}

TEST_CASE("the allowance of a window has the overage and the slack")
{
    const CapRule rule {5000ms, 0.1, 20};
    CHECK(rule.allowance({30, 30}) == doctest::Approx(218));
    CHECK(CapRule().allowance({30, 30}) == doctest::Approx(180));
}

// A process that was just restarted knows no caps. It lent all that entry proxies asked for.
TEST_CASE(
        "a workspace without a cap is lent all it wants, and one that isn't known is lent nothing")
{
    CapLender lender;
    CHECK(lender.lend(Small, OwnerState::Self, 5, TimePoint(1s)).isUnable);
    lender.setWorkspaces(tableOf({1, 1}));
    CHECK(lender.lend(Uncapped, OwnerState::Self, 500, TimePoint(1s)).granted == 500);
    const CapLoan unknown = lender.lend(WorkspaceName("newer"), OwnerState::Self, 5, TimePoint(1s));
    CHECK(unknown.isUnable);
    CHECK(unknown.granted == 0);
    CHECK(lender.counterCount() == 0);
}

TEST_CASE("what isn't lent comes with the time at which to ask again")
{
    CapLender lender;
    lender.setWorkspaces(tableOf({1, 0}));
    CHECK(lender.lend(Small, OwnerState::Self, 1, TimePoint(1s)).granted == 1);
    CHECK(lender.lend(Small, OwnerState::Self, 9, TimePoint(7s)).granted == 5);
    const CapLoan refused = lender.lend(Small, OwnerState::Self, 1, TimePoint(8s));
    CHECK(refused.granted == 0);
    CHECK(refused.retryAfter == 4100ms);
}

// The rule of a cap lowered far below the use: it binds at once.
TEST_CASE("a lowered cap counts what was lent before")
{
    CapLender lender;
    lender.setWorkspaces(tableOf({100, 100}));
    lender.lend(Small, OwnerState::Self, 1, TimePoint(1s));
    CHECK(lender.lend(Small, OwnerState::Self, 100, TimePoint(10s)).granted == 100);
    lender.setWorkspaces(tableOf({2, 2}));
    CHECK(lender.lend(Small, OwnerState::Self, 1, TimePoint(14s)).granted == 0);
    CHECK(lender.lend(Small, OwnerState::Self, 100, TimePoint(16s)).granted == 12);
}

TEST_CASE("the shares of both sides of a cut and of the stand-ins are one cap each")
{
    constexpr int Domains = 4;
    const OperationCap cap {100, 100};
    for (int reached = 1; reached < Domains; ++reached) {
        CAPTURE(reached);
        CapLender sides[2];
        int granted = 0;
        for (int side = 0; side < 2; ++side) {
            sides[side].setWorkspaces(tableOf(cap));
            sides[side].setDomains(side == 0 ? reached : Domains - reached, Domains);
            for (TimePoint now(1s); now < TimePoint(11s); now += 10ms)
                granted += sides[side].lend(Small, OwnerState::Self, 100, now).granted;
        }
        CHECK(granted <= 2 * CapRule().allowance(cap)); // two windows
        CHECK(granted >= 9.8 * cap.perSecond);
    }
    int granted = 0;
    for (int domain = 0; domain < Domains; ++domain) {
        CapLender standIn;
        standIn.setWorkspaces(tableOf(cap));
        standIn.setDomains(Domains, Domains);
        for (TimePoint now(1s); now < TimePoint(11s); now += 10ms)
            granted += standIn.lend(Small, OwnerState::Unreachable, 100, now).granted;
    }
    CHECK(granted <= 2 * CapRule().allowance(cap));
}

TEST_CASE("no window has more operations than the cap allows")
{
    std::mt19937 generator(7);
    const OperationCap cap {20, 15};
    CapLender lender;
    lender.setWorkspaces(tableOf(cap));
    std::vector<std::pair<TimePoint, int>> granted;
    TimePoint now(1s);
    for (int step = 0; step < 3000; ++step) {
        now += std::chrono::milliseconds(generator() % 40);
        if (step % 200 == 0)
            lender.forgetUnused(now += 2s);
        const int wanted = static_cast<int>(generator() % 6);
        granted.emplace_back(now, lender.lend(Small, OwnerState::Self, wanted, now).granted);
    }
    for (std::size_t first = 0; first < granted.size(); first += 7) {
        int sum = 0;
        for (std::size_t i = first;
             i < granted.size() && granted[i].first - granted[first].first <= 5s; ++i)
            sum += granted[i].second;
        CHECK(sum <= CapRule().allowance(cap));
    }
}

TEST_CASE("the parts of the owner, the stand-ins and the entry proxies are one allowance")
{
    for (const OperationCap cap : {OperationCap {30, 30}, OperationCap {0.5, 1}}) {
        const CapRule rule {5000ms, 0.1, 20};
        const AllowanceParts parts = divideAllowance(rule, cap);
        CHECK(parts.owner + parts.standIns + parts.self == doctest::Approx(rule.allowance(cap)));
        CHECK(parts.owner >= cap.perSecond * 5 + cap.burst);
    }
}

// Guards against an owner that starts anew where its predecessor has lent all of the cap.
TEST_CASE("a new owner gives only what the reported loans of the one before leave")
{
    const OperationCap cap {100, 100};
    CapLender before(1);
    CapLender after(2);
    for (CapLender *lender : {&before, &after})
        lender->setWorkspaces(tableOf(cap));
    before.lend(Small, OwnerState::Self, 1, TimePoint(1s));
    CapLoan last = before.lend(Small, OwnerState::Self, 400, TimePoint(10s));
    CHECK(last.granted == 400);
    CHECK(last.history == LoanHistory {1, {400}, {}});
    last.history.age = 100ms;
    after.noteReported(Small, last.history, TimePoint(10100ms));
    int granted = 0;
    for (TimePoint now(10200ms); now < TimePoint(15s); now += 10ms)
        granted += after.lend(Small, OwnerState::Self, 50, now).granted;
    CHECK(granted <= 200);
    CHECK(granted >= 195);
    CHECK(after.lend(Small, OwnerState::Self, 500, TimePoint(15200ms)).granted >= 395);
    // What it lent itself may be reported to it by an entry proxy, and doesn't count twice.
    const CapLoan own = before.lend(Small, OwnerState::Self, 1, TimePoint(20s));
    before.noteReported(Small, own.history, TimePoint(20s));
    CHECK(before.lend(Small, OwnerState::Self, 599, TimePoint(20s)).granted == 599);
}

// Guards against lending twice while the owner answers some entry proxies and not others.
TEST_CASE("stand-ins beside an owner that they reach give no more than the reserve")
{
    const OperationCap cap {100, 100};
    const CapRule rule {5000ms, 0.1, 20};
    int granted = 0;
    for (int domain = 0; domain < 4; ++domain) {
        CapLender standIn(domain + 1);
        standIn.setRule(rule);
        standIn.setDomains(4, 4);
        standIn.setWorkspaces(tableOf(cap));
        for (TimePoint now(1s); now < TimePoint(6s); now += 10ms)
            granted += standIn.lend(Small, OwnerState::Reachable, 5, now).granted;
    }
    CHECK(granted <= divideAllowance(rule, cap).standIns);
    CHECK(granted >= divideAllowance(rule, cap).standIns - 4);
}

// Sends single operations at random moments of this mean rate and returns the share admitted.
template <typename Lend>
double admittedShare(double perSecond, TimePoint from, TimePoint to, std::mt19937 &generator,
                     Lend lend)
{
    std::exponential_distribution<> gap(perSecond);
    int asked = 0;
    int granted = 0;
    TimePoint now = from;
    while (true) {
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(generator)));
        if (now >= to)
            return static_cast<double>(granted) / asked;
        ++asked;
        granted += lend(now);
    }
}

// Guards against a rule that bounds a new owner so far that it refuses a workspace below its cap.
TEST_CASE("0.995 of a load of 0.8 of the cap is admitted, also when the owner changes")
{
    const CapRule rule {5000ms, 0.1, 20};
    for (const OperationCap cap :
         {OperationCap {100, 100}, OperationCap {30, 30}, OperationCap {2, 5}}) {
        CAPTURE(cap.perSecond);
        double steady = 0;
        double changed = 0;
        constexpr int Runs = 20;
        for (unsigned seed = 1; seed <= Runs; ++seed) {
            std::mt19937 generator(seed);
            CapLender before(1);
            CapLender after(2);
            for (CapLender *lender : {&before, &after}) {
                lender->setWorkspaces(tableOf(cap));
                lender->setRule(rule);
            }
            const double load = 0.8 * cap.perSecond;
            LoanHistory last;
            const auto lendBefore = [&](TimePoint now) {
                const CapLoan loan = before.lend(Small, OwnerState::Self, 1, now);
                last = loan.history;
                last.age = TimePoint(30s) - now; // when the owner changes
                return loan.granted;
            };
            steady += admittedShare(load, TimePoint(10s), TimePoint(30s), generator, lendBefore);
            after.noteReported(Small, last, TimePoint(30s));
            changed += admittedShare(load, TimePoint(30s), TimePoint(35s), generator,
                                     [&](TimePoint now) {
                                         return after
                                                 .lend(Small, OwnerState::Self, 1, now,
                                                       TimePoint(30s))
                                                 .granted;
                                     });
        }
        CHECK(steady / Runs >= 0.995);
        CHECK(changed / Runs >= 0.995);
        MESSAGE("admitted at " << cap.perSecond << "/s: " << steady / Runs << ", after a change "
                               << changed / Runs);
    }
}

// Guards against a failure domain that is cut off and refuses a large workspace that is known to be
// below its cap; without a report the other side may have lent all just before.
TEST_CASE("a stand-in that lost the owner lends its domain's share with a report, and the reserve "
          "without")
{
    const OperationCap cap {400, 400};
    const CapRule rule {5000ms, 0.1, 20};
    std::mt19937 generator(3);
    for (const bool isReported : {true, false}) {
        CAPTURE(isReported);
        CapLender standIn(2);
        standIn.setWorkspaces(tableOf(cap));
        standIn.setRule(rule);
        standIn.setDomains(1, 4);
        if (isReported)
            standIn.noteReported(Small, {1, std::vector<int>(10, 160), 500ms}, TimePoint(10s));
        const auto lend = [&](TimePoint now) {
            return standIn.lend(Small, OwnerState::Unreachable, 1, now).granted;
        };
        const double share = admittedShare(80, TimePoint(10s), TimePoint(15s), generator, lend);
        MESSAGE("admitted in the first window of a cut: " << share);
        if (isReported)
            CHECK(share >= 0.995);
        else
            CHECK(share * 400 <= divideAllowance(rule, cap).standIns / 4 * 1.1);
        CHECK(admittedShare(80, TimePoint(16s), TimePoint(26s), generator, lend) >= 0.995);
    }
}

// Guards against a second owner on the other side of a cut that begins with that side's whole share.
TEST_CASE("an owner that is new in a cut lends the reserve until a report or a window has come")
{
    const OperationCap cap {100, 100};
    const CapRule rule {5000ms, 0.1, 20};
    CapLender lender(2);
    lender.setWorkspaces(tableOf(cap));
    lender.setRule(rule);
    lender.setDomains(1, 2);
    const double reserve = divideAllowance(rule, cap).standIns / 2;
    const auto lend = [&lender](TimePoint now) {
        return lender.lend(Small, OwnerState::Self, 500, now, TimePoint(10s)).granted;
    };
    CHECK(lend(TimePoint(13s)) <= reserve);
    CHECK(lend(TimePoint(14s)) <= reserve);
    CHECK(lender.uninformedCount() == 2);
    lender.noteReported(Small, {1, {40}, 100ms}, TimePoint(14500ms));
    CHECK(lend(TimePoint(14500ms)) >= 90);
    CHECK(lender.uninformedCount() == 2);
}

TEST_CASE("workspaces that are not used any more are forgotten")
{
    CapLender lender;
    WorkspaceTable table;
    for (int i = 0; i < 10'000; ++i)
        table.add({WorkspaceName("w" + std::to_string(i)), 1, {5, 5}}, {});
    lender.setWorkspaces(table);
    for (int i = 0; i < 10'000; ++i)
        lender.lend(WorkspaceName("w" + std::to_string(i)), OwnerState::Self, 1, TimePoint(1s));
    CHECK(lender.counterCount() == 10'000);
    lender.forgetUnused(TimePoint(6s));
    CHECK(lender.counterCount() == 10'000);
    lender.forgetUnused(TimePoint(7s));
    CHECK(lender.counterCount() == 0);
}
