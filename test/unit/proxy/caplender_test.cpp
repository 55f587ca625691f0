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
    CHECK(counter.lend(1, 20, 5s, TimePoint(6900ms)) == CapLoan {0, 150ms});
    CHECK(counter.lend(50, 20, 5s, TimePoint(7100ms)).granted == 4);
    CHECK_FALSE(counter.isUnused(5s, TimePoint(12s)));
    CHECK(counter.isUnused(5s, TimePoint(13s)));
}

TEST_CASE("the allowance of a window has the overage and the slack")
{
    const CapRule rule {5000ms, 0.1, 20};
    CHECK(rule.allowance({30, 30}) == doctest::Approx(218));
    CHECK(CapRule().allowance({30, 30}) == doctest::Approx(180));
}

TEST_CASE(
        "a workspace without a cap, or one that the lender doesn't know yet, is lent all it wants")
{
    CapLender lender;
    CHECK(lender.lend(Small, LenderRole::Owner, 5, TimePoint(1s)) == CapLoan {5, {}});
    lender.setWorkspaces(tableOf({1, 1}));
    CHECK(lender.lend(Uncapped, LenderRole::Owner, 500, TimePoint(1s)).granted == 500);
    CHECK(lender.lend(WorkspaceName("newer"), LenderRole::Owner, 5, TimePoint(1s)).granted == 5);
    CHECK(lender.counterCount() == 0);
}

TEST_CASE("what isn't lent comes with the time at which to ask again")
{
    CapLender lender;
    lender.setWorkspaces(tableOf({1, 0}));
    CHECK(lender.lend(Small, LenderRole::Owner, 1, TimePoint(1s)).granted == 1);
    CHECK(lender.lend(Small, LenderRole::Owner, 9, TimePoint(7s)).granted == 5);
    const CapLoan refused = lender.lend(Small, LenderRole::Owner, 1, TimePoint(8s));
    CHECK(refused.granted == 0);
    CHECK(refused.retryAfter == 4050ms);
}

// The rule of a cap lowered far below the use: it binds at once.
TEST_CASE("a lowered cap counts what was lent before")
{
    CapLender lender;
    lender.setWorkspaces(tableOf({100, 100}));
    lender.lend(Small, LenderRole::Owner, 1, TimePoint(1s));
    CHECK(lender.lend(Small, LenderRole::Owner, 100, TimePoint(10s)).granted == 100);
    lender.setWorkspaces(tableOf({2, 2}));
    CHECK(lender.lend(Small, LenderRole::Owner, 1, TimePoint(14s)).granted == 0);
    CHECK(lender.lend(Small, LenderRole::Owner, 100, TimePoint(16s)).granted == 12);
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
                granted += sides[side].lend(Small, LenderRole::Owner, 100, now).granted;
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
            granted += standIn.lend(Small, LenderRole::StandIn, 100, now).granted;
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
        granted.emplace_back(now, lender.lend(Small, LenderRole::Owner, wanted, now).granted);
    }
    for (std::size_t first = 0; first < granted.size(); first += 7) {
        int sum = 0;
        for (std::size_t i = first;
             i < granted.size() && granted[i].first - granted[first].first <= 5s; ++i)
            sum += granted[i].second;
        CHECK(sum <= CapRule().allowance(cap));
    }
}

TEST_CASE("workspaces that are not used any more are forgotten")
{
    CapLender lender;
    WorkspaceTable table;
    for (int i = 0; i < 10'000; ++i)
        table.add({WorkspaceName("w" + std::to_string(i)), 1, {5, 5}}, {});
    lender.setWorkspaces(table);
    for (int i = 0; i < 10'000; ++i)
        lender.lend(WorkspaceName("w" + std::to_string(i)), LenderRole::Owner, 1, TimePoint(1s));
    CHECK(lender.counterCount() == 10'000);
    lender.forgetUnused(TimePoint(6s));
    CHECK(lender.counterCount() == 10'000);
    lender.forgetUnused(TimePoint(7s));
    CHECK(lender.counterCount() == 0);
}
