#include "nutmegtide/control/raftnode.h"

#include "unit/control/controlvms.h"

using namespace nutmegtide;

namespace {

constexpr unsigned Seed = 2016;

VmName followerOf(ControlVms &vms)
{
    return VmName(*vms.leader() == VmName("c1") ? "c2" : "c1");
}

struct Failure
{
    const char *name;
    void (*inject)(ControlVms &vms);
    const char *state; // that all control VMs have in the end
};

void isolateFollower(ControlVms &vms)
{
    const VmName follower = followerOf(vms);
    const RaftTerm term = vms.node(vms.leader()->text()).term();
    const VmName leader = *vms.leader();
    vms.cut(follower);
    vms.run(60s);
    CHECK(vms.commit("b"));
    vms.heal();
    vms.run(5s);
    CHECK(vms.leader() == leader);
    CHECK(vms.node(leader.text()).term() == term);
}

void isolateLeader(ControlVms &vms)
{
    const VmName old = *vms.leader();
    vms.cut(old);
    vms.drive(old, [](RaftNode &node) { return node.propose({{CommandKind::Group, "x;"}}); });
    vms.run(60s);
    CHECK_FALSE(vms.node(old.text()).isLeader());
    CHECK(vms.commit("b"));
    const RaftTerm term = vms.node(vms.leader()->text()).term();
    vms.heal();
    vms.run(5s);
    CHECK(vms.node(vms.leader()->text()).term() == term);
}

void crashAll(ControlVms &vms)
{
    for (const char *name : {"c1", "c2", "c3"})
        vms.restart(VmName(name));
    CHECK(vms.commit("b"));
}

// The follower's disk accepts writes, and a crash loses them before they are synced.
void loseUnsynced(ControlVms &vms)
{
    const VmName follower = followerOf(vms);
    vms.at(follower.text()).losesUnsyncedWrites = true;
    CHECK(vms.commit("b"));
    vms.run(1s);
    vms.restart(follower);
    vms.at(follower.text()).losesUnsyncedWrites = false;
}

// A follower doesn't confirm what it can't store, so the leader commits nothing with it alone.
void fillFollowersDisk(ControlVms &vms)
{
    const VmName leader = *vms.leader();
    const VmName full = followerOf(vms);
    const VmName third(full == VmName("c2") ? "c3" : leader == VmName("c2") ? "c3" : "c2");
    vms.at(full.text()).disk.capacity = 0;
    CHECK(vms.commit("b"));
    vms.stop(third);
    vms.drive(leader, [](RaftNode &node) { return node.propose({{CommandKind::Group, "x;"}}); });
    vms.run(5s);
    CHECK(vms.at(leader.text()).state == "a;b;");
    vms.at(full.text()).disk.capacity = SIZE_MAX;
    CHECK(vms.waitForState("a;b;x;"));
    vms.start(third);
}

void fillLeadersDisk(ControlVms &vms)
{
    const VmName leader = *vms.leader();
    vms.at(leader.text()).disk.capacity = 0;
    CHECK(vms.commit("b"));
    vms.restart(leader);
    vms.at(leader.text()).disk.capacity = SIZE_MAX;
}

void sendSnapshot(ControlVms &vms)
{
    const VmName follower = followerOf(vms);
    vms.cut(follower);
    CHECK(vms.commit("b"));
    vms.takeSnapshot(vms.leader()->text());
    vms.heal();
}

void restartFromSnapshot(ControlVms &vms)
{
    vms.takeSnapshot("c1");
    vms.takeSnapshot("c2");
    CHECK(vms.commit("b"));
    crashAll(vms);
}

const Failure Failures[] = {
        {"a follower is isolated for long and comes back without an election", isolateFollower,
         "a;b;c;"},
        {"a leader is isolated for long, steps down, and drops its entry", isolateLeader, "a;b;c;"},
        {"all restart at once", crashAll, "a;b;c;"},
        {"a disk loses unsynced writes", loseUnsynced, "a;b;c;"},
        {"a follower's disk is full for a while", fillFollowersDisk, "a;b;x;c;"},
        {"the leader's disk is full", fillLeadersDisk, "a;b;c;"},
        {"a follower needs the snapshot", sendSnapshot, "a;b;c;"},
        {"all restart from a snapshot and a tail", restartFromSnapshot, "a;b;b;c;"},
};

// Removes a member that lost its folder, and adds it with its new folder.
void replaceMember(ControlVms &vms, const std::string &name)
{
    const VmName leader = *vms.leader();
    vms.drive(leader, [&](RaftNode &node) { return node.removeMember(VmName(name)); });
    CHECK(vms.runUntil([&] {
        const RaftNode &node = vms.node(leader.text());
        return node.log().members().size() == 2 && node.log().membersIndex() <= node.commit();
    }));
    const ControlMember member {VmName(name), vms.node(name).folder()};
    vms.drive(leader, [&](RaftNode &node) { return node.addMember(member); });
    CHECK(vms.runUntil([&] {
        const RaftNode &node = vms.node(leader.text());
        return node.log().members().size() == 3 && node.log().membersIndex() <= node.commit();
    }));
}

} // namespace

TEST_CASE("control VMs agree after each kind of failure")
{
    for (const Failure &failure : Failures) {
        CAPTURE(failure.name);
        ControlVms vms(Seed);
        REQUIRE(vms.commit("a"));
        REQUIRE(vms.waitForState("a;"));
        failure.inject(vms);
        vms.heal();
        CHECK(vms.commit("c"));
        CHECK(vms.waitForState(failure.state));
    }
}

TEST_CASE("a VM with an emptied folder and a member's name neither votes nor counts")
{
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    REQUIRE(vms.waitForState("a;"));
    const VmName lost = followerOf(vms);
    vms.at(lost.text()).disk.empty();
    vms.restart(lost);
    const VmName leader = *vms.leader();
    vms.run(2s);
    CHECK(vms.node(leader.text()).status().refusedFolders.count(lost) == 1);
    // Without the leader, one member and a VM with another folder are no majority.
    vms.stop(leader);
    vms.run(30s);
    CHECK_FALSE(vms.leader().has_value());
    vms.start(leader);
    CHECK(vms.runUntil([&] { return vms.leader().has_value(); }));
    vms.run(1s);
    replaceMember(vms, lost.text());
    CHECK(vms.commit("b"));
    CHECK(vms.waitForState("a;b;"));
}

TEST_CASE("nothing is lost when a second control VM stops right after another was replaced")
{
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    REQUIRE(vms.waitForState("a;"));
    const VmName leader = *vms.leader();
    const VmName lost = followerOf(vms);
    vms.at(lost.text()).disk.empty();
    vms.restart(lost);
    vms.run(1s);
    replaceMember(vms, lost.text());
    vms.stop(leader);
    CHECK(vms.commit("b"));
    CHECK(vms.waitForState("a;b;"));
}

TEST_CASE("a VM that was away follows a leader whose folder changed meanwhile, and votes for none")
{
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    REQUIRE(vms.waitForState("a;"));
    const VmName away = followerOf(vms);
    const VmName changed = *vms.leader();
    RaftMessage message;
    message.sender = changed;
    message.receiver = away;
    message.folder = "another";
    message.term = vms.node(away.text()).term() + 5;
    message.lastIndex = vms.node(away.text()).lastIndex();
    vms.stop(changed);
    vms.run(5s); // until the contact with the previous leader has expired
    vms.drive(away, [&](RaftNode &node) {
        message.kind = RaftMessageKind::PreVote;
        return node.receive(message, vms.now());
    });
    CHECK(vms.node(away.text()).status().refusedFolders.count(changed) == 1);
    vms.drive(away, [&](RaftNode &node) {
        message.kind = RaftMessageKind::Append;
        return node.receive(message, vms.now());
    });
    CHECK(vms.node(away.text()).leader() == changed);
    CHECK(vms.node(away.text()).term() == message.term);
}

TEST_CASE("two emptied control VMs don't start a second log beside the remaining one")
{
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    REQUIRE(vms.waitForState("a;"));
    for (const char *name : {"c1", "c2"}) {
        vms.at(name).disk.empty();
        vms.restart(VmName(name));
    }
    vms.run(60s);
    CHECK_FALSE(vms.leader().has_value());
    CHECK(vms.at("c3").state == "a;");
}

TEST_CASE("a control VM that crashes between any two disk operations keeps what was acknowledged")
{
    std::size_t operations = SIZE_MAX;
    for (std::size_t crash = 0; crash < operations; ++crash) {
        CAPTURE(crash);
        ControlVms vms(Seed);
        REQUIRE(vms.commit("a"));
        FakeDisk &disk = vms.at("c1").disk;
        const std::size_t before = disk.operations;
        disk.crashBefore = before + crash;
        CHECK(vms.commit("b"));
        vms.run(1s);
        if (vms.isUp(VmName("c1"))) {
            vms.takeSnapshot("c1");
        }
        CHECK(vms.commit("c"));
        if (vms.isUp(VmName("c1"))) {
            operations = disk.operations - before;
            break;
        }
        vms.start(VmName("c1"));
        CHECK(vms.commit("d"));
        CHECK(vms.waitForState("a;b;c;d;"));
    }
    CHECK(operations > 5);
}

TEST_CASE("only one change of members is in progress at a time")
{
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    RaftNode &leader = vms.node(vms.leader()->text());
    leader.removeMember(VmName("c3"));
    CHECK_THROWS_AS(leader.removeMember(VmName("c2")), MembershipError);
    CHECK_THROWS_AS(vms.node(followerOf(vms).text()).removeMember(VmName("c3")), NotLeaderError);
}

TEST_CASE(
        "all control VMs lost at once and back one after the other: a leader soon after a majority")
{
    constexpr RaftTimings Timings {80ms, 300ms, 550ms, 50ms};
    constexpr std::chrono::milliseconds MaxElectionDelay = 250ms;
    constexpr unsigned Seeds = 300;
    struct Row
    {
        std::string what;
        std::chrono::milliseconds between; // starts of VMs
        bool isLastBack;
    };
    const Row rows[] = {{"together", 0ms, true},
                        {"staggered", 70ms, true},
                        {"slowly", 140ms, true},
                        {"one is missing", 70ms, false}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        unsigned late = 0;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            ControlVms vms(seed, {"c1", "c2", "c3"}, {}, Timings);
            REQUIRE(vms.commit("a"));
            for (const VmName &vm : vms.all())
                vms.stop(vm);
            vms.run(500ms);
            vms.start(VmName("c1"));
            vms.run(row.between);
            vms.start(VmName("c2"));
            const TimePoint majorityBack = vms.now();
            vms.run(row.between);
            if (row.isLastBack)
                vms.start(VmName("c3"));
            vms.runUntil([&vms] { return vms.leader().has_value(); });
            late += vms.now() - majorityBack > MaxElectionDelay ? 1 : 0;
            CHECK(vms.commit("b"));
        }
        CHECK(late == 0);
    }
}

TEST_CASE("a member that restarts isolated while the others have a leader causes no election")
{
    ControlVms vms(Seed, {"c1", "c2", "c3"}, {}, {80ms, 300ms, 550ms, 50ms});
    REQUIRE(vms.commit("a"));
    const VmName leader = *vms.leader();
    const RaftTerm term = vms.node(leader.text()).term();
    for (int i = 0; i < 10; ++i) {
        const VmName follower = followerOf(vms);
        vms.stop(follower);
        vms.run(400ms);
        vms.cut(follower); // it hears the leader only later
        vms.start(follower);
        vms.run(300ms);
        vms.heal();
        vms.run(1s);
    }
    CHECK(vms.leader() == leader);
    CHECK(vms.node(leader.text()).term() == term);
}

TEST_CASE("a member whose state is out of date says so until it has caught up with the leader")
{
    ControlVms vms(Seed);
    const auto isCurrent = [&vms](const VmName &vm) {
        return vms.node(vm.text()).status().isCurrent;
    };
    REQUIRE(vms.commit("a"));
    REQUIRE(vms.waitForState("a;"));
    for (const VmName &vm : vms.all())
        vms.takeSnapshot(vm.text());
    REQUIRE(vms.commit("b"));
    REQUIRE(vms.waitForState("a;b;"));
    for (const VmName &vm : vms.all()) {
        CHECK(isCurrent(vm));
        vms.restart(vm);
    }
    // Each VM starts with the old snapshot's state, and must not report it as current.
    while (!vms.allHaveState("a;b;")) {
        for (const VmName &vm : vms.all())
            CHECK((!isCurrent(vm) || vms.at(vm.text()).state == "a;b;"));
        vms.step();
    }
    REQUIRE(vms.runUntil([&] { return isCurrent(VmName("c1")) && isCurrent(VmName("c2")); }));

    const VmName follower = followerOf(vms);
    vms.cut(follower);
    REQUIRE(vms.commit("c"));
    vms.restart(follower);
    vms.run(2s);
    CHECK_FALSE(isCurrent(follower));
    vms.heal();
    REQUIRE(vms.runUntil([&] { return isCurrent(follower); }));
    CHECK(vms.at(follower.text()).state == "a;b;c;");
}

TEST_CASE("a member that missed entries within its leader's term isn't current before it has them")
{
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    REQUIRE(vms.waitForState("a;"));
    const VmName follower = followerOf(vms);
    vms.cut(follower);
    REQUIRE(vms.commit("b"));
    REQUIRE(vms.commit("c"));
    vms.run(2s);
    vms.heal();
    while (!vms.allHaveState("a;b;c;")) {
        const bool isCurrent = vms.node(follower.text()).status().isCurrent;
        CHECK((!isCurrent || vms.at(follower.text()).state == "a;b;c;"));
        vms.step();
    }
    CHECK(vms.runUntil([&] { return vms.node(follower.text()).status().isCurrent; }));
}

// Guards against a deposed leader that tells which changes of primary are open.
TEST_CASE("a leader that is cut off proves its lead for no moment after the cut")
{
    constexpr std::uint64_t LongestProof = 250; // ms; two heartbeat intervals and their answers
    ControlVms vms(Seed);
    REQUIRE(vms.commit("a"));
    vms.run(1s);
    const VmName old = *vms.leader();
    RaftNode &leader = vms.node(old.text());
    REQUIRE(leader.confirmedStamp());
    CHECK(*leader.confirmedStamp() <= vms.stamp());
    CHECK(*leader.confirmedStamp() + LongestProof >= vms.stamp());
    CHECK_FALSE(vms.node(followerOf(vms).text()).confirmedStamp());

    vms.cut(old);
    const std::uint64_t cutAt = vms.stamp();
    const auto isReplaced = [&] {
        CHECK(leader.confirmedStamp().value_or(0) <= cutAt);
        return vms.leader() != old;
    };
    CHECK(vms.runUntil(isReplaced));
    vms.heal();
    vms.run(1s);
    CHECK(*vms.node(vms.leader()->text()).confirmedStamp() > cutAt);
}
