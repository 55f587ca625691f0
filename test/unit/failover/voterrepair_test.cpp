#include "nutmegtide/failover/voterrepair.h"

#include "unit/failover/changerig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const TimePoint Now = TimePoint() + 1h;

GroupRecord recordOf(const std::vector<std::string> &voters)
{
    GroupRecord record;
    record.term = record.attempt = 4;
    record.voters = serversNamed(voters);
    record.primary = record.voters.front();
    return record;
}

VoterObservation observationOf(const std::string &id, Duration silence = 0s,
                               ServerState state = ServerState::Ready,
                               LogPosition durable = {4, 5000})
{
    return {ServerId(id), state, durable, Now - silence};
}

} // namespace

TEST_CASE("a lost or leaving voter is replaced by a spare that holds nearly the whole log")
{
    const auto s1 = observationOf("s1");
    const auto s2 = observationOf("s2");
    const auto s3 = observationOf("s3");
    const auto s4 = observationOf("s4");
    struct Row
    {
        const char *name;
        std::vector<std::string> voters;
        std::vector<VoterObservation> observations;
        std::vector<std::string> expected; // empty: no change
    };
    const Row rows[] = {
            {"all voters present", {"s1", "s2", "s3"}, {s1, s2, s3, s4}, {}},
            {"lost", {"s1", "s2", "s3"}, {s1, s2, observationOf("s3", 11s), s4}, {"s1", "s2", "s4"}},
            {"silent for a while", {"s1", "s2", "s3"}, {s1, s2, observationOf("s3", 9s), s4}, {}},
            {"leaving",
             {"s1", "s2", "s3"},
             {s1, observationOf("s2", 0s, ServerState::Leaving), s3, s4},
             {"s1", "s4", "s3"}},
            {"two lost: one at a time",
             {"s1", "s2", "s3", "s5", "s6"},
             {s1, observationOf("s2", 11s), observationOf("s3", 11s), s4, observationOf("s7", 0s)},
             {"s1", "s4", "s3", "s5", "s6"}},
            {"never reported", {"s1", "s2", "s3"}, {s1, s2, s4}, {}},
            {"no spare", {"s1", "s2", "s3"}, {s1, s2, observationOf("s3", 11s)}, {}},
            {"silent spare",
             {"s1", "s2", "s3"},
             {s1, s2, observationOf("s3", 11s), observationOf("s4", 4s)},
             {}},
            {"spare of an older term",
             {"s1", "s2", "s3"},
             {s1, s2, observationOf("s3", 11s),
              observationOf("s4", 0s, ServerState::Ready, {3, 5000})},
             {}},
            {"spare far behind",
             {"s1", "s2", "s3"},
             {s1, s2, observationOf("s3", 11s),
              observationOf("s4", 0s, ServerState::Joining, {4, 10})},
             {}},
            {"too few voters", {"s1", "s2"}, {s1, s2, s4}, {"s1", "s2", "s4"}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const VoterRepair repair {RepairTimings()};
        const auto voters = repair.voters(recordOf(row.voters), 3, row.observations, Now);
        CHECK(voters.value_or(std::vector<ServerId>()) == serversNamed(row.expected));
    }
}

TEST_CASE("voters change at most once per minTimeBetweenChanges, and not while a change is pending")
{
    const std::vector<VoterObservation> observations {observationOf("s1"), observationOf("s2"),
                                                      observationOf("s3", 11s),
                                                      observationOf("s4")};
    GroupRecord record = recordOf({"s1", "s2", "s3"});
    VoterRepair repair {RepairTimings()};
    repair.onChangePublished(Now - 4s);
    CHECK_FALSE(repair.voters(record, 3, observations, Now));
    repair.onChangePublished(Now - 5s);
    CHECK(repair.voters(record, 3, observations, Now));
    record.attempt = 5;
    CHECK_FALSE(repair.voters(record, 3, observations, Now));
}
