#pragma once

#include "control/filelogstorage.h"
#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/control/raftnode.h"
#include "unit/control/fakedisk.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <set>

namespace nutmegtide {

inline const Chart &controlRoleChart()
{
    static const ChartLibrary charts = ChartLibrary::embedded();
    return charts.chart("control_role");
}

// Checks the invariants of a replicated log: one leader a term, and committed entries that never
// change and are applied in order.
class LogInvariants
{
public:
    void leads(const VmName &vm, RaftTerm term)
    {
        const auto [known, isNew] = m_leaders.emplace(term, vm);
        REQUIRE_MESSAGE(known->second == vm, "two leaders in term " << term);
    }
    void applies(const VmName &vm, LogIndex &applied, const LogEntry &entry)
    {
        REQUIRE_MESSAGE(entry.index == applied + 1, vm << " applied out of order");
        applied = entry.index;
        const auto [known, isNew] = m_committed.emplace(entry.index, entry);
        REQUIRE_MESSAGE(known->second == entry, "committed entry " << entry.index << " changed");
    }

private:
    std::map<RaftTerm, VmName> m_leaders;
    std::map<LogIndex, LogEntry> m_committed;
};

// Several control VMs with fake disks and a fake network, in virtual time.
class ControlVms
{
public:
    struct Vm
    {
        FakeDisk disk;
        std::unique_ptr<FileLogStorage> store;
        std::unique_ptr<RaftNode> node;
        std::deque<RaftAction> writes;
        LogIndex applied = 0;
        std::string state; // payloads of the applied commands
        int starts = 0;
        bool losesUnsyncedWrites = false; // its disk skips syncs until the next crash
        bool isInitialMember = true; // it was given the names of the first members
    };

    // `standbys` don't belong to the group until they are added as members.
    explicit ControlVms(unsigned seed, const std::vector<std::string> &names = {"c1", "c2", "c3"},
                        const std::vector<std::string> &standbys = {},
                        const RaftTimings &timings = {})
        : m_timings(timings)
        , m_random(seed)
    {
        for (const std::string &name : names)
            m_names.emplace_back(name);
        for (const VmName &name : m_names)
            start(name);
        for (const std::string &name : standbys) {
            m_vms[VmName(name)].isInitialMember = false;
            start(VmName(name));
        }
    }

    Vm &at(const std::string &name) { return m_vms.at(VmName(name)); }
    RaftNode &node(const std::string &name) { return *at(name).node; }
    bool isUp(const VmName &name) { return m_vms[name].node != nullptr; }

    void start(const VmName &name)
    {
        Vm &vm = m_vms[name];
        ++vm.starts;
        vm.writes.clear();
        vm.store = std::make_unique<FileLogStorage>(vm.disk,
                                                    name.text() + "#" + std::to_string(vm.starts));
        StoredLog stored = vm.store->load();
        vm.applied = stored.snapshot.index;
        vm.state = stored.snapshot.state;
        const std::vector<VmName> names = vm.isInitialMember ? m_names : std::vector<VmName> {};
        vm.node = std::make_unique<RaftNode>(name, std::move(stored), names, controlRoleChart(),
                                             m_timings, std::minstd_rand(m_random()), m_now);
    }
    void stop(const VmName &name)
    {
        m_vms[name].node.reset();
        m_vms[name].disk.crash();
    }
    void restart(const VmName &name)
    {
        stop(name);
        start(name);
    }
    // Restarts the VM with an empty disk.
    void wipe(const VmName &name)
    {
        stop(name);
        m_vms[name].disk.empty();
        m_vms[name].isInitialMember = false;
        start(name);
    }
    void cut(const VmName &name) { m_cut.insert(name); }
    bool isCut(const VmName &name) const { return m_cut.count(name) != 0; }
    TimePoint now() const { return m_now; }
    std::vector<VmName> all() const
    {
        std::vector<VmName> names;
        for (const auto &[name, vm] : m_vms)
            names.push_back(name);
        return names;
    }
    void heal() { m_cut.clear(); }

    // Advances time in steps of one network delay.
    void run(std::chrono::milliseconds time)
    {
        for (const TimePoint end = m_now + time; m_now < end;)
            step();
    }
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = 20s)
    {
        for (const TimePoint end = m_now + limit; m_now < end && !condition();)
            step();
        return condition();
    }
    void step()
    {
        m_now += 10ms;
        for (auto &[name, vm] : m_vms) {
            if (vm.node)
                vm.node->setStamp(stamp());
        }
        const std::deque<RaftMessage> messages = std::exchange(m_messages, {});
        for (const RaftMessage &message : messages) {
            const bool isCut = m_cut.count(message.sender) + m_cut.count(message.receiver) > 0;
            if (isCut || !m_vms.count(message.receiver) || !isUp(message.receiver))
                continue;
            drive(message.receiver, [&](RaftNode &node) { return node.receive(message, m_now); });
        }
        for (auto &[name, vm] : m_vms) {
            if (vm.node)
                drive(name, [&](RaftNode &node) { return node.tick(m_now); });
        }
    }
    // Passes one input to a VM, and carries out its actions and its writes. Stops a VM whose disk
    // crashes.
    void drive(const VmName &name, const std::function<RaftActions(RaftNode &)> &input)
    {
        Vm &vm = m_vms.at(name);
        try {
            perform(name, vm, input(*vm.node));
            flush(name, vm);
        } catch (const FakeCrash &) {
            stop(name);
        }
    }
    std::optional<VmName> leader()
    {
        std::optional<VmName> found;
        for (auto &[name, vm] : m_vms) {
            const bool isNewer = !found || vm.node == nullptr
                    || vm.node->term() > m_vms[*found].node->term();
            if (vm.node && vm.node->isLeader() && isNewer)
                found = name;
        }
        return found;
    }
    // Proposes at the leader, and waits until the command is applied there.
    bool commit(const std::string &payload)
    {
        if (!runUntil([this] { return leader().has_value(); }))
            return false;
        const VmName name = *leader();
        drive(name, [&](RaftNode &node) {
            return node.propose({{CommandKind::Group, payload + ";"}});
        });
        return runUntil([&] {
            return isUp(name) && m_vms[name].state.find(payload + ";") != std::string::npos;
        });
    }
    // Returns the present time as the nodes' stamp.
    std::uint64_t stamp() const
    {
        return static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())
                        .count());
    }
    bool allHaveState(const std::string &state) const
    {
        return std::all_of(m_vms.begin(), m_vms.end(), [&state](const auto &item) {
            return item.second.node == nullptr || item.second.state == state;
        });
    }
    bool waitForState(const std::string &state)
    {
        return runUntil([&] { return allHaveState(state); });
    }
    void takeSnapshot(const std::string &name)
    {
        Vm &vm = at(name);
        drive(VmName(name),
              [&](RaftNode &node) { return node.snapshotTaken(vm.applied, vm.state); });
    }

    std::size_t messagesSent = 0;
    std::size_t syncs = 0;

private:
    void perform(const VmName &name, Vm &vm, const RaftActions &actions)
    {
        for (const RaftAction &action : actions) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                ++messagesSent;
                m_messages.push_back(send->message);
            } else if (const auto *apply = std::get_if<ApplyCommitted>(&action)) {
                for (LogIndex index = apply->first; index <= apply->last; ++index) {
                    const LogEntry &entry = vm.node->log().at(index);
                    m_invariants.applies(name, vm.applied, entry);
                    if (entry.kind == EntryKind::Group)
                        vm.state += entry.payload;
                }
            } else if (const auto *restore = std::get_if<RestoreState>(&action)) {
                vm.applied = restore->index;
                vm.state = restore->state;
            } else if (const auto *leads = std::get_if<BecameLeader>(&action)) {
                m_invariants.leads(name, leads->term);
            } else if (!std::get_if<SteppedDown>(&action) && !std::get_if<RoleChanged>(&action)) {
                vm.writes.push_back(action);
            }
        }
    }
    void flush(const VmName &name, Vm &vm)
    {
        while (!vm.writes.empty()) {
            WriteNumber last = 0;
            try {
                while (!vm.writes.empty()) {
                    last = write(*vm.store, vm.writes.front());
                    vm.writes.pop_front();
                }
            } catch (const DiskFullError &) { }
            if (last == 0)
                return;
            ++syncs;
            if (!vm.losesUnsyncedWrites)
                vm.store->sync();
            perform(name, vm, vm.losesUnsyncedWrites ? RaftActions() : vm.node->synced(last));
        }
    }
    static WriteNumber write(LogStorage &store, const RaftAction &action)
    {
        if (const auto *vote = std::get_if<PersistVote>(&action))
            return store.persistVote(vote->vote), vote->write;
        if (const auto *entries = std::get_if<AppendEntries>(&action))
            return store.append(entries->entries), entries->write;
        if (const auto *cutOff = std::get_if<TruncateFrom>(&action))
            return store.truncateFrom(cutOff->index), cutOff->write;
        const auto &install = std::get<InstallSnapshot>(action);
        return store.replace(install.snapshot, install.vote, install.tail), install.write;
    }

    const RaftTimings m_timings;
    // A different generator than the nodes use: nodes seeded from a generator of their own kind
    // would draw correlated election timeouts.
    std::mt19937 m_random;
    TimePoint m_now {};
    std::vector<VmName> m_names;
    std::map<VmName, Vm> m_vms;
    std::deque<RaftMessage> m_messages;
    std::set<VmName> m_cut;
    LogInvariants m_invariants;
};

} // namespace nutmegtide
