// Runs random schedules on the control VMs of a site: the group forms, and its members are
// replaced while VMs restart, are isolated and lose their disks.
#include "nutmegtide/control/controlmemberplanner.h"
#include "unit/control/controlvms.h"

using namespace nutmegtide;

namespace {

constexpr std::size_t TargetSize = 3; // members that tolerate one loss
constexpr int StepsBetweenChanges = 20; // of 10 ms
constexpr std::chrono::milliseconds SettleTimeout = 30s; // until the members are as they should be

// Five control VMs in three failure domains; the leader's ControlMemberPlanner chooses the members.
class ManagedControlVms
{
public:
    explicit ManagedControlVms(unsigned seed)
        : vms(seed, {"c1", "c2", "c3"}, {"c4", "c5"})
    { }

    void run(std::chrono::milliseconds time)
    {
        for (const TimePoint end = vms.now() + time; vms.now() < end;)
            step();
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        for (const TimePoint end = vms.now() + SettleTimeout; vms.now() < end && !condition();)
            step();
        return condition();
    }
    // Whether the leader has the target number of members, all reachable with their present disks.
    bool isSettled()
    {
        const std::optional<VmName> leader = vms.leader();
        if (!leader || vms.isCut(*leader))
            return false;
        RaftNode &node = vms.node(leader->text());
        const RaftStatus status = node.status();
        const bool isCommitted = status.commit == status.last;
        return isCommitted && status.members.size() == TargetSize
                && std::all_of(status.members.begin(), status.members.end(),
                               [&](const auto &member) {
                                   return vms.isUp(member.vm) && !vms.isCut(member.vm)
                                           && vms.node(member.vm.text()).folder() == member.folder
                                           && vms.node(member.vm.text()).commit() == status.commit;
                               });
    }
    // Proposes without waiting; `acknowledged` gets the payload once the leader has applied it.
    void propose(const std::string &payload)
    {
        const std::optional<VmName> leader = vms.leader();
        if (!leader)
            return;
        vms.drive(*leader, [&](RaftNode &node) {
            return node.propose({{CommandKind::Group, payload + ";"}});
        });
        m_unacknowledged.insert(payload + ";");
    }

    ControlVms vms;
    std::set<std::string> acknowledged;
    int changes = 0;

private:
    void step()
    {
        vms.step();
        recordAcknowledged();
        if (++m_steps % StepsBetweenChanges == 0)
            change();
    }
    void recordAcknowledged()
    {
        for (const VmName &name : vms.all()) {
            if (!vms.isUp(name) || !vms.node(name.text()).isLeader())
                continue;
            std::erase_if(m_unacknowledged, [&](const std::string &payload) {
                const bool isApplied = vms.at(name.text()).state.find(payload) != std::string::npos;
                if (isApplied)
                    acknowledged.insert(payload);
                return isApplied;
            });
        }
    }
    static FailureDomain domainOf(const VmName &name)
    {
        return FailureDomain(std::string(1, "abcab"[name.text().back() - '1']));
    }
    // Makes the next change of members, as the leader's process does every 200 ms.
    void change()
    {
        const std::optional<VmName> leader = vms.leader();
        if (!leader || vms.isCut(*leader))
            return;
        ControlMemberPlanner &planner = m_planners.try_emplace(*leader, 1).first->second;
        for (const VmName &name : vms.all()) {
            if (vms.isUp(name) && !vms.isCut(name))
                planner.heard({{name, vms.node(name.text()).folder()}, domainOf(name), vms.now()});
        }
        const RaftStatus status = vms.node(leader->text()).status();
        const auto next = planner.next(status.members, status.heard, *leader, vms.now());
        if (!next)
            return;
        vms.drive(*leader, [&](RaftNode &node) -> RaftActions {
            try {
                ++changes;
                if (const auto *added = std::get_if<AddControlMember>(&*next))
                    return node.addMember(added->member);
                return node.removeMember(std::get<RemoveControlMember>(*next).vm);
            } catch (const MembershipError &) {
                return {}; // the previous change isn't complete yet
            }
        });
    }

    std::map<VmName, ControlMemberPlanner> m_planners;
    std::set<std::string> m_unacknowledged;
    int m_steps = 0;
};

// Injects one random fault. A disk is lost only while the group tolerates that.
void injectRandomFault(ManagedControlVms &cluster, std::minstd_rand &random)
{
    const std::vector<VmName> names = cluster.vms.all();
    const VmName &name = names[random() % names.size()];
    switch (random() % 6) {
    case 0:
        if (cluster.vms.isUp(name))
            cluster.vms.restart(name);
        break;
    case 1:
        cluster.vms.cut(name);
        break;
    case 2:
        cluster.vms.heal();
        break;
    case 3:
        if (cluster.vms.isUp(name))
            cluster.vms.stop(name);
        break;
    case 4:
        for (const VmName &down : names) {
            if (!cluster.vms.isUp(down))
                cluster.vms.start(down);
        }
        break;
    default:
        if (cluster.isSettled())
            cluster.vms.wipe(name);
        break;
    }
}

} // namespace

TEST_CASE("a group of control VMs forms once, whatever the order of starts")
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        ManagedControlVms cluster(seed);
        std::minstd_rand random(seed);
        for (const VmName &name : cluster.vms.all())
            cluster.vms.stop(name);
        std::vector<VmName> order = cluster.vms.all();
        std::shuffle(order.begin(), order.end(), random);
        for (const VmName &name : order) {
            cluster.vms.start(name);
            cluster.run(std::chrono::milliseconds(random() % 1500));
        }
        CHECK(cluster.runUntil([&cluster] { return cluster.isSettled(); }));
    }
}

TEST_CASE("no acknowledged entry is lost while members restart, are isolated and lose their disks")
{
    std::size_t acknowledged = 0;
    int changes = 0;
    for (unsigned seed = 1; seed <= 120; ++seed) {
        CAPTURE(seed);
        ManagedControlVms cluster(seed);
        std::minstd_rand random(seed);
        REQUIRE(cluster.runUntil([&cluster] { return cluster.isSettled(); }));
        for (int round = 0; round < 40; ++round) {
            cluster.propose(std::to_string(seed) + "-" + std::to_string(round));
            cluster.run(std::chrono::milliseconds(random() % 2000));
            injectRandomFault(cluster, random);
        }
        cluster.vms.heal();
        for (const VmName &name : cluster.vms.all()) {
            if (!cluster.vms.isUp(name))
                cluster.vms.start(name);
        }
        REQUIRE(cluster.runUntil([&cluster] { return cluster.isSettled(); }));
        const std::string &state = cluster.vms.at(cluster.vms.leader()->text()).state;
        for (const std::string &payload : cluster.acknowledged)
            CHECK_MESSAGE(state.find(payload) != std::string::npos, "lost: " << payload);
        acknowledged += cluster.acknowledged.size();
        changes += cluster.changes;
    }
    // Guards against schedules that exercise nothing.
    CHECK(acknowledged > 1000);
    CHECK(changes > 200);
}
