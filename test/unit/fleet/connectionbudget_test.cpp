#include "nutmegtide/fleet/connectionbudget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <random>
#include <vector>

using namespace nutmegtide;

namespace {

constexpr Duration Validity = 3s;

TimePoint at(Duration time)
{
    return TimePoint(time);
}

HomeRunId home(int number)
{
    return HomeRunId("vm-" + std::to_string(number));
}

ShareRequest ask(int number, ShareStamp stamp, int held, int homes)
{
    return {home(number), stamp, held, homes, 18, Validity};
}

// Simulates homes and one server whose messages are late, lost and reordered. Each home has
// its own clock rate and its own view of how many homes there are.
class ShareSimulation
{
public:
    ShareSimulation(std::uint64_t seed, int connections, int homes)
        : m_generator(seed)
        , m_connections(connections)
        , m_budget(connections)
    {
        for (int number = 0; number < homes; ++number)
            restart(number);
    }

    void step()
    {
        m_now += Duration(1ms) * (1 + pick(200));
        const int number = pick(static_cast<int>(m_homes.size()));
        Home &home = *m_homes[static_cast<std::size_t>(number)];
        switch (pick(40)) {
        case 0:
            restart(number);
            break;
        case 1:
            home.isCut = !home.isCut;
            break;
        case 2:
            restartServer();
            break;
        default:
            exchange(home);
        }
        REQUIRE(held() <= m_connections);
    }

    int held() const
    {
        int sum = 0;
        for (const auto &home : m_homes)
            sum += home->share.current(home->clock(m_now));
        return sum;
    }
    int largestHeld() const { return m_largest; }

private:
    struct Home
    {
        HomeRunId id;
        ConnectionShare share;
        double rate = 1;
        bool isCut = false;
        std::vector<ShareRequest> requests; // sent and not yet received
        std::vector<ShareGrant> grants;

        TimePoint clock(TimePoint now) const
        {
            return TimePoint(std::chrono::duration_cast<Duration>(now.time_since_epoch() * rate));
        }
    };

    int pick(int below) { return static_cast<int>(m_generator() % static_cast<unsigned>(below)); }

    void restart(int number)
    {
        const HomeRunId id("vm-" + std::to_string(number) + "." + std::to_string(++m_runs));
        auto made = std::make_unique<Home>(Home {id, ConnectionShare(id), 1, false, {}, {}});
        made->rate = 0.95 + 0.01 * pick(11);
        const auto at = static_cast<std::size_t>(number);
        if (at == m_homes.size())
            m_homes.push_back(std::move(made));
        else
            m_homes[at] = std::move(made);
    }

    // A restart closes every connection, which the homes notice.
    void restartServer()
    {
        m_budget.emplace(m_connections);
        for (const auto &home : m_homes) {
            home->share = ConnectionShare(home->id);
            home->requests.clear();
            home->grants.clear();
        }
    }

    void exchange(Home &home)
    {
        if (pick(2) == 0) {
            home.requests.push_back(
                    home.share.request(0, 1 + pick(9), m_connections, Validity, home.clock(m_now)));
        }
        if (home.isCut)
            return;
        if (!home.requests.empty() && pick(3) != 0) {
            const auto at = home.requests.begin() + pick(static_cast<int>(home.requests.size()));
            home.grants.push_back(m_budget->request(*at, m_now));
            home.requests.erase(at);
        }
        if (!home.grants.empty() && pick(3) != 0) {
            const auto at = home.grants.begin() + pick(static_cast<int>(home.grants.size()));
            home.share.take(*at);
            home.grants.erase(at);
        }
        m_largest = std::max(m_largest, held());
    }

    std::mt19937_64 m_generator;
    const int m_connections;
    std::optional<ConnectionBudget> m_budget;
    std::vector<std::unique_ptr<Home>> m_homes;
    TimePoint m_now {};
    int m_runs = 0;
    int m_largest = 0;
};

} // namespace

TEST_CASE("homes share a server's connections evenly, and none is granted past the budget")
{
    ConnectionBudget budget(20);
    for (int number = 0; number < 4; ++number)
        CHECK(budget.request(ask(number, 1, 0, 4), at(0s)) == ShareGrant {1, 4});
    CHECK(budget.request(ask(4, 1, 0, 4), at(0s)) == ShareGrant {1, 2});
    CHECK(budget.request(ask(5, 1, 0, 4), at(0s)) == ShareGrant {1, 0});
    CHECK(budget.charged(at(0s)) == 18);
}

TEST_CASE("a larger share is granted once the holder has reported less or its share has expired")
{
    ConnectionBudget budget(20);
    CHECK(budget.request(ask(1, 1, 0, 1), at(0s)).connections == 4);
    CHECK(budget.request(ask(1, 2, 4, 1), at(0s)).connections == 18);
    CHECK(budget.request(ask(2, 1, 0, 2), at(1s)).connections == 0);
    // The first home now knows of the second, and still runs statements on 18.
    CHECK(budget.request(ask(1, 3, 18, 2), at(1s)).connections == 9);
    CHECK(budget.request(ask(2, 2, 0, 2), at(1s)).connections == 0);
    CHECK(budget.request(ask(1, 4, 9, 2), at(1500ms)).connections == 9);
    CHECK(budget.request(ask(2, 3, 0, 2), at(2s)).connections == 9);
    // The first home stops sending requests; its share is free once it has expired.
    CHECK(budget.request(ask(2, 4, 9, 1), at(4499ms)).connections == 9);
    CHECK(budget.request(ask(2, 5, 9, 1), at(4500ms)).connections == 18);
}

TEST_CASE("a repeated or reordered request changes nothing")
{
    ConnectionBudget budget(20);
    CHECK(budget.request(ask(1, 4, 0, 2), at(0s)) == ShareGrant {4, 4});
    CHECK(budget.request(ask(1, 5, 0, 2), at(0s)) == ShareGrant {5, 9});
    CHECK(budget.request(ask(1, 5, 0, 1), at(0s)) == ShareGrant {5, 9});
    CHECK(budget.request(ask(1, 4, 0, 1), at(0s)) == ShareGrant {5, 9});
}

TEST_CASE("homes that start at the same time, unaware of each other, all get a first share")
{
    ConnectionBudget budget(20);
    for (int number = 0; number < 4; ++number)
        CHECK(budget.request(ask(number, 1, 0, 1), at(0s)).connections == 4);
}

TEST_CASE("connections that are still open stay charged after their holder's share has expired")
{
    ConnectionBudget budget(20);
    budget.request(ask(1, 1, 0, 2), at(0s));
    CHECK(budget.request(ask(1, 2, 0, 2), at(0s)).connections == 9);
    for (int opened = 0; opened < 9; ++opened)
        budget.noteOpened(home(1));
    // The holder is stalled, and its sockets stay open.
    budget.request(ask(2, 1, 0, 1), at(10s));
    CHECK(budget.request(ask(2, 2, 0, 1), at(10s)).connections == 9);
    CHECK(budget.charged(at(10s)) == 18);
    budget.noteClosed(home(1));
    CHECK(budget.request(ask(2, 3, 9, 1), at(11s)).connections == 10);
    // A connection that names no home is charged as well.
    budget.noteOpened({});
    CHECK(budget.request(ask(2, 4, 0, 1), at(12s)).connections == 9);
}

TEST_CASE("a home renews its share in time, and reports at once that it holds less")
{
    ConnectionShare share(home(1));
    CHECK(share.isRequestDue(0, Validity, at(0s)));
    const ShareRequest first = share.request(0, 1, 18, Validity, at(0s));
    CHECK_FALSE(share.isRequestDue(0, Validity, at(599ms)));
    CHECK(share.isRequestDue(0, Validity, at(600ms)));
    REQUIRE(share.take({first.stamp, 18}));
    const ShareRequest second = share.request(18, 2, 18, Validity, at(1s));
    REQUIRE(share.take({second.stamp, 9}));
    CHECK_FALSE(share.isRequestDue(18, Validity, at(1s)));
    CHECK(share.isRequestDue(9, Validity, at(1s)));
}

TEST_CASE(
        "a home's share ends at the home before it ends at the server, and late grants are ignored")
{
    ConnectionShare share(home(1));
    CHECK_FALSE(share.take({0, 9}));
    const ShareRequest first = share.request(0, 2, 18, Validity, at(0s));
    CHECK(share.take({first.stamp, 9}));
    CHECK(share.current(at(2399ms)) == 9);
    CHECK(share.current(at(2400ms)) == 0);
    const ShareRequest second = share.request(0, 2, 18, Validity, at(3s));
    const ShareRequest third = share.request(4, 2, 18, Validity, at(4s));
    CHECK(third.held == 4);
    CHECK_FALSE(share.take({second.stamp, 9}));
    CHECK(share.current(at(4s)) == 0);
    CHECK(share.take({third.stamp, 9}));
    CHECK(share.current(at(6399ms)) == 9);
}

TEST_CASE("the sum of shares never exceeds the limit, whatever views, losses, cuts and restarts")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        ShareSimulation trial(seed, 18, 7);
        for (int step = 0; step < 500; ++step)
            trial.step();
        CHECK(trial.largestHeld() > 0);
    }
}
