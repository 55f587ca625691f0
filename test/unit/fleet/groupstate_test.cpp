#include "nutmegtide/fleet/groupstate.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServerId A("a");
const ServerId B("b");
const ServerId C("c");

Announcement announcement(const ServerId &server, Term term, ServerRole role,
                          LogPosition position = {1, 1})
{
    Announcement message;
    message.server = server;
    message.incarnation = 1;
    message.term = term;
    message.role = role;
    message.last = position;
    message.durable = position;
    message.voters = {A, B, C};
    return message;
}

GroupState healthyGroup(TimePoint now)
{
    GroupState group;
    group.observe(announcement(A, 1, ServerRole::Primary), now);
    group.observe(announcement(B, 1, ServerRole::Replica), now);
    group.observe(announcement(C, 1, ServerRole::Replica), now);
    return group;
}

} // namespace

TEST_CASE("a primary leads until a majority of its voters is fenced")
{
    const TimePoint now;
    GroupState group = healthyGroup(now);
    CHECK((group.primary() == A));
    CHECK((group.voters() == std::vector<ServerId> {A, B, C}));
    // A fence that reached only one server doesn't depose the primary.
    group.observe(announcement(B, 2, ServerRole::Replica), now);
    CHECK((group.primary() == A));
    CHECK(group.term() == 1);
    group.observe(announcement(C, 2, ServerRole::Replica), now);
    CHECK_FALSE(group.primary().has_value());
    CHECK(group.term() == 2);
    group.observe(announcement(C, 2, ServerRole::Primary, {2, 2}), now);
    CHECK((group.primary() == C));
    // The old primary still claims to be primary.
    group.observe(announcement(A, 1, ServerRole::Primary, {1, 9}), now);
    CHECK((group.primary() == C));
}

TEST_CASE("a promotion known only from an answer has no voters yet")
{
    const TimePoint now;
    GroupState group = healthyGroup(now);
    group.observePosition(B, {2, ServerRole::Primary, {2, 2}, {2, 2}}, now);
    CHECK((group.primary() == B));
    CHECK(group.voters().empty());
    group.observe(announcement(B, 2, ServerRole::Primary, {2, 2}), now);
    CHECK(group.voters().size() == 3);
}

TEST_CASE("late and reordered messages change nothing")
{
    const TimePoint now;
    GroupState group = healthyGroup(now);
    group.observe(announcement(B, 3, ServerRole::Replica, {1, 5}), now);
    CHECK_FALSE(group.observe(announcement(B, 2, ServerRole::Replica, {1, 9}), now));
    CHECK_FALSE(group.observePosition(B, {2, ServerRole::Replica, {1, 9}, {1, 9}}, now));
    CHECK_FALSE(group.observePosition(ServerId("x"), {9, ServerRole::Replica, {}, {}}, now));
    // Within one term the log only grows.
    group.observe(announcement(B, 3, ServerRole::Replica, {1, 4}), now);
    CHECK((group.find(B)->announcement.last == LogPosition {1, 5}));
    Announcement restarted = announcement(B, 1, ServerRole::Replica, {1, 2});
    restarted.incarnation = 2;
    CHECK(group.observe(restarted, now));
    CHECK(group.find(B)->announcement.term == 1);
    CHECK_FALSE(group.observe(announcement(B, 9, ServerRole::Replica), now));
}

TEST_CASE("silence and refused connections make a server suspect")
{
    const TimePoint now;
    GroupState group = healthyGroup(now);
    CHECK_FALSE(group.isSuspect(A, 1s, now + 1s));
    CHECK(group.isSuspect(A, 1s, now + 1001ms));
    group.observeRefusal(A);
    CHECK(group.isSuspect(A, 1s, now));
    group.observePosition(A, {1, ServerRole::Primary, {1, 2}, {1, 2}}, now);
    CHECK_FALSE(group.isSuspect(A, 1s, now));
    CHECK(group.isSuspect(ServerId("unknown"), 1s, now));
    CHECK(group.forgetSilent(5s, now + 6s).size() == 3);
    CHECK(group.servers().empty());
}

TEST_CASE("a home that resumes listening suspects no server for the time it didn't listen")
{
    const TimePoint now;
    GroupState group = healthyGroup(now);
    group.observeRefusal(A);
    CHECK(group.isSuspect(A, 1s, now));
    CHECK(group.isSuspect(B, 1s, now + 2s));
    group.resume(now + 2s);
    CHECK_FALSE(group.isSuspect(A, 1s, now + 2s));
    CHECK_FALSE(group.isSuspect(B, 1s, now + 2s));
    CHECK(group.isSuspect(B, 1s, now + 4s));
}
