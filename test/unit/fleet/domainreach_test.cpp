#include "nutmegtide/fleet/domainreach.h"

#include "unit/fleet/domaincutmodel.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

using Questions = DomainReach::Questions;

constexpr TimePoint Start {100s};

} // namespace

TEST_CASE("a failure domain cut off: silence of all that were asked is a cut, one answer is none")
{
    struct Row
    {
        const char *what;
        std::size_t questioned;
        std::optional<Duration> heardAfter; // the question to all
        Duration judgedAfter;
        bool isCutOff;
    };
    const Row rows[] = {
            {"nobody answers", 5, {}, 260ms, true},
            {"nobody has answered yet", 5, {}, 200ms, false},
            {"one answers in time", 5, 100ms, 400ms, false},
            {"one answers late", 5, 300ms, 400ms, false},
            {"the only one that is known is silent", 1, {}, 400ms, false},
            {"nobody is known", 0, {}, 400ms, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        DomainReach reach;
        reach.heard(Start);
        reach.doubt(Start + 150ms);
        REQUIRE((reach.due(Start + 150ms) == Questions::Few));
        reach.questioned(Questions::Few, std::min<std::size_t>(row.questioned, 4), Start + 150ms);
        CHECK((reach.due(Start + 200ms) == Questions::None));
        const TimePoint asked = Start + 250ms;
        REQUIRE((reach.due(asked) == Questions::All));
        reach.questioned(Questions::All, row.questioned, asked);
        CHECK((reach.due(asked) == Questions::None));
        if (row.heardAfter)
            reach.heard(asked + *row.heardAfter);
        CHECK(reach.isCutOff(asked + row.judgedAfter) == row.isCutOff);
    }
}

TEST_CASE("what was heard from elsewhere just now outweighs a doubt and a warning")
{
    struct Row
    {
        void (DomainReach::*event)(TimePoint);
        Questions due;
    };
    const Row rows[] = {{&DomainReach::doubt, Questions::Few}, {&DomainReach::warn, Questions::All}};
    for (const Row &row : rows) {
        DomainReach reach;
        reach.heard(Start);
        (reach.*row.event)(Start + 50ms);
        CHECK((reach.due(Start + 50ms) == Questions::None));
        (reach.*row.event)(Start + 120ms);
        CHECK((reach.due(Start + 120ms) == row.due));
        reach.heard(Start + 121ms);
        CHECK((reach.due(Start + 121ms) == Questions::None));
    }
}

TEST_CASE("a process that stood still gives the others their time again")
{
    DomainReach reach;
    reach.warn(Start);
    reach.questioned(Questions::All, 5, Start);
    reach.forgive(Start + 3s);
    CHECK_FALSE(reach.isCutOff(Start + 3s + 200ms));
    CHECK(reach.isCutOff(Start + 3s + 260ms));
}

TEST_CASE("a cut lasts until something is heard from elsewhere")
{
    DomainReach reach;
    reach.warn(Start);
    reach.questioned(Questions::All, 5, Start);
    CHECK(reach.isCutOff(Start + 10s));
    reach.doubt(Start + 10s);
    reach.warn(Start + 10s);
    CHECK((reach.due(Start + 10s) == Questions::None)); // they are out already
    reach.heard(Start + 11s);
    CHECK_FALSE(reach.isCutOff(Start + 11s));
}

TEST_CASE(
        "a failure domain cut off: its callers are served elsewhere 2.6 s later, whatever its size")
{
    struct Row
    {
        DomainCutModel::Size size;
        unsigned seeds;
    };
    const Row rows[] = {
            {{3, 40.0, 6}, 50},
            {{10, 20.0, 20}, 50},
            {{33, 10.0, 50}, 20},
            {{60, 8.0, 100}, 10},
    };
    for (const Row &row : rows) {
        for (unsigned seed = 1; seed <= row.seeds; ++seed) {
            CAPTURE(row.size.entries);
            CAPTURE(seed);
            DomainCutModel model(row.size, seed);
            model.cutFrom(10s, 30s);
            const auto leftAt = model.run(20s);
            REQUIRE(leftAt);
            CHECK(*leftAt > Duration(10s));
            CHECK(*leftAt <= Duration(12600ms));
        }
    }
}

TEST_CASE("no failure domain leaves the rotation without a cut")
{
    struct Row
    {
        const char *what;
        double frozen; // part of the VMs elsewhere, for 3 s
        double lost; // part of the messages
    };
    const Row rows[] = {
            {"nothing happens", 0, 0},
            {"half of the others freeze", 0.5, 0},
            {"nine of ten freeze", 0.9, 0},
            {"a twentieth of the messages is lost", 0, 0.05},
            {"both", 0.5, 0.05},
    };
    for (const Row &row : rows) {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            CAPTURE(row.what);
            CAPTURE(seed);
            DomainCutModel model({10, 20.0, 20}, seed);
            model.freezePeers(row.frozen, 3s, 6s);
            model.loseMessages(row.lost);
            CHECK_FALSE(model.run(10s));
        }
    }
}
