#pragma once

#include "nutmegtide/fleet/gossip.h"
#include "support/eventqueue.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace nutmegtide::test {

// Simulates members of a gossip network in one process and in virtual time. Links can
// lose messages and be cut.
class GossipNetwork
{
public:
    // A change that a member reported.
    struct ObservedChange
    {
        TimePoint at;
        VmName observer;
        MemberChange change;
    };

    explicit GossipNetwork(std::uint64_t seed, GossipSettings settings = {})
        : m_settings(settings)
        , m_generator(seed)
    { }

    double loss = 0; // of each message
    std::function<bool(const VmName &from, const VmName &to)> isCut;
    std::vector<ObservedChange> seen;
    std::uint64_t bytes = 0; // sent and received, with the overhead of TCP and IP

    static VmName name(int number) { return VmName("vm-" + std::to_string(1000 + number)); }

    // Starts a member. The first member ever started is the seed of the others.
    void start(const VmName &vm, Incarnation incarnation = 1)
    {
        Member self;
        self.vm = vm;
        self.failureDomain = FailureDomain("fd-" + std::to_string(m_nodes.size() % 3));
        const auto port = static_cast<std::uint16_t>(
                10'000 + std::stoi(vm.text().substr(vm.text().rfind('-') + 1)));
        self.peers = {"127.0.0.1", port};
        self.callers = {"127.0.0.1", static_cast<std::uint16_t>(port + 20'000)};
        self.incarnation = incarnation;
        if (m_seeds.empty())
            m_seeds.push_back(self.peers);
        m_names[self.peers] = vm;
        Node &node = m_nodes[vm];
        node.gossip = std::make_unique<Gossip>(m_settings, self, m_seeds, m_generator());
        node.isRunning = true;
        const auto phase = Duration(m_generator() % m_settings.probeInterval.count());
        schedule(phase, [this, vm, runNumber = ++node.runNumber] { tick(vm, runNumber); });
    }

    // Starts members [first, last).
    void startAll(int first, int last)
    {
        for (int number = first; number < last; ++number)
            start(name(number));
    }

    void kill(const VmName &vm) { m_nodes[vm].isRunning = false; }
    // Stalls a member; messages to it are lost until resume().
    void stall(const VmName &vm) { m_nodes[vm].isRunning = false; }
    void resume(const VmName &vm)
    {
        m_nodes[vm].isRunning = true;
        tick(vm, m_nodes[vm].runNumber);
    }

    Gossip &at(const VmName &vm) { return *m_nodes.at(vm).gossip; }
    TimePoint now() const { return m_now; }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.isEmpty() && m_events.nextAt() <= end)
            m_events.runNext(m_now);
        m_now = end;
    }

    // Runs until the condition holds. Returns false if it didn't within the time.
    bool runUntil(const std::function<bool()> &condition, Duration longest)
    {
        const TimePoint end = m_now + longest;
        while (!condition() && m_now < end)
            run(100ms);
        return condition();
    }

    // Whether every running member considers exactly the running members present.
    bool hasConverged() const
    {
        std::vector<VmName> running;
        for (const auto &[vm, node] : m_nodes) {
            if (node.isRunning)
                running.push_back(vm);
        }
        for (const VmName &vm : running) {
            const Gossip &gossip = *m_nodes.at(vm).gossip;
            if (gossip.presentCount() + 1 != running.size())
                return false;
            for (const VmName &other : running) {
                const Member *known = gossip.find(other);
                if (other != vm && (!known || known->state != MemberState::Alive))
                    return false;
            }
        }
        return true;
    }

    int count(MemberChangeKind kind) const
    {
        return static_cast<int>(
                std::count_if(seen.begin(), seen.end(), [kind](const ObservedChange &entry) {
                    return entry.change.kind == kind;
                }));
    }

    void perform(const VmName &vm, const GossipActions &actions)
    {
        for (const GossipAction &action : actions) {
            if (const auto *change = std::get_if<MemberChange>(&action))
                seen.push_back({m_now, vm, *change});
            if (const auto *call = std::get_if<GossipCall>(&action))
                send(vm, *call, [](bool) {});
        }
    }

private:
    static constexpr Duration Latency = 1ms;
    // Frame, call name, header and fixed fields of a call, and of its answer.
    static constexpr std::size_t CallBytes = 140;
    static constexpr std::size_t AnswerBytes = 48;
    // TCP and IP: of the call, which acknowledges the last answer, and of the answer, which is
    // acknowledged by a packet of its own.
    static constexpr std::size_t CallPacketBytes = 52;
    static constexpr std::size_t AnswerPacketBytes = 2 * 52;

    struct Node
    {
        std::unique_ptr<Gossip> gossip;
        bool isRunning = false;
        int runNumber = 0;
    };
    void schedule(Duration after, std::function<void()> run)
    {
        m_events.add(m_now + after, std::move(run));
    }

    void tick(const VmName &vm, int runNumber)
    {
        Node &node = m_nodes[vm];
        if (!node.isRunning || node.runNumber != runNumber)
            return;
        perform(vm, node.gossip->tick(m_now));
        schedule(m_settings.probeInterval, [this, vm, runNumber] { tick(vm, runNumber); });
    }

    bool isDelivered(const VmName &from, const VmName &to)
    {
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_generator) < loss;
        return !isLost && m_nodes[to].isRunning && !(isCut && isCut(from, to));
    }

    static std::size_t size(const Member &sender, const std::vector<Member> &updates)
    {
        std::size_t sum = wireSize(sender);
        for (const Member &member : updates)
            sum += wireSize(member);
        return sum;
    }

    void send(const VmName &from, const GossipCall &call, const std::function<void(bool)> &done)
    {
        const std::size_t callSize = CallBytes + CallPacketBytes
                + size(call.message.sender, call.message.updates);
        bytes += callSize;
        const VmName to = m_names.at(call.to);
        const TimePoint latest = m_now + call.timeout;
        const int runNumber = m_nodes[from].runNumber;
        const auto fail = [this, from, runNumber, id = call.id, done] {
            if (isCurrent(from, runNumber))
                perform(from, at(from).onFailure(id, m_now));
            done(false);
        };
        if (!isDelivered(from, to)) {
            schedule(call.timeout, fail);
            return;
        }
        const auto reply = [=, this](bool isAlive) {
            GossipReply answer = at(to).answer(call.message);
            answer.isAlive = isAlive;
            const std::size_t answerSize = AnswerBytes + AnswerPacketBytes
                    + size(answer.sender, answer.updates);
            bytes += answerSize;
            if (m_now + Latency > latest || !isDelivered(to, from)) {
                schedule(std::max(latest - m_now, Duration::zero()), fail);
                return;
            }
            schedule(Latency, [=, this] {
                bytes += answerSize;
                if (isCurrent(from, runNumber))
                    perform(from, at(from).onReply(call.id, answer, m_now));
                done(true);
            });
        };
        schedule(Latency, [=, this] {
            bytes += callSize;
            receive(to, call, reply);
        });
    }

    void receive(const VmName &to, const GossipCall &call, const std::function<void(bool)> &reply)
    {
        perform(to, at(to).onMessage(call.message, m_now));
        if (call.message.probeTarget.isEmpty()) {
            reply(true);
            return;
        }
        if (const auto probe = at(to).relay(call.message))
            send(to, *probe, reply);
        else
            reply(false);
    }

    bool isCurrent(const VmName &vm, int runNumber)
    {
        return m_nodes[vm].isRunning && m_nodes[vm].runNumber == runNumber;
    }

    const GossipSettings m_settings;
    std::mt19937_64 m_generator;
    std::map<VmName, Node> m_nodes;
    std::map<Endpoint, VmName> m_names;
    std::vector<Endpoint> m_seeds;
    EventQueue m_events;
    TimePoint m_now {};
};

} // namespace nutmegtide::test
