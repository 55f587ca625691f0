#include "nutmegtide/fleet/domainreachability.h"

#include "unit/fleet/domaincutmodel.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

using ProbeTargets = DomainReachability::ProbeTargets;

constexpr TimePoint Start {100s};

} // namespace

TEST_CASE("a failure domain cut off: silence of all that were asked is a cut, one answer is none")
{
    struct Row
    {
        const char *what;
        std::size_t noteProbesSent;
        std::optional<Duration> heardAfter; // the question to all
        Duration checkedAfter;
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
        DomainReachability reach;
        reach.noteHeard(Start);
        reach.noteOverdueAnswer(Start + 150ms);
        REQUIRE((reach.dueProbes(Start + 150ms) == ProbeTargets::Few));
        reach.noteProbesSent(ProbeTargets::Few, std::min<std::size_t>(row.noteProbesSent, 4), Start + 150ms);
        CHECK((reach.dueProbes(Start + 200ms) == ProbeTargets::None));
        const TimePoint asked = Start + 250ms;
        REQUIRE((reach.dueProbes(asked) == ProbeTargets::All));
        reach.noteProbesSent(ProbeTargets::All, row.noteProbesSent, asked);
        CHECK((reach.dueProbes(asked) == ProbeTargets::None));
        if (row.heardAfter)
            reach.noteHeard(asked + *row.heardAfter);
        CHECK(reach.isCutOff(asked + row.checkedAfter) == row.isCutOff);
    }
}

TEST_CASE("what was heard from elsewhere just now outweighs a doubt and a warning")
{
    struct Row
    {
        void (DomainReachability::*event)(TimePoint);
        ProbeTargets dueProbes;
    };
    const Row rows[] = {{&DomainReachability::noteOverdueAnswer, ProbeTargets::Few}, {&DomainReachability::noteWarning, ProbeTargets::All}};
    for (const Row &row : rows) {
        DomainReachability reach;
        reach.noteHeard(Start);
        (reach.*row.event)(Start + 50ms);
        CHECK((reach.dueProbes(Start + 50ms) == ProbeTargets::None));
        (reach.*row.event)(Start + 120ms);
        CHECK((reach.dueProbes(Start + 120ms) == row.dueProbes));
        reach.noteHeard(Start + 121ms);
        CHECK((reach.dueProbes(Start + 121ms) == ProbeTargets::None));
    }
}

TEST_CASE("a process that stood still gives the others their time again")
{
    DomainReachability reach;
    reach.noteWarning(Start);
    reach.noteProbesSent(ProbeTargets::All, 5, Start);
    reach.restartTimeouts(Start + 3s);
    CHECK_FALSE(reach.isCutOff(Start + 3s + 200ms));
    CHECK(reach.isCutOff(Start + 3s + 260ms));
}

TEST_CASE("a cut lasts until something is heard from elsewhere")
{
    DomainReachability reach;
    reach.noteWarning(Start);
    reach.noteProbesSent(ProbeTargets::All, 5, Start);
    CHECK(reach.isCutOff(Start + 10s));
    reach.noteOverdueAnswer(Start + 10s);
    reach.noteWarning(Start + 10s);
    CHECK((reach.dueProbes(Start + 10s) == ProbeTargets::None)); // they are out already
    reach.noteHeard(Start + 11s);
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
        double stalledShare; // part of the VMs elsewhere, for 3 s
        double lossShare; // part of the messages
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
            model.stallPeers(row.stalledShare, 3s, 6s);
            model.loseMessages(row.lossShare);
            CHECK_FALSE(model.run(10s));
        }
    }
}
