#include "nutmegtide/fleet/domainreachability.h"

#include "unit/fleet/domaincutmodel.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

using ProbeTargets = DomainReachability::ProbeTargets;

constexpr TimePoint Start {100s};

} // namespace

TEST_CASE("a failure domain cut off: unanswered probes of all VMs mean a cut, one answer rules it "
          "out")
{
    struct Row
    {
        const char *what;
        std::size_t probeCount;
        std::optional<Duration> heardAfter; // after all VMs were probed
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
        reach.noteAlive(Start);
        reach.noteOverdueAnswer(Start + 150ms);
        REQUIRE((reach.dueProbes(Start + 150ms) == ProbeTargets::Few));
        reach.noteProbesSent(ProbeTargets::Few, std::min<std::size_t>(row.probeCount, 4),
                             Start + 150ms);
        CHECK((reach.dueProbes(Start + 200ms) == ProbeTargets::None));
        const TimePoint asked = Start + 250ms;
        REQUIRE((reach.dueProbes(asked) == ProbeTargets::All));
        reach.noteProbesSent(ProbeTargets::All, row.probeCount, asked);
        CHECK((reach.dueProbes(asked) == ProbeTargets::None));
        if (row.heardAfter)
            reach.noteAlive(asked + *row.heardAfter);
        CHECK(reach.isCutOff(asked + row.checkedAfter) == row.isCutOff);
    }
}

TEST_CASE("a recent answer from another failure domain outweighs an overdue answer and a warning")
{
    struct Row
    {
        void (DomainReachability::*event)(TimePoint);
        ProbeTargets dueProbes;
    };
    const Row rows[] = {{&DomainReachability::noteOverdueAnswer, ProbeTargets::Few},
                        {&DomainReachability::noteWarning, ProbeTargets::All}};
    for (const Row &row : rows) {
        DomainReachability reach;
        reach.noteAlive(Start);
        (reach.*row.event)(Start + 50ms);
        CHECK((reach.dueProbes(Start + 50ms) == ProbeTargets::None));
        (reach.*row.event)(Start + 120ms);
        CHECK((reach.dueProbes(Start + 120ms) == row.dueProbes));
        reach.noteAlive(Start + 121ms);
        CHECK((reach.dueProbes(Start + 121ms) == ProbeTargets::None));
    }
}

TEST_CASE("a stalled process restarts the timeouts of its probes")
{
    DomainReachability reach;
    reach.noteWarning(Start);
    reach.noteProbesSent(ProbeTargets::All, 5, Start);
    reach.restartTimeouts(Start + 3s);
    CHECK_FALSE(reach.isCutOff(Start + 3s + 200ms));
    CHECK(reach.isCutOff(Start + 3s + 260ms));
}

TEST_CASE("a cut lasts until a message comes from another failure domain")
{
    DomainReachability reach;
    reach.noteWarning(Start);
    reach.noteProbesSent(ProbeTargets::All, 5, Start);
    CHECK(reach.isCutOff(Start + 10s));
    reach.noteOverdueAnswer(Start + 10s);
    reach.noteWarning(Start + 10s);
    CHECK((reach.dueProbes(Start + 10s) == ProbeTargets::None)); // the probes are already sent
    reach.noteAlive(Start + 11s);
    CHECK_FALSE(reach.isCutOff(Start + 11s));
}

TEST_CASE("a failure domain cut off: its callers are served elsewhere within 2.6 s, whatever its "
          "size")
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

TEST_CASE("without a cut, stalled VMs and lost messages take no failure domain out of rotation")
{
    struct Row
    {
        const char *what;
        double stalledShare; // of the VMs in other failure domains, for 3 s
        double lossShare; // of all messages
    };
    const Row rows[] = {
            {"nothing happens", 0, 0},     {"half of the others stall", 0.5, 0},
            {"nine of ten stall", 0.9, 0}, {"a twentieth of the messages is lost", 0, 0.05},
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
