#include "nutmegtide/failover/followerreconciler.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("a server that doesn't replicate from the published primary is ordered to follow it")
{
    const ServerId primary("s1");
    const ServerId other("s2");
    GroupRecord record;
    record.term = record.attempt = 4;
    record.primary = primary;
    struct Row
    {
        const char *name;
        ServerObservation observation;
        bool isRedirected;
    };
    const Row rows[] = {
            {"up to date", {other, 4, ServerRole::Replica, {4, 9}}, false},
            {"behind", {other, 4, ServerRole::Replica, {4, 8}}, true},
            {"entries of an older term", {other, 4, ServerRole::Replica, {3, 20}}, true},
            {"old primary", {other, 3, ServerRole::Primary, {3, 20}}, true},
            {"fenced at a later term", {other, 5, ServerRole::Replica, {3, 5}}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        FollowerReconciler reconciler(500ms);
        const std::vector<ServerObservation> observations {{primary, 4, ServerRole::Primary, {4, 9}},
                                                           row.observation};
        const TimePoint now;
        CHECK(reconciler.serversToRedirect(record, observations, now).size()
              == (row.isRedirected ? 1 : 0));
        CHECK(reconciler.serversToRedirect(record, observations, now + 499ms).empty());
        CHECK(reconciler.serversToRedirect(record, observations, now + 500ms).size()
              == (row.isRedirected ? 1 : 0));
    }
}
