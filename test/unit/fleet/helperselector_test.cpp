#include "nutmegtide/fleet/helperselector.h"

#include <doctest/doctest.h>
#include <set>

using namespace nutmegtide;

namespace {

const VmName Target("t");
const std::vector<VmName> Candidates {VmName("a"), VmName("b"), VmName("c"), VmName("d"),
                                      VmName("e")};

} // namespace

TEST_CASE("every helper is asked before one is asked twice")
{
    std::mt19937_64 generator(1);
    HelperSelector helpers;
    std::set<VmName> asked;
    for (std::size_t wave = 0; wave < Candidates.size(); ++wave) {
        const auto chosen = helpers.choose(Target, Candidates, 1, generator);
        REQUIRE(chosen.size() == 1);
        CHECK(asked.insert(chosen.front()).second);
    }
}

TEST_CASE("the helper that last reached a member is asked first, until the member answers itself")
{
    std::mt19937_64 generator(1);
    HelperSelector helpers;
    helpers.noteSuccess(Target, VmName("d"));
    for (int wave = 0; wave < 5; ++wave)
        CHECK(helpers.choose(Target, Candidates, 3, generator).front() == VmName("d"));
    CHECK(helpers.choose(Target, {VmName("a")}, 3, generator) == std::vector<VmName> {VmName("a")});
    helpers.forget(Target);
    std::set<VmName> first;
    for (std::size_t wave = 0; wave < Candidates.size(); ++wave)
        first.insert(helpers.choose(Target, Candidates, 1, generator).front());
    CHECK(first.size() == Candidates.size());
}

TEST_CASE("a helper that reached one member is the first asked for another, once in a round")
{
    std::mt19937_64 generator(1);
    HelperSelector helpers;
    helpers.choose(Target, Candidates, 1, generator);
    helpers.noteSuccess(VmName("other"), VmName("d"));
    std::multiset<VmName> asked;
    for (std::size_t wave = 1; wave < Candidates.size(); ++wave)
        asked.insert(helpers.choose(Target, Candidates, 1, generator).front());
    CHECK(asked.count(VmName("d")) <= 1);
    CHECK(helpers.choose(Target, Candidates, 1, generator).front() == VmName("d"));
    CHECK(helpers.choose(VmName("third"), Candidates, 1, generator).front() == VmName("d"));
}

TEST_CASE("no more helpers are chosen than there are candidates")
{
    std::mt19937_64 generator(1);
    HelperSelector helpers;
    for (const std::size_t most : {0U, 1U, 3U, 9U}) {
        CAPTURE(most);
        const auto chosen = helpers.choose(Target, Candidates, most, generator);
        CHECK(std::set<VmName>(chosen.begin(), chosen.end()).size() == chosen.size());
        CHECK(chosen.size() == std::min(most, Candidates.size()));
        CHECK(helpers.choose(Target, {}, most, generator).empty());
    }
}
