#include "serve/controllog.h"

#include "nutmegtide/base/metrics.h"
#include "serve/controlapi.h"
#include "serve/peerserver.h"
#include "serve/peerservice.h"
#include "unit/settings/temporaryfolder.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

constexpr auto Patience = 30s; // generous: the verdict must not depend on speed

class ListMachine : public StateMachine
{
public:
    void apply(std::uint64_t, const std::string &payload) override
    {
        const std::lock_guard lock(m_mutex);
        m_text += payload + ";";
    }
    std::string snapshot() const override { return text(); }
    void restore(const std::string &snapshot) override
    {
        const std::lock_guard lock(m_mutex);
        m_text = snapshot;
    }
    std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_text;
};

// One control VM in this process, with a real listener and folder.
class ControlVm
{
public:
    ControlVm(const std::string &name, const std::string &folder)
        : m_identity {FleetId("f"), VmName(name), FailureDomain("d"), 1}
        , m_recorder({m_identity.vm, m_identity.failureDomain, 1}, 100)
        , m_peers([this] { return header(); })
    {
        m_settings.name = m_identity.vm;
        m_settings.dataDir = folder + "/" + name;
        m_settings.control = {VmName("c1"), VmName("c2"), VmName("c3")};
        m_log = std::make_unique<ControlLog>(m_settings, m_directory, m_peers, m_recorder);
        m_log->registerMachine(CommandKind::Group, m_machine);
        m_handlers.raft = [this](const auto &messages) { m_log->receive(messages); };
        m_server = std::make_unique<PeerServer>(Endpoint {"127.0.0.1", 0}, PeerServer::Options(),
                                                std::make_shared<PeerService>(
                                                        m_identity, m_recorder,
                                                        [this] { return header(); }, m_handlers));
    }
    ~ControlVm()
    {
        m_server->stop();
        m_log->stop();
    }

    void meet(const ControlVm &other)
    {
        VmRecord record;
        record.vm = other.m_identity.vm;
        record.peers = other.m_server->bound();
        m_directory.put(record);
    }
    ControlLog &log() { return *m_log; }
    std::string text() const { return m_machine.text(); }

private:
    wire::Header header()
    {
        wire::Header header;
        header.fleet = "f";
        header.vm = m_identity.vm.text();
        header.incarnation = 1;
        return header;
    }

    NodeSettings m_settings;
    const Identity m_identity;
    Recorder m_recorder;
    Directory m_directory;
    PeerClients m_peers;
    PeerHandlers m_handlers;
    ListMachine m_machine;
    std::unique_ptr<ControlLog> m_log;
    std::unique_ptr<PeerServer> m_server;
};

using ControlVms = std::vector<std::unique_ptr<ControlVm>>;

ControlVms startAll(const std::string &folder)
{
    ControlVms vms;
    for (const char *name : {"c1", "c2", "c3"})
        vms.push_back(std::make_unique<ControlVm>(name, folder));
    for (auto &vm : vms) {
        for (auto &other : vms)
            vm->meet(*other);
        vm->log().start();
    }
    return vms;
}

// Proposes at whichever VM leads until one commits it.
void proposeSomewhere(ControlVms &vms, const std::string &payload)
{
    const TimePoint limit = Clock::now() + Patience;
    while (Clock::now() < limit) {
        for (auto &vm : vms) {
            try {
                vm->log().propose({CommandKind::Group, payload}, Patience);
                return;
            } catch (const NotLeaderError &) {
                std::this_thread::sleep_for(5ms);
            }
        }
    }
    FAIL("no control VM took the proposal");
}

bool comesTrue(const std::function<bool()> &condition)
{
    const TimePoint limit = Clock::now() + Patience;
    while (!condition() && Clock::now() < limit)
        std::this_thread::sleep_for(5ms);
    return condition();
}

} // namespace

TEST_CASE("three control VMs agree, and keep what they agreed on through a restart of all")
{
    const TemporaryFolder folder;
    {
        ControlVms vms = startAll(folder.path());
        proposeSomewhere(vms, "one");
        proposeSomewhere(vms, "two");
        for (auto &vm : vms)
            CHECK(comesTrue([&] { return vm->text() == "one;two;"; }));
    }
    ControlVms vms = startAll(folder.path());
    proposeSomewhere(vms, "three");
    for (auto &vm : vms)
        CHECK(comesTrue([&] { return vm->text() == "one;two;three;"; }));
}

TEST_CASE("two control VMs go on when the leader stops, and the follower that is asked names it")
{
    const TemporaryFolder folder;
    ControlVms vms = startAll(folder.path());
    proposeSomewhere(vms, "one");
    const auto leads = [](const auto &vm) { return vm->log().isLeader(); };
    const auto leader = std::find_if(vms.begin(), vms.end(), leads);
    REQUIRE(leader != vms.end());
    const VmName name = (*leader)->log().leader();
    const auto follower = leader == vms.begin() ? vms.end() - 1 : vms.begin();
    CHECK(comesTrue([&] { return (*follower)->log().leader() == name; }));
    CHECK_THROWS_AS((*follower)->log().propose({CommandKind::Group, "x"}, 1s), NotLeaderError);
    vms.erase(leader);
    proposeSomewhere(vms, "two");
    for (auto &vm : vms)
        CHECK(comesTrue([&] { return vm->text() == "one;two;"; }));
}

TEST_CASE("operators see the members of the control log, and change them at the leader only")
{
    const TemporaryFolder folder;
    ControlVms vms = startAll(folder.path());
    proposeSomewhere(vms, "one");
    struct Order
    {
        bool isAtLeader;
        const char *body;
        int status;
    };
    const Order orders[] = {
            {false, R"({"remove": "c9"})", 409},
            {true, R"({"remove": "c9"})", 409},
            {true, "{", 400},
            {true, R"({"add": "c9"})", 400},
            {true, R"({"add": "c1", "folder": "x"})", 409},
    };
    for (const Order &order : orders) {
        CAPTURE(order.body);
        for (auto &vm : vms) {
            if (vm->log().isLeader() != order.isAtLeader)
                continue;
            ControlApi api(vm->log());
            std::vector<HttpRoute> routes;
            api.addTo(routes);
            HttpRequest request;
            request.body = order.body;
            CHECK(routes.back().handler(request).status == order.status);
            CHECK(api.status().at("members").size() == 3);
        }
    }
}
