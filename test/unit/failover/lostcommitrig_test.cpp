#include "unit/failover/lostcommitrig.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace nutmegtide::test;

namespace {

// The rules outside of SemiSyncChange: who is recorded and forgotten, and when a caller is answered.
const LostCommitRules RosterAndAnswers {.keepsDeparted = true,
                                        .coversByRecorded = true,
                                        .recordsWithoutOrders = true,
                                        .confirms = true,
                                        .confirmsRecordedWriter = true};

LostCommitRules withVouches()
{
    LostCommitRules rules = RosterAndAnswers;
    rules.vouchesConnections = true;
    return rules;
}

struct ScheduleRow
{
    const char *name;
    LostCommitRules rules;
    bool losesCommits;
    unsigned seeds;
    bool crashesServers = false;
};

const ScheduleRow Rows[] = {
        {"without the rules", {}, true, 500},
        {"departed servers are kept", {.keepsDeparted = true, .coversByRecorded = true}, true, 500},
        {"answers are confirmed", {.confirms = true}, true, 500},
        {"all rules but vouching", RosterAndAnswers, false, 500},
        {"servers crash, all rules but vouching", RosterAndAnswers, true, 500, true},
        {"servers crash, all rules", withVouches(), false, 1000, true},
};

} // namespace

// Guards against lost commits that were answered, over random orders of what happens to a group.
TEST_CASE("random schedules lose no answered commit with the rules for the roster and the answers")
{
    for (const ScheduleRow &row : Rows) {
        CAPTURE(row.name);
        int lost = 0;
        int promotions = 0;
        std::size_t answered = 0;
        for (unsigned seed = 1; seed <= row.seeds; ++seed) {
            CAPTURE(seed);
            LostCommitRig rig(row.rules, seed);
            if (row.crashesServers)
                rig.crashServers();
            rig.run();
            lost += rig.lost();
            promotions += rig.promotions();
            answered += rig.answered();
            CHECK((row.losesCommits || rig.lost() == 0));
        }
        std::printf("lost commits, schedules, %s: %d of %zu answered, %d promotions\n", row.name,
                    lost, answered + static_cast<std::size_t>(lost), promotions);
        CHECK((lost > 0) == row.losesCommits);
        CHECK(promotions > 0);
    }
}

// Guards against an order that calls a change off and deposes the server that an older order promoted.
TEST_CASE("a change that is called off beside a late order loses no answered commit")
{
    for (const unsigned seed : {954U, 1578U, 4931U, 5254U, 5321U}) {
        CAPTURE(seed);
        LostCommitRig rig(RosterAndAnswers, seed);
        rig.run();
        CHECK(rig.lost() == 0);
    }
}
