#include "process/support/changestream.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <set>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const std::vector<std::string> ControlVms = {"a1", "b1", "c1"};

struct Lead
{
    std::string vm;
    std::uint64_t term = 0;

    bool operator==(const Lead &) const = default;
};

// Three control VMs and d1, which runs no control and takes a stream of changes. The
// revision in force is watched at all of them, and must go back at none.
class ControlScene
{
    static constexpr std::chrono::milliseconds OrderPause {200};

public:
    explicit ControlScene(PeerPaths paths = PeerPaths::Direct)
        : m_fleet({{"a1", "fd-a", true}, {"b1", "fd-b", true}, {"c1", "fd-c", true}, {"d1", "fd-d"}},
                  paths)
        , m_changes(m_fleet.operators("d1"))
    {
        waitForMore("the first changes");
    }

    TestFleet &fleet() { return m_fleet; }
    std::uint64_t accepted() const { return m_changes.accepted(); }

    Json controlAt(const std::string &vm)
    {
        return HttpClient(m_fleet.operators(vm)).get("/v1/control").json();
    }
    Json configAt(const std::string &vm)
    {
        return HttpClient(m_fleet.operators(vm)).get("/v1/config").json();
    }
    Lead leadAt(const std::string &vm)
    {
        const Json control = controlAt(vm);
        return {control.at("leader"), control.at("term")};
    }
    // The leader that all these VMs name, above a term.
    Lead waitForLead(const std::vector<std::string> &vms, std::uint64_t above = 0)
    {
        Lead lead;
        waitFor("one leader of " + vms.front() + " and the others", [&] {
            lead = leadAt(vms.front());
            return !lead.vm.empty() && lead.term > above
                    && std::all_of(vms.begin(), vms.end(),
                                   [&](const std::string &vm) { return leadAt(vm) == lead; });
        });
        return lead;
    }

    void waitFor(const std::string &what, const std::function<bool()> &condition)
    {
        waitUntil(
                [&] {
                    watchRevisions();
                    return condition();
                },
                what);
    }
    void waitForMore(const std::string &what, std::uint64_t more = 3)
    {
        const std::uint64_t before = m_changes.accepted();
        waitFor(what, [&] {
            return m_changes.accepted() >= before + more || !m_changes.fault().empty();
        });
        CHECK(m_changes.fault() == "");
    }

    // Orders a change of the control members at the VM that leads, until it has this many. A
    // newcomer is forgotten when the leader changes, so the order is given again.
    void changeMembers(const Json &order, std::size_t count)
    {
        waitFor("the change of the members " + order.dump(), [&] {
            const std::string leader = leaderItself();
            if (leader.empty())
                return false;
            if (controlAt(leader).at("members").size() == count)
                return true;
            HttpClient(m_fleet.operators(leader)).post("/v1/control/members", order);
            std::this_thread::sleep_for(OrderPause);
            return false;
        });
    }

    // A VM that is frozen or killed isn't asked until it is back.
    void kill(const std::string &vm)
    {
        m_away.insert(vm);
        m_fleet.kill(vm);
    }
    void restart(const std::vector<std::string> &vms)
    {
        m_fleet.restart(vms);
        for (const std::string &vm : vms)
            m_away.erase(vm);
    }
    void freeze(const std::string &vm)
    {
        m_away.insert(vm);
        m_fleet.sendSignal(vm, SIGSTOP);
    }
    void thaw(const std::string &vm)
    {
        m_fleet.sendSignal(vm, SIGCONT);
        m_away.erase(vm);
    }
    // What a VM had is lost with its folder.
    void removeData(const std::string &vm)
    {
        std::filesystem::remove_all(m_fleet.dataFolder(vm));
        m_highest.erase(vm);
    }

    // All VMs end at the same revision, which is that of the last change or of a later one.
    void checkEnd()
    {
        m_changes.stop();
        CHECK(m_changes.fault() == "");
        waitFor("the same revision everywhere", [this] {
            const std::uint64_t revision = configAt("d1").at("in_force");
            return revision >= m_changes.accepted()
                    && std::all_of(ControlVms.begin(), ControlVms.end(), [&](const std::string &vm) {
                           return configAt(vm).at("in_force") == revision;
                       });
        });
        const Json config = configAt("d1");
        for (const std::string &vm : ControlVms)
            CHECK(configAt(vm) == config);
        CHECK(config.at("change_id") == ChangeStream::changeId(config.at("revision")));
        checkTimeline();
    }

private:
    // The VM that names itself as the leader, empty for none.
    std::string leaderItself()
    {
        for (const std::string &vm : ControlVms) {
            if (m_away.count(vm) == 0 && leadAt(vm).vm == vm)
                return vm;
        }
        return {};
    }

    void watchRevisions()
    {
        for (const std::string vm : {"a1", "b1", "c1", "d1"}) {
            if (m_away.count(vm) != 0)
                continue;
            const std::uint64_t inForce = configAt(vm).at("in_force");
            CAPTURE(vm);
            CHECK(inForce >= m_highest[vm]);
            m_highest[vm] = inForce;
        }
    }

    // One leader a term, and one change for each accepted revision.
    void checkTimeline()
    {
        const Json timeline = HttpClient(m_fleet.operators("d1")).get("/v1/timeline").json();
        CHECK(timeline.at("unreachable").empty());
        std::map<std::uint64_t, std::set<std::string>> leaders;
        std::map<std::string, std::set<std::string>> changes;
        for (const Json &part : timeline.at("parts")) {
            for (const Json &event : part.at("events")) {
                if (event.at("kind") == "control_leader")
                    leaders[event.at("term")].insert(event.at("vm").get<std::string>());
                if (event.at("kind") == "config_accepted")
                    changes[event.at("details").at("revision")].insert(
                            event.at("details").at("change_id").get<std::string>());
            }
        }
        CHECK(!leaders.empty());
        for (const auto &lead : leaders) {
            CAPTURE(lead.first);
            CHECK(lead.second.size() == 1);
        }
        CHECK(!changes.empty());
        for (const auto &change : changes) {
            CAPTURE(change.first);
            CHECK(change.second.size() == 1);
        }
    }

    TestFleet m_fleet;
    std::map<std::string, std::uint64_t> m_highest; // revision seen in force
    std::set<std::string> m_away;
    ChangeStream m_changes;
};

std::vector<std::string> withoutVm(const std::string &vm)
{
    std::vector<std::string> others;
    for (const std::string &other : ControlVms) {
        if (other != vm)
            others.push_back(other);
    }
    return others;
}

} // namespace

TEST_CASE("a control leader that is cut off is replaced, and after the heal it doesn't lead")
{
    struct Row
    {
        const char *what;
        void (PeerLinks::*cut)(const std::string &);
    };
    constexpr Row Rows[] = {{"both ways", &PeerLinks::cutOff},
                            {"it calls nobody", &PeerLinks::cutCallsFrom},
                            {"nobody calls it", &PeerLinks::cutCallsTo}};
    for (const Row &row : Rows) {
        CAPTURE(row.what);
        ControlScene scene(PeerPaths::Relayed);
        const Lead before = scene.waitForLead(ControlVms);
        (scene.fleet().links().*row.cut)(before.vm);
        const Lead during = scene.waitForLead(withoutVm(before.vm), before.term);
        CHECK(during.vm != before.vm);
        scene.waitForMore("changes that the others accept");
        scene.waitFor("the end of the old lead",
                      [&] { return scene.leadAt(before.vm).vm != before.vm; });
        scene.fleet().links().heal();
        const Lead after = scene.waitForLead(ControlVms, before.term);
        // Only an election after the heal may give the lead back.
        CHECK((after.vm != before.vm || after.term > during.term));
        scene.waitForMore("changes after the heal");
        scene.checkEnd();
    }
}

TEST_CASE("a change that a cut-off control leader takes is not accepted")
{
    ControlScene scene(PeerPaths::Relayed);
    const Lead before = scene.waitForLead(ControlVms);
    scene.fleet().links().cutOff(before.vm);
    const Json change {{"change_id", "taken-while-cut-off"},
                       {"base_revision", scene.configAt(before.vm).at("revision")},
                       {"toml", "[limits]\nqueue_length = 7\n"}};
    HttpClient client(scene.fleet().operators(before.vm));
    CHECK(client.post("/v1/config", change).json().at("outcome") == "unknown");
    scene.waitForMore("changes that the others accept");
    scene.fleet().links().heal();
    scene.waitForMore("changes after the heal");
    CHECK(client.post("/v1/config", change).json().at("outcome") == "conflict");
    scene.checkEnd();
}

TEST_CASE("a control VM that is killed in a stream of changes loses none")
{
    ControlScene scene;
    for (const std::string &vm : ControlVms) { // one of them leads
        CAPTURE(vm);
        scene.kill(vm);
        scene.waitForMore("changes without it");
        scene.restart({vm});
        scene.waitForMore("changes with it");
    }
    scene.checkEnd();
}

TEST_CASE("a control leader that was frozen beyond every timeout doesn't disturb when it thaws")
{
    // The longest time that a process waits for another one is 8 s, for a submitted change.
    constexpr std::chrono::seconds FreezeTime {10};
    ControlScene scene;
    const Lead before = scene.waitForLead(ControlVms);
    scene.freeze(before.vm);
    std::this_thread::sleep_for(FreezeTime);
    const Lead during = scene.waitForLead(withoutVm(before.vm), before.term);
    CHECK(during.vm != before.vm);
    scene.waitForMore("changes while it is frozen");
    scene.thaw(before.vm);
    scene.waitForMore("changes after the thaw");
    const Lead after = scene.waitForLead(ControlVms, before.term);
    CHECK((after.vm != before.vm || after.term > during.term));
    scene.checkEnd();
}

TEST_CASE("a restart of all control VMs at once in a stream of changes loses none")
{
    ControlScene scene;
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        for (const std::string &vm : ControlVms)
            scene.kill(vm);
        scene.restart(ControlVms);
        scene.waitForMore("changes after the restart");
    }
    scene.checkEnd();
}

TEST_CASE(
        "a control VM whose data folder was deleted is told so, and counts once it is added again")
{
    // Several elections, the longest of which takes 0.8 s, must bring no leader.
    constexpr std::chrono::seconds ElectionsTime {4};
    ControlScene scene;
    const std::string emptied = scene.waitForLead(ControlVms).vm;
    const std::string other = withoutVm(emptied).front();
    const std::string last = withoutVm(emptied).back();
    scene.kill(emptied);
    scene.removeData(emptied);
    scene.restart({emptied});
    scene.waitFor("the refusal by the leader", [&] {
        return !scene.controlAt(emptied).value("folder_refused_by", Json::object()).empty();
    });
    scene.waitForMore("changes without the vote of the emptied VM");

    scene.kill(last);
    scene.waitFor("the end of the lead", [&] { return scene.leadAt(other).vm.empty(); });
    const std::uint64_t before = scene.accepted();
    std::this_thread::sleep_for(ElectionsTime);
    CHECK(scene.accepted() == before);
    scene.restart({last});
    scene.waitForMore("changes of the two that have their folders");

    const Json folder = scene.controlAt(other).at("refused_folders").at(emptied);
    scene.changeMembers({{"remove", emptied}}, 2);
    scene.changeMembers({{"add", emptied}, {"folder", folder}}, 3);
    scene.waitFor("no refusal any more",
                  [&] { return scene.controlAt(emptied).at("folder_refused_by").empty(); });
    scene.kill(last);
    scene.waitForMore("changes with the vote of the VM that was added again");
    scene.restart({last});
    scene.checkEnd();
}
