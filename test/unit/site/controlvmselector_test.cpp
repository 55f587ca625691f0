#include "site/controlvmselector.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

Endpoint vm(int number)
{
    return {"10.0.0." + std::to_string(number), 7440};
}

} // namespace

TEST_CASE("the own failure domain's control VM goes first, and another one after a failure")
{
    ControlVmSelector selector(FailureDomain("b"), {vm(1)});
    TimePoint now(10s);
    CHECK((selector.next(now) == vm(1))); // all that is known
    selector.learn(
            {{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}, {vm(3), FailureDomain("c")}});
    CHECK((selector.next(now) == vm(2)));
    selector.failed(vm(2), ControlFailure::Silent, now);
    now += 1s;
    const auto second = selector.next(now);
    REQUIRE(second);
    CHECK((*second != vm(2)));
    selector.failed(*second, ControlFailure::Silent, now);
    const auto third = selector.next(now);
    CHECK((third != second));
    CHECK((third != vm(2)));
    now += 5s;
    CHECK((selector.next(now) == vm(2))); // a failure is forgotten after a while
}

TEST_CASE("a control VM never follows itself")
{
    ControlVmSelector selector(FailureDomain("a"), {vm(1), vm(2)}, vm(1));
    selector.learn({{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}});
    CHECK((selector.next(TimePoint(1s)) == vm(2)));
    ControlVmSelector alone(FailureDomain("a"), {vm(1)}, vm(1));
    CHECK_FALSE(alone.next(TimePoint(1s)));
}

TEST_CASE("control VMs trust only members of the control log, entry VMs their followers too")
{
    struct Row
    {
        ControlConnectivity standing;
        bool byControl;
        bool byEntry;
    };
    const Row rows[] = {
            {ControlConnectivity::Disconnected, false, false},
            {ControlConnectivity::Follower, false, true},
            {ControlConnectivity::Member, true, true},
    };
    const ControlVmSelector control(FailureDomain("a"), {vm(2)}, vm(1));
    const ControlVmSelector entry(FailureDomain("a"), {vm(2)});
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.standing));
        CHECK(control.isTrusted(row.standing) == row.byControl);
        CHECK(entry.isTrusted(row.standing) == row.byEntry);
    }
}

TEST_CASE("two followers of each other lose touch once no member answers them")
{
    const ControlVmSelector one(FailureDomain("a"), {vm(2)}, vm(1));
    const ControlVmSelector other(FailureDomain("a"), {vm(1)}, vm(2));
    ControlConnectivity connectivities[] = {ControlConnectivity::Member, ControlConnectivity::Follower};
    connectivities[0] = ControlConnectivity::Follower; // it was removed from the members
    const auto follow = [](const ControlVmSelector &selector, ControlConnectivity asked) {
        return selector.isTrusted(asked) ? ControlConnectivity::Follower : ControlConnectivity::Disconnected;
    };
    connectivities[0] = follow(one, connectivities[1]);
    connectivities[1] = follow(other, connectivities[0]);
    CHECK((connectivities[0] == ControlConnectivity::Disconnected));
    CHECK((connectivities[1] == ControlConnectivity::Disconnected));
}

TEST_CASE("seeds that are exchanged stand beside those that were learned")
{
    ControlVmSelector selector(FailureDomain("a"), {vm(1)});
    selector.learn({{vm(2), FailureDomain("a")}});
    selector.setSeeds({vm(3)});
    CHECK(selector.known().size() == 2);
    CHECK(selector.isOwnDomain(vm(2)));
    CHECK_FALSE(selector.isOwnDomain(vm(3)));
}

TEST_CASE(
        "a start of all VMs: the own domain's control VM is asked again soon, not those elsewhere")
{
    ControlVmSelector selector(FailureDomain("b"), {vm(1)});
    selector.learn({{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}});
    TimePoint now(10s);
    REQUIRE((selector.next(now) == vm(2)));
    selector.failed(vm(2), ControlFailure::NotReady, now);
    CHECK((selector.next(now) == vm(1))); // it may know the leader already
    selector.succeeded(vm(1));
    now += 200ms;
    CHECK((selector.next(now) == vm(2)));
    selector.failed(vm(2), ControlFailure::Silent, now);
    now += 200ms;
    CHECK((selector.next(now) == vm(1)));
}
