#include "nutmegtide/failover/primarysuspicion.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace nutmegtide;

namespace {

constexpr Term Published = 7;

// Reports one opinion per letter: S: the home suspects the primary, w: it can use the primary, o:
// it suspects the primary of an older term, '.': it isn't heard.
void reportAll(PrimarySuspicion &suspicion, const std::string &homes, TimePoint now)
{
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const VmName home("home-" + std::to_string(i));
        const Term term = homes[i] == 'o' ? Published - 1 : Published;
        if (homes[i] != '.')
            suspicion.report(home, {term, homes[i] != 'w'}, now);
    }
}

} // namespace

TEST_CASE("a change is due when most of the homes that control reaches can't use the primary")
{
    struct Row
    {
        const char *name;
        std::string homes;
        bool isDue;
    };
    const Row rows[] = {
            {"no home is heard", "....", false},
            {"all homes can use the primary", "wwww", false},
            {"one home is cut off from the primary", "Swww", false},
            {"half of the homes", "SSww", false},
            {"two-two, the primary on the side of control", "ww..", false},
            {"two-two, the primary on the other side", "SS..", true},
            {"one-three, control with the three, the primary alone", ".SSS", true},
            {"one-three, control with the three, and the primary", ".www", false},
            {"one-three, control alone with the primary", "w...", false},
            {"one-three, control alone", "S...", true},
            {"asymmetric: homes hear control, but not the primary", "SSSw", true},
            {"homes that report on an earlier primary", "oooS", false},
            {"all homes suspect the primary", "SSSS", true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        PrimarySuspicion suspicion {SuspicionTimings()};
        reportAll(suspicion, row.homes, TimePoint());
        CHECK(suspicion.isChangeDue(Published, TimePoint() + 1s) == row.isDue);
    }
}

TEST_CASE("a home that control no longer hears doesn't count")
{
    PrimarySuspicion suspicion {SuspicionTimings()};
    reportAll(suspicion, "wwww", TimePoint());
    reportAll(suspicion, "SS..", TimePoint() + 1s);
    CHECK_FALSE(suspicion.isChangeDue(Published, TimePoint() + 1s));
    CHECK(suspicion.isChangeDue(Published, TimePoint() + 2600ms));
}

TEST_CASE("renewing extends the latest opinion, but doesn't create one")
{
    PrimarySuspicion suspicion {SuspicionTimings()};
    reportAll(suspicion, "S", TimePoint());
    suspicion.renew(VmName("home-0"), TimePoint() + 2s);
    suspicion.renew(VmName("home-1"), TimePoint() + 2s);
    CHECK(suspicion.isChangeDue(Published, TimePoint() + 4s));
    CHECK_FALSE(suspicion.isChangeDue(Published, TimePoint() + 4600ms));
}

TEST_CASE("a new leader waits for the reports of all homes before it starts a change")
{
    struct Row
    {
        const char *name;
        std::string before; // reports before it leads
        std::string since; // reports since then
        Duration wait;
        bool isGathered;
    };
    const Row rows[] = {
            {"none", "..", "..", 999ms, false},
            {"one of them", "..", "S.", 999ms, false},
            {"the other one reported before this VM led", ".w", "S.", 999ms, false},
            {"all", "..", "Sw", 0ms, true},
            {"one is missing when the wait ends", "..", "S.", 1s, true},
    };
    const TimePoint leadingSince = TimePoint() + 1s;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        PrimarySuspicion suspicion {SuspicionTimings()};
        reportAll(suspicion, row.before, leadingSince - 1ms);
        reportAll(suspicion, row.since, leadingSince);
        const std::vector<VmName> homes {VmName("home-0"), VmName("home-1")};
        CHECK(suspicion.isGathered(homes, leadingSince, leadingSince + row.wait) == row.isGathered);
    }
}

TEST_CASE("soon after a change another one starts only if all homes agree")
{
    struct Row
    {
        const char *name;
        std::string homes;
        Duration sinceChange;
        bool isDue;
    };
    const Row rows[] = {
            {"most homes, soon", "SSSw", 1s, false},
            {"all homes, soon", "SSSS", 1s, true},
            {"most homes, later", "SSSw", 5s, true},
            {"no home is heard", "....", 1s, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        PrimarySuspicion suspicion {SuspicionTimings()};
        suspicion.onChangePublished(TimePoint());
        const TimePoint now = TimePoint() + row.sinceChange;
        reportAll(suspicion, row.homes, now);
        CHECK(suspicion.isChangeDue(Published, now) == row.isDue);
    }
}

TEST_CASE("a flapping primary is changed at most once per shortestBetweenChanges")
{
    PrimarySuspicion suspicion {SuspicionTimings()};
    int changes = 0;
    for (int i = 0; i < 300; ++i) { // 30 s
        const TimePoint now = TimePoint() + i * 100ms;
        reportAll(suspicion, i % 2 == 0 ? "SSSw" : "wwww", now);
        if (!suspicion.isChangeDue(Published, now))
            continue;
        suspicion.onChangePublished(now);
        ++changes;
    }
    CHECK(changes == 6);
}
