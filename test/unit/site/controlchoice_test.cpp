#include "site/controlchoice.h"

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
    ControlChoice choice(FailureDomain("b"), {vm(1)});
    TimePoint now(10s);
    CHECK((choice.next(now) == vm(1))); // all that is known
    choice.learn(
            {{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}, {vm(3), FailureDomain("c")}});
    CHECK((choice.next(now) == vm(2)));
    choice.failed(vm(2), ControlFailure::Silent, now);
    now += 1s;
    const auto second = choice.next(now);
    REQUIRE(second);
    CHECK((*second != vm(2)));
    choice.failed(*second, ControlFailure::Silent, now);
    const auto third = choice.next(now);
    CHECK((third != second));
    CHECK((third != vm(2)));
    now += 5s;
    CHECK((choice.next(now) == vm(2))); // a failure is forgotten after a while
}

TEST_CASE("a control VM never follows itself")
{
    ControlChoice choice(FailureDomain("a"), {vm(1), vm(2)}, vm(1));
    choice.learn({{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}});
    CHECK((choice.next(TimePoint(1s)) == vm(2)));
    ControlChoice alone(FailureDomain("a"), {vm(1)}, vm(1));
    CHECK_FALSE(alone.next(TimePoint(1s)));
}

TEST_CASE("control VMs trust only members of the control log, entry VMs their followers too")
{
    struct Row
    {
        ControlStanding standing;
        bool byControl;
        bool byEntry;
    };
    const Row rows[] = {
            {ControlStanding::OutOfTouch, false, false},
            {ControlStanding::Follower, false, true},
            {ControlStanding::Member, true, true},
    };
    const ControlChoice control(FailureDomain("a"), {vm(2)}, vm(1));
    const ControlChoice entry(FailureDomain("a"), {vm(2)});
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.standing));
        CHECK(control.isTrusted(row.standing) == row.byControl);
        CHECK(entry.isTrusted(row.standing) == row.byEntry);
    }
}

TEST_CASE("two followers of each other lose touch once no member answers them")
{
    const ControlChoice one(FailureDomain("a"), {vm(2)}, vm(1));
    const ControlChoice other(FailureDomain("a"), {vm(1)}, vm(2));
    ControlStanding standings[] = {ControlStanding::Member, ControlStanding::Follower};
    standings[0] = ControlStanding::Follower; // it was removed from the members
    const auto follow = [](const ControlChoice &choice, ControlStanding asked) {
        return choice.isTrusted(asked) ? ControlStanding::Follower : ControlStanding::OutOfTouch;
    };
    standings[0] = follow(one, standings[1]);
    standings[1] = follow(other, standings[0]);
    CHECK((standings[0] == ControlStanding::OutOfTouch));
    CHECK((standings[1] == ControlStanding::OutOfTouch));
}

TEST_CASE("seeds that are exchanged stand beside those that were learned")
{
    ControlChoice choice(FailureDomain("a"), {vm(1)});
    choice.learn({{vm(2), FailureDomain("a")}});
    choice.setSeeds({vm(3)});
    CHECK(choice.known().size() == 2);
    CHECK(choice.isOwnDomain(vm(2)));
    CHECK_FALSE(choice.isOwnDomain(vm(3)));
}

TEST_CASE(
        "a start of all VMs: the own domain's control VM is asked again soon, not those elsewhere")
{
    ControlChoice choice(FailureDomain("b"), {vm(1)});
    choice.learn({{vm(1), FailureDomain("a")}, {vm(2), FailureDomain("b")}});
    TimePoint now(10s);
    REQUIRE((choice.next(now) == vm(2)));
    choice.failed(vm(2), ControlFailure::NotReady, now);
    CHECK((choice.next(now) == vm(1))); // it may know the leader already
    choice.succeeded(vm(1));
    now += 200ms;
    CHECK((choice.next(now) == vm(2)));
    choice.failed(vm(2), ControlFailure::Silent, now);
    now += 200ms;
    CHECK((choice.next(now) == vm(1)));
}
