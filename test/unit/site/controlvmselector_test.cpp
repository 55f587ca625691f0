#include "site/controlvmselector.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

Endpoint vm(int number)
{
    return {"10.0.0." + std::to_string(number), 7440};
}

} // namespace

TEST_CASE("a control VM of the own failure domain is preferred, and another one is selected after "
          "a failure")
{
    ControlVmSelector selector(FailureDomain("b"), {vm(1)});
    TimePoint now(10s);
    CHECK((selector.next(now) == vm(1))); // the only known one
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
    CHECK((selector.next(now) == vm(2))); // the failure no longer counts
}

TEST_CASE("a control VM never selects itself")
{
    ControlVmSelector selector(FailureDomain("a"), {vm(1), vm(2)}, vm(1));
    selector.learn({{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}});
    CHECK((selector.next(TimePoint(1s)) == vm(2)));
    ControlVmSelector alone(FailureDomain("a"), {vm(1)}, vm(1));
    CHECK_FALSE(alone.next(TimePoint(1s)));
}

TEST_CASE("control VMs trust only members of the control log, entry VMs also trust followers")
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

TEST_CASE("two control VMs that follow only each other count as disconnected")
{
    const ControlVmSelector one(FailureDomain("a"), {vm(2)}, vm(1));
    const ControlVmSelector other(FailureDomain("a"), {vm(1)}, vm(2));
    ControlConnectivity connectivities[] = {ControlConnectivity::Member,
                                            ControlConnectivity::Follower};
    connectivities[0] = ControlConnectivity::Follower; // it was removed from the members
    const auto follow = [](const ControlVmSelector &selector, ControlConnectivity asked) {
        return selector.isTrusted(asked) ? ControlConnectivity::Follower
                                         : ControlConnectivity::Disconnected;
    };
    connectivities[0] = follow(one, connectivities[1]);
    connectivities[1] = follow(other, connectivities[0]);
    CHECK((connectivities[0] == ControlConnectivity::Disconnected));
    CHECK((connectivities[1] == ControlConnectivity::Disconnected));
}

TEST_CASE("replaced seeds are known in addition to the learned control VMs")
{
    ControlVmSelector selector(FailureDomain("a"), {vm(1)});
    selector.learn({{vm(2), FailureDomain("a")}});
    selector.setSeeds({vm(3)});
    CHECK(selector.known().size() == 2);
    CHECK(selector.isOwnDomain(vm(2)));
    CHECK_FALSE(selector.isOwnDomain(vm(3)));
}

TEST_CASE("after NotReady the own domain's control VM is retried soon, after Silent only later")
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
