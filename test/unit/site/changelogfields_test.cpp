#include "site/changelogfields.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE(
        "the log line of a fence names term, chosen server, positions, missing servers and orders")
{
    SemiSyncChange change(ChangeReason::Lost,
                          {{ServerId("a"), false}, {ServerId("b"), false}, {ServerId("c"), false}});
    const TimePoint now(100s);
    change.setOpenOrders({ServerId("c")}, now);
    change.start(now);
    change.onUnreachable(ServerId("a"), now);
    for (const Term held : {0, 2}) {
        change.onStatus(ServerId("b"), {false, 1, {1, 5}, held, 3}, now);
        change.onStatus(ServerId("c"), {false, 1, {1, 6}, held, 3}, now);
    }
    REQUIRE((change.stepName() == "reserving"));
    CHECK(logLine("primary_change_fenced", {}, fieldsOf(ServiceName("db"), change.fenceReport()))
          == "event=primary_change_fenced service=db term=2 chosen=c position=1.6 "
             "fenced=\"b@1.5 c@1.6\" missing=a open_orders=c");
}

TEST_CASE("the log names each action with its server")
{
    CHECK(describe({HoldServer {ServerId("a"), 2}, QueryStatus {ServerId("b")}}) == "hold:a ask:b");
    CHECK(describe({}).empty());
}
