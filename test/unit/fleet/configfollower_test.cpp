#include "nutmegtide/fleet/configfollower.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

constexpr TimePoint Start {1h};

ConfigRevision revisionOf(Revision number)
{
    const std::string toml = "[limits]\nqueue_length = " + std::to_string(number) + "\n";
    return {number, toml, ChangeId("r" + std::to_string(number))};
}

const std::vector<ConfigPeer> Peers = {{VmName("c1"), FailureDomain("fd-a"), true},
                                       {VmName("c2"), FailureDomain("fd-b"), true},
                                       {VmName("c3"), FailureDomain("fd-c"), true},
                                       {VmName("e2"), FailureDomain("fd-a"), false}};

// Returns a follower that has just started and needs the answers of two control VMs.
ConfigFollower makeFollower(const ConfigRevision &persisted = {})
{
    ConfigFollower::Options options;
    options.requiredAnswers = 2;
    return {options, persisted, Start, 7};
}

ConfigFollower makeCaughtUp(const ConfigRevision &latest)
{
    ConfigFollower follower = makeFollower();
    follower.onPage(VmName("c1"), latest);
    follower.onPage(VmName("c2"), latest);
    return follower;
}

template <typename Action>
std::vector<Action> only(const ConfigActions &actions)
{
    std::vector<Action> found;
    for (const ConfigAction &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

std::vector<Revision> appliedRevisions(const ConfigActions &actions)
{
    std::vector<Revision> revisions;
    for (const ApplyConfig &applied : only<ApplyConfig>(actions))
        revisions.push_back(applied.revision);
    return revisions;
}

using Revisions = std::vector<Revision>;

} // namespace

TEST_CASE("a restarted process applies the highest of enough answers and never a lower one")
{
    struct Answer
    {
        const char *from;
        Revision revision; // 0: nothing newer than the process has
    };
    struct Row
    {
        const char *what;
        Revision persisted;
        std::vector<Answer> answers;
        Revision pushed; // between the answers and the end of the catch-up time; 0 for none
        Revisions inForce; // the applied revisions, in order
    };
    const Row rows[] = {
            {"away for 500 changes", 3, {{"c1", 503}, {"c2", 503}}, 0, {503}},
            {"isolated with a disk", 500, {}, 0, {500}},
            {"isolated without a disk", 0, {}, 0, {}},
            {"a lagging control VM first", 0, {{"c1", 480}, {"c2", 500}}, 0, {500}},
            {"a lagging control VM last", 0, {{"c2", 500}, {"c1", 480}}, 0, {500}},
            {"a lagging control VM asked twice", 0, {{"c1", 480}, {"c1", 480}}, 0, {480}},
            {"a lagging control VM and a disk", 500, {{"c1", 0}, {"c1", 0}}, 0, {500}},
            {"a lagging control VM that sends less", 500, {{"c1", 480}, {"c2", 480}}, 0, {500}},
            {"a restored old disk", 480, {{"c1", 0}, {"c2", 500}}, 0, {500}},
            {"an old push while catching up", 0, {{"c1", 500}}, 480, {500}},
            {"a new push while catching up", 480, {{"c1", 500}}, 501, {501}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ConfigFollower follower = makeFollower(row.persisted == 0 ? ConfigRevision()
                                                                  : revisionOf(row.persisted));
        Revisions all = appliedRevisions(follower.tick(Start, Peers));
        const auto collect = [&](const ConfigActions &actions) {
            const Revisions more = appliedRevisions(actions);
            all.insert(all.end(), more.begin(), more.end());
        };
        for (const Answer &answer : row.answers) {
            const bool isEmpty = answer.revision == 0;
            collect(follower.onPage(VmName(answer.from),
                                    isEmpty ? ConfigRevision() : revisionOf(answer.revision)));
        }
        if (row.pushed != 0)
            collect(follower.onPush(revisionOf(row.pushed), {}));
        collect(follower.tick(Start + 1999ms, Peers));
        collect(follower.tick(Start + 2000ms, Peers));
        CHECK(all == row.inForce);
        CHECK(follower.isCaughtUp());
        CHECK(follower.inForce() == (row.inForce.empty() ? 0 : row.inForce.back()));
    }
}

TEST_CASE("a starting process asks each control VM until enough have answered")
{
    ConfigFollower follower = makeFollower();
    CHECK(only<RequestConfig>(follower.tick(Start, {})).empty());
    CHECK(only<RequestConfig>(follower.tick(Start + 50ms, Peers)).size() == 3);
    CHECK(only<RequestConfig>(follower.tick(Start + 100ms, Peers)).empty());
    follower.onPage(VmName("c2"), revisionOf(4));
    const auto asked = only<RequestConfig>(follower.tick(Start + 300ms, Peers));
    REQUIRE(asked.size() == 2);
    CHECK(asked[0].peer == VmName("c1"));
    CHECK(asked[0].after == 4);
    CHECK_FALSE(follower.isCaughtUp());
}

TEST_CASE("pushes that are lost, reordered or duplicated never lower the revision")
{
    struct Row
    {
        const char *what;
        Revisions pushed;
        Revisions inForce;
    };
    const Row rows[] = {
            {"in order", {5, 6}, {5, 6}},     {"crossed", {6, 5}, {6}},
            {"doubled", {5, 5}, {5}},         {"one lost", {6, 7}, {6, 7}},
            {"older than in force", {3}, {}}, {"in force already", {4}, {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ConfigFollower follower = makeCaughtUp(revisionOf(4));
        Revisions all;
        for (const Revision revision : row.pushed) {
            const auto actions = follower.onPush(revisionOf(revision), {VmName("e2")});
            for (const Revision applied : appliedRevisions(actions))
                all.push_back(applied);
            // The latest revision is forwarded after every push.
            const auto pushes = only<PushConfig>(actions);
            REQUIRE(pushes.size() == 1);
            CHECK(pushes[0].revision == follower.latest());
        }
        CHECK(all == row.inForce);
    }
}

TEST_CASE("a revision is written to disk before it is applied, and a failed write is retried")
{
    ConfigFollower follower = makeCaughtUp({});
    const ConfigActions actions = follower.onPush(revisionOf(5), {});
    REQUIRE(actions.size() == 2);
    CHECK(std::holds_alternative<PersistConfig>(actions[0]));
    CHECK(std::holds_alternative<ApplyConfig>(actions[1]));
    CHECK(only<PersistConfig>(follower.tick(Start + 3s, Peers)).size() == 1);
    follower.onPersisted(5);
    CHECK(only<PersistConfig>(follower.tick(Start + 9s, Peers)).empty());
}

TEST_CASE("a request to one random peer a second makes up for a lost push")
{
    ConfigFollower behind = makeCaughtUp(revisionOf(4));
    const ConfigFollower ahead = makeCaughtUp(revisionOf(5));
    int questions = 0;
    for (auto time = 0ms; time < 100s; time += 50ms) {
        for (const RequestConfig &ask : only<RequestConfig>(behind.tick(Start + time, Peers))) {
            ++questions;
            CHECK(ask.after == behind.latest().revision);
            behind.onPage(ask.peer, ahead.pageAfter(ask.after));
        }
    }
    CHECK(behind.inForce() == 5);
    CHECK(questions >= 80);
    CHECK(questions <= 134);
    CHECK(behind.pageAfter(5) == ConfigRevision());
    CHECK(behind.pageAfter(0) == revisionOf(5));
}

TEST_CASE("a failed receiver's part of the tree goes to the next member of that part")
{
    const ConfigFollower follower = makeCaughtUp(revisionOf(5));
    const PushConfig lost {VmName("a"), revisionOf(5), {VmName("b"), VmName("c")}};
    const auto pushes = only<PushConfig>(follower.onPushFailed(lost));
    REQUIRE(pushes.size() == 1);
    CHECK(pushes[0].receiver == VmName("b"));
    CHECK(pushes[0].onward == std::vector<VmName> {VmName("c")});
    CHECK(follower.onPushFailed({VmName("a"), revisionOf(5), {}}).empty());
}

TEST_CASE("settings that this version can't parse leave all settings in force as they are")
{
    ConfigFollower follower = makeCaughtUp(revisionOf(4));
    const ConfigRevision unreadable {5, "[limits]\nqueue_length = 9\n[later]\nx = 1\n",
                                     ChangeId("n")};
    const ConfigActions actions = follower.onPush(unreadable, {VmName("e2")});
    CHECK(appliedRevisions(actions).empty());
    CHECK(only<ReportUnreadableConfig>(actions).size() == 1);
    CHECK(only<PushConfig>(actions).size() == 1);
    CHECK(follower.inForce() == 4);
    CHECK(only<ReportUnreadableConfig>(follower.onPush(unreadable, {})).empty());
    CHECK(appliedRevisions(follower.onPush(revisionOf(6), {})) == Revisions {6});
}

TEST_CASE("a publication of the leader covers all peers, and is empty before the first revision")
{
    CHECK(makeCaughtUp({}).publish(Peers).empty());
    CHECK(only<PushConfig>(makeCaughtUp(revisionOf(1)).publish(Peers)).size() == 4);
}
