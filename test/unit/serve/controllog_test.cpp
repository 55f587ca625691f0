#include "serve/controllog.h"

#include "nutmegtide/base/metrics.h"
#include "serve/controlapi.h"
#include "serve/peerserver.h"
#include "serve/peerservice.h"
#include "unit/settings/temporaryfolder.h"

#include <doctest/doctest.h>
#include <filesystem>

using namespace nutmegtide;

namespace {

constexpr auto Patience = 30s; // generous: the verdict must not depend on speed

// A state that is a text.
class TextMachine : public StateMachine
{
public:
    std::string snapshot() const override { return text(); }
    void restore(const std::string &snapshot) override { set(snapshot); }
    std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

protected:
    void set(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_text = text;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_text;
};

// Holds all payloads.
class ListMachine : public TextMachine
{
public:
    void apply(std::uint64_t, const std::string &payload) override { set(text() + payload + ";"); }
};

// Holds the latest payload, like a configuration.
class LatestMachine : public TextMachine
{
public:
    void apply(std::uint64_t, const std::string &payload) override { set(payload); }
};

using VmNames = std::vector<VmName>;

const VmNames ThreeVms = {VmName("c1"), VmName("c2"), VmName("c3")};

// One control VM in this process, with a real listener and folder.
class ControlVm
{
public:
    ControlVm(const std::string &name, const std::string &folder, const VmNames &members = ThreeVms)
        : m_identity {FleetId("f"), VmName(name), FailureDomain("d"), 1}
        , m_recorder({m_identity.vm, m_identity.failureDomain, 1}, 100)
        , m_peers([this] { return header(); })
    {
        m_settings.name = m_identity.vm;
        m_settings.dataDir = folder + "/" + name;
        m_settings.control = members;
        m_log = std::make_unique<ControlLog>(m_settings, m_directory, m_peers, m_recorder);
        m_log->registerMachine(CommandKind::Group, m_machine);
        m_log->registerMachine(CommandKind::Config, m_latest);
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
    std::string latest() const { return m_latest.text(); }
    // The size of all files of the control log.
    std::uintmax_t diskUse() const
    {
        std::uintmax_t bytes = 0;
        for (const auto &file : std::filesystem::directory_iterator(m_settings.dataDir + "/control"))
            bytes += file.file_size();
        return bytes;
    }

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
    LatestMachine m_latest;
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

// Guards against a log that is shortened after a number of entries only: 450 configurations of
// 262 kB filled the disks of all control VMs, and nothing was acknowledged or read any more.
TEST_CASE("large changes in any number don't fill a control VM's disk")
{
    constexpr std::uintmax_t DiskSize = 128'000'000; // bytes
    constexpr std::size_t ChangeSize = 262'144; // bytes
    constexpr int Changes = 500;
    const TemporaryFolder folder;
    ControlVm vm("c1", folder.path(), {VmName("c1")});
    vm.log().start();
    REQUIRE(comesTrue([&] { return vm.log().isLeader(); }));
    std::uintmax_t mostUsed = 0;
    std::string change;
    for (int number = 0; number < Changes; ++number) {
        change = std::string(ChangeSize, static_cast<char>('a' + number % 26));
        vm.log().propose({CommandKind::Config, change}, Patience);
        mostUsed = std::max(mostUsed, vm.diskUse());
    }
    CHECK(vm.latest() == change);
    CHECK(mostUsed < DiskSize);
}

// Guards against a log without snapshots that an earlier version left behind: it was read, but it
// stayed as large as the disk until a thousand further entries.
TEST_CASE("a large log of an earlier version is read, and shortened once its entries are committed")
{
    constexpr std::size_t ChangeSize = 1'000'000; // bytes
    constexpr LogIndex Changes = 60;
    const TemporaryFolder folder;
    const std::string last(ChangeSize, 'z');
    {
        PosixDisk disk(folder.path() + "/c1/control");
        FileLogStorage store(disk, "earlier");
        store.load();
        for (LogIndex index = 1; index <= Changes; ++index)
            store.append({{1, index, EntryKind::Config,
                           index == Changes ? last : std::string(ChangeSize, 'a')}});
        store.persistVote({1, VmName("c1")});
        store.sync();
    }
    ControlVm vm("c1", folder.path(), {VmName("c1")});
    vm.log().start();
    CHECK(comesTrue([&] { return vm.latest() == last; }));
    CHECK(comesTrue([&] { return vm.diskUse() < 3 * ChangeSize; }));
    REQUIRE(comesTrue([&] { return vm.log().isLeader(); }));
    vm.log().propose({CommandKind::Config, "next"}, Patience);
    CHECK(vm.latest() == "next");
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
