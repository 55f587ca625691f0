#include "nutmegtide/fleet/groupstatus.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const StatusTimeouts Timeouts {400ms, 3s};

Announcement announcementOf(const char *server, ServerRole role)
{
    Announcement announcement;
    announcement.server = ServerId(server);
    announcement.incarnation = 1;
    announcement.term = 3;
    announcement.role = role;
    announcement.state = ServerState::Ready;
    announcement.durable = {3, 10};
    return announcement;
}

GroupState makeGroup()
{
    GroupState group;
    group.observe(announcementOf("s1", ServerRole::Primary), TimePoint());
    group.observe(announcementOf("s2", ServerRole::Replica), TimePoint());
    return group;
}

GroupStatus statusAt(const GroupState &group, Duration moment)
{
    return statusOf(group, Timeouts, TimePoint() + moment);
}

} // namespace

TEST_CASE("the status changes by silence exactly at the announced time")
{
    const GroupState group = makeGroup();
    TimePoint now;
    for (const Duration silence : {Timeouts.suspectedAfter, Timeouts.lostAfter}) {
        const TimePoint due = statusChangesAt(group, Timeouts, now);
        REQUIRE(due == TimePoint() + silence + Duration(1));
        const GroupStatus before = statusOf(group, Timeouts, now);
        CHECK(statusOf(group, Timeouts, due - Duration(1)) == before);
        CHECK(statusOf(group, Timeouts, due) != before);
        now = due;
    }
    CHECK(statusChangesAt(group, Timeouts, now) == TimePoint::max());
}

TEST_CASE("each change that control VMs act on changes the status, a new log position doesn't")
{
    struct Row
    {
        const char *name;
        void (*change)(Announcement &);
        bool isChange;
    };
    const Row rows[] = {
            {"repeated", [](Announcement &) {}, false},
            {"further in its log",
             [](Announcement &announcement) { announcement.durable.index = 11; }, false},
            {"restarted", [](Announcement &announcement) { announcement.incarnation = 2; }, true},
            {"fenced", [](Announcement &announcement) { announcement.term = 4; }, true},
            {"first entry of a term",
             [](Announcement &announcement) { announcement.durable.term = 4; }, true},
            {"leaves",
             [](Announcement &announcement) { announcement.state = ServerState::Leaving; }, true},
            {"other voters",
             [](Announcement &announcement) { announcement.voters = {announcement.server}; }, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        GroupState group = makeGroup();
        const GroupStatus before = statusAt(group, 100ms);
        Announcement announcement = announcementOf("s2", ServerRole::Replica);
        row.change(announcement);
        group.observe(announcement, TimePoint() + 100ms);
        CHECK((statusAt(group, 100ms) != before) == row.isChange);
    }
    GroupState group = makeGroup();
    group.observeRefusal(ServerId("s1"));
    CHECK(statusAt(group, 100ms).isSuspected);
}

TEST_CASE("a server that announces itself in time isn't lost, whatever the interval")
{
    for (const auto interval : {100ms, 1'000ms, 5'000ms, 60'000ms}) {
        FailoverSettings settings;
        settings.replicaAnnounceInterval = interval;
        const GroupState group = makeGroup();
        const TimePoint late = TimePoint() + interval + interval / 2;
        const GroupStatus status = statusOf(group, statusTimeouts(settings), late);
        CAPTURE(interval.count());
        CHECK_FALSE(status.servers.at(ServerId("s2")).isLost);
    }
}
