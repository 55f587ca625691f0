#include "nutmegtide/fleet/groupsight.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const SightLimits Limits {400ms, 3s};

Announcement announcementOf(const char *server, ServerRole role)
{
    Announcement said;
    said.server = ServerId(server);
    said.incarnation = 1;
    said.term = 3;
    said.role = role;
    said.state = ServerState::Ready;
    said.durable = {3, 10};
    return said;
}

GroupState makeGroup()
{
    GroupState group;
    group.observe(announcementOf("s1", ServerRole::Primary), TimePoint());
    group.observe(announcementOf("s2", ServerRole::Replica), TimePoint());
    return group;
}

GroupSight sightAt(const GroupState &group, Duration moment)
{
    return sightOf(group, Limits, TimePoint() + moment);
}

} // namespace

TEST_CASE("the sight changes by silence at the moment that is foretold, and not before")
{
    const GroupState group = makeGroup();
    TimePoint now;
    for (const Duration silence : {Limits.suspectedAfter, Limits.lostAfter}) {
        const TimePoint due = sightDueAt(group, Limits, now);
        REQUIRE(due == TimePoint() + silence + Duration(1));
        const GroupSight before = sightOf(group, Limits, now);
        CHECK(sightOf(group, Limits, due - Duration(1)) == before);
        CHECK(sightOf(group, Limits, due) != before);
        now = due;
    }
    CHECK(sightDueAt(group, Limits, now) == TimePoint::max());
}

TEST_CASE("each change that control decides on changes the sight, a mere position doesn't")
{
    struct Row
    {
        const char *name;
        void (*change)(Announcement &);
        bool isChange;
    };
    const Row rows[] = {
            {"repeated", [](Announcement &) {}, false},
            {"further in its log", [](Announcement &said) { said.durable.index = 11; }, false},
            {"restarted", [](Announcement &said) { said.incarnation = 2; }, true},
            {"fenced", [](Announcement &said) { said.term = 4; }, true},
            {"first entry of a term", [](Announcement &said) { said.durable.term = 4; }, true},
            {"leaves", [](Announcement &said) { said.state = ServerState::Leaving; }, true},
            {"other voters", [](Announcement &said) { said.voters = {said.server}; }, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        GroupState group = makeGroup();
        const GroupSight before = sightAt(group, 100ms);
        Announcement said = announcementOf("s2", ServerRole::Replica);
        row.change(said);
        group.observe(said, TimePoint() + 100ms);
        CHECK((sightAt(group, 100ms) != before) == row.isChange);
    }
    GroupState group = makeGroup();
    group.observeRefusal(ServerId("s1"));
    CHECK(sightAt(group, 100ms).isSuspected);
}

TEST_CASE("a server that announces itself in time isn't lost, whatever the intervals")
{
    for (const auto interval : {100ms, 1'000ms, 5'000ms, 60'000ms}) {
        FailoverSettings settings;
        settings.replicaAnnounceInterval = interval;
        const GroupState group = makeGroup();
        const TimePoint late = TimePoint() + interval + interval / 2;
        const GroupSight sight = sightOf(group, sightLimits(settings), late);
        CAPTURE(interval.count());
        CHECK_FALSE(sight.servers.at(ServerId("s2")).isLost);
    }
}
