#include "nutmegtide/failover/followercare.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a server that doesn't replicate from the published primary is told to follow")
{
    const ServerId primary("s1");
    const ServerId other("s2");
    GroupRecord record;
    record.term = record.attempt = 4;
    record.primary = primary;
    struct Row
    {
        const char *name;
        ServerSighting sighting;
        bool isTold;
    };
    const Row rows[] = {
            {"up to date", {other, 4, ServerRole::Replica, {4, 9}}, false},
            {"behind", {other, 4, ServerRole::Replica, {4, 8}}, true},
            {"entries of an older term", {other, 4, ServerRole::Replica, {3, 20}}, true},
            {"old primary", {other, 3, ServerRole::Primary, {3, 20}}, true},
            {"fenced by a later change", {other, 5, ServerRole::Replica, {3, 5}}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        FollowerCare care(500ms);
        const std::vector<ServerSighting> sightings {{primary, 4, ServerRole::Primary, {4, 9}},
                                                     row.sighting};
        const TimePoint now;
        CHECK(care.straying(record, sightings, now).size() == (row.isTold ? 1 : 0));
        CHECK(care.straying(record, sightings, now + 499ms).empty());
        CHECK(care.straying(record, sightings, now + 500ms).size() == (row.isTold ? 1 : 0));
    }
}
