#include "nutmegtide/statement/fairrounds.h"

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace nutmegtide;

namespace {

using Rounds = FairRounds<int>;

// Serves flows that always have one statement waiting, and returns how often each one was served.
template <std::size_t Count>
std::array<int, Count> serve(const std::array<Rounds::Round, Count> &costs, int statements)
{
    Rounds rounds;
    std::array<Rounds::Round, Count> waiting {};
    std::array<int, Count> served {};
    const auto queue = [&](std::size_t flow) {
        waiting[flow] = rounds.next(static_cast<int>(flow), costs[flow]);
        rounds.assign(static_cast<int>(flow), waiting[flow]);
    };
    for (std::size_t flow = 0; flow < Count; ++flow)
        queue(flow);
    for (int i = 0; i < statements; ++i) {
        const auto first = std::min_element(waiting.begin(), waiting.end());
        const auto flow = static_cast<std::size_t>(first - waiting.begin());
        rounds.advance(*first);
        ++served[flow];
        queue(flow);
    }
    return served;
}

} // namespace

// Guards against a flow of a low weight, or of long statements, that gets more or nothing at all.
TEST_CASE("flows are served in proportion to their weights")
{
    const auto served = serve<3>({10, 20, 70}, 2'300);
    CHECK(served[0] == doctest::Approx(1'400).epsilon(0.01));
    CHECK(served[1] == doctest::Approx(700).epsilon(0.01));
    CHECK(served[2] == doctest::Approx(200).epsilon(0.01));
}

// Guards against a flow that was idle for long and then takes all turns at once.
TEST_CASE("a flow that had no statements gets no turns for that time")
{
    Rounds rounds;
    for (int i = 0; i < 100; ++i) {
        rounds.assign(1, rounds.next(1, 10));
        rounds.advance(rounds.next(1, 0));
    }
    CHECK(rounds.next(2, 10) == rounds.next(1, 10));
}

TEST_CASE("a flow that took what others didn't use owes nothing once no statement waits")
{
    Rounds rounds;
    for (int i = 0; i < 100; ++i)
        rounds.assign(1, rounds.next(1, 10));
    CHECK(rounds.next(2, 10) < rounds.next(1, 10));
    rounds.clear();
    CHECK(rounds.next(2, 10) == rounds.next(1, 10));
}

// Guards against memory that grows with all workspaces that ever sent a statement.
TEST_CASE("flows whose rounds have passed are forgotten while others wait")
{
    Rounds rounds;
    for (int flow = 0; flow < 10'000; ++flow) {
        rounds.assign(flow, rounds.next(flow, 10));
        rounds.advance(rounds.next(flow, 0));
    }
    CHECK(rounds.flowCount() < 100);
}
