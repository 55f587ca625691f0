#pragma once

// Three control VMs with fake disks, driven to count what an entry costs.

#include "control/filelogstorage.h"
#include "control/logrecords.h"
#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/control/raftnode.h"

#include <deque>

namespace nutmegtide::controllog {

// Counts of one run.
struct Counts
{
    std::size_t messages = 0;
    std::size_t syncs = 0;
    std::size_t bytes = 0; // written to all disks
    std::size_t applied = 0; // by the leader
};

// Three nodes on perfect links and disks; a round delivers all that was sent.
class Model
{
public:
    explicit Model(const Chart &chart)
    {
        const std::vector<VmName> names {VmName("c1"), VmName("c2"), VmName("c3")};
        for (unsigned at = 0; at < names.size(); ++at) {
            StoredLog stored;
            stored.folder = names[at].text();
            m_nodes.emplace_back(names[at], stored, names, chart, RaftTimings {},
                                 std::minstd_rand(at + 1), m_now);
        }
        while (leader() == nullptr)
            pass(10ms);
        settle();
    }

    RaftNode *leader()
    {
        for (RaftNode &node : m_nodes) {
            if (node.isLeader())
                return &node;
        }
        return nullptr;
    }
    void propose(const std::vector<Command> &commands)
    {
        RaftNode &node = *leader();
        perform(node, node.propose(commands));
        settle();
    }
    void pass(Duration time)
    {
        m_now += time;
        for (RaftNode &node : m_nodes)
            perform(node, node.tick(m_now));
        settle();
    }

    Counts counts;

private:
    void settle()
    {
        while (!m_messages.empty()) {
            const RaftMessage message = m_messages.front();
            m_messages.pop_front();
            for (RaftNode &node : m_nodes) {
                if (node.self() == message.receiver)
                    perform(node, node.receive(message, m_now));
            }
        }
    }

    void perform(RaftNode &node, const RaftActions &actions)
    {
        WriteNumber last = 0;
        for (const RaftAction &action : actions) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                ++counts.messages;
                m_messages.push_back(send->message);
            } else if (const auto *vote = std::get_if<PersistVote>(&action)) {
                counts.bytes += voteRecord(vote->vote).size();
                last = vote->write;
            } else if (const auto *entries = std::get_if<AppendEntries>(&action)) {
                for (const LogEntry &entry : entries->entries)
                    counts.bytes += entryRecord(entry).size();
                last = entries->write;
            } else if (const auto *apply = std::get_if<ApplyCommitted>(&action)) {
                counts.applied += node.isLeader() ? apply->last - apply->first + 1 : 0;
            }
        }
        if (last == 0)
            return;
        ++counts.syncs;
        perform(node, node.synced(last));
    }

    TimePoint m_now {};
    std::vector<RaftNode> m_nodes;
    std::deque<RaftMessage> m_messages;
};

} // namespace nutmegtide::controllog
