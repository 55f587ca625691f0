// Explores the whole state space of three control VMs within small bounds: every order of messages,
// losses, delayed syncs and crashes.
#include "unit/control/controlvms.h"

#include <cstdio>
#include <unordered_set>
#include <xxhash.h>

using namespace nutmegtide;

namespace {

// Limits on what a path from the first state may use up. A message that is never delivered
// stands for a lost one.
struct Bounds
{
    int timeouts;
    int proposals;
    int crashes;
    int delayedSyncs; // inputs whose writes are not synced at once
    RaftTerm highestTerm;
};

const char *const Names[] = {"c1", "c2", "c3"};

struct SearchVm
{
    StoredLog durable;
    std::vector<RaftAction> unsynced;
    RaftNode node;
    TimePoint now {};
    LogIndex applied = 0;
};

struct SearchState
{
    std::vector<SearchVm> vms;
    std::map<std::string, RaftMessage> messages; // in flight; equal fingerprints have equal effects
    std::map<RaftTerm, VmName> leaders;
    std::vector<LogEntry> committed;
    Bounds used {};
    bool areC2AndC3Symmetric = true; // nothing has distinguished c2 from c3 yet
};

// Fixed election timeouts remove RaftNode's only random choice: the search tries every order.
constexpr RaftTimings SearchTimings {1ms, 1000ms, 1000ms};

RaftNode makeNode(const VmName &name, const StoredLog &stored)
{
    return RaftNode(name, stored, {}, controlRoleChart(), SearchTimings, std::minstd_rand(1), {});
}

SearchState firstState()
{
    SearchState state;
    Members members;
    for (const char *name : Names)
        members.push_back({VmName(name), name});
    for (const char *name : Names) {
        StoredLog stored;
        stored.folder = name;
        stored.snapshot = {1, 0, members, {}};
        state.vms.push_back({stored, {}, makeNode(VmName(name), stored), {}, 1});
    }
    return state;
}

void store(StoredLog &disk, const RaftAction &action)
{
    if (const auto *vote = std::get_if<PersistVote>(&action))
        disk.vote = vote->vote;
    if (const auto *entries = std::get_if<AppendEntries>(&action))
        disk.entries.insert(disk.entries.end(), entries->entries.begin(), entries->entries.end());
    if (const auto *cutOff = std::get_if<TruncateFrom>(&action))
        disk.entries.resize(cutOff->index - disk.snapshot.index - 1);
}

WriteNumber numberOf(const RaftAction &action)
{
    if (const auto *vote = std::get_if<PersistVote>(&action))
        return vote->write;
    if (const auto *entries = std::get_if<AppendEntries>(&action))
        return entries->write;
    return std::get<TruncateFrom>(action).write;
}

void commitEntry(SearchState &state, SearchVm &vm, const LogEntry &entry)
{
    REQUIRE(entry.index == vm.applied + 1);
    vm.applied = entry.index;
    const std::size_t place = entry.index - 2; // index 1 is the snapshot
    if (place == state.committed.size())
        state.committed.push_back(entry);
    REQUIRE_MESSAGE(state.committed.at(place) == entry, "a committed entry changed");
}

void perform(SearchState &state, SearchVm &vm, const RaftActions &actions)
{
    for (const RaftAction &action : actions) {
        if (const auto *send = std::get_if<SendMessage>(&action)) {
            state.messages.emplace(fingerprint(send->message), send->message);
        } else if (const auto *apply = std::get_if<ApplyCommitted>(&action)) {
            for (LogIndex index = apply->first; index <= apply->last; ++index)
                commitEntry(state, vm, vm.node.log().at(index));
        } else if (const auto *leads = std::get_if<BecameLeader>(&action)) {
            const auto known = state.leaders.emplace(leads->term, vm.node.self()).first;
            REQUIRE_MESSAGE(known->second == vm.node.self(), "two leaders in one term");
        } else if (!std::get_if<SteppedDown>(&action) && !std::get_if<RoleChanged>(&action)) {
            vm.unsynced.push_back(action);
        }
    }
}

void sync(SearchState &state, SearchVm &vm)
{
    while (!vm.unsynced.empty()) {
        const std::vector<RaftAction> writes = std::exchange(vm.unsynced, {});
        for (const RaftAction &write : writes)
            store(vm.durable, write);
        perform(state, vm, vm.node.synced(numberOf(writes.back())));
    }
}

// True for a reply that has no effect now or later, since its term is over or its request is
// already decided. Dropping it changes no other state.
bool isObsolete(const SearchState &state, const RaftMessage &message)
{
    const auto at = static_cast<std::size_t>(message.receiver.text().back() - '1');
    const RaftNode &node = state.vms[at].node;
    switch (message.kind) {
    case RaftMessageKind::PreVoteReply:
        return message.term <= node.term();
    case RaftMessageKind::VoteReply:
        return message.term < node.term()
                || (message.term == node.term()
                    && (!message.isGranted || node.role() != "candidate"));
    case RaftMessageKind::AppendReply:
        return message.term < node.term() || (message.term == node.term() && !node.isLeader());
    default:
        return false;
    }
}

std::uint64_t hashOf(const SearchState &state)
{
    std::string text;
    for (const SearchVm &vm : state.vms) {
        text += vm.node.fingerprint() + "|" + std::to_string(vm.durable.vote.term);
        text += vm.durable.vote.votedFor.text() + std::to_string(vm.durable.entries.size());
        text += "," + std::to_string(vm.applied) + "/";
    }
    for (const auto &[key, message] : state.messages)
        text += key;
    for (const int used :
         {state.used.timeouts, state.used.proposals, state.used.crashes, state.used.delayedSyncs})
        text += static_cast<char>('0' + used);
    return XXH64(text.data(), text.size(), 0);
}

// Visits every state that is reachable within the bounds, once.
class StateSpaceSearch
{
public:
    explicit StateSpaceSearch(const Bounds &bounds)
        : m_bounds(bounds)
    { }

    void run()
    {
        visit(firstState());
        while (!m_frontier.empty()) {
            const SearchState state = std::move(m_frontier.back());
            m_frontier.pop_back();
            expand(state);
        }
    }

    std::size_t states() const { return m_visited.size(); }
    std::size_t maxCommitted = 0; // committed entries
    std::size_t maxLeaders = 0;

private:
    void visit(SearchState state)
    {
        std::erase_if(state.messages,
                      [&](const auto &item) { return isObsolete(state, item.second); });
        maxCommitted = std::max(maxCommitted, state.committed.size());
        maxLeaders = std::max(maxLeaders, state.leaders.size());
        if (m_visited.insert(hashOf(state)).second)
            m_frontier.push_back(std::move(state));
    }

    void expand(const SearchState &state)
    {
        for (std::size_t at = 0; at < state.vms.size(); ++at) {
            timeOut(state, at);
            propose(state, at);
            crash(state, at);
            syncDelayedWrites(state, at);
        }
        for (const auto &[key, message] : state.messages)
            deliver(state, key, message);
    }

    static void markDistinguished(SearchState &state, std::size_t at)
    {
        state.areC2AndC3Symmetric = state.areC2AndC3Symmetric && at == 0;
    }

    // Continues both with the writes synced at once and with the sync delayed.
    void visitBothSyncOrders(const SearchState &state, std::size_t at)
    {
        SearchState synced = state;
        sync(synced, synced.vms[at]);
        visit(std::move(synced));
        if (state.vms[at].unsynced.empty() || state.used.delayedSyncs == m_bounds.delayedSyncs)
            return;
        SearchState late = state;
        ++late.used.delayedSyncs;
        visit(std::move(late));
    }

    void timeOut(const SearchState &state, std::size_t at)
    {
        if (state.used.timeouts == m_bounds.timeouts)
            return;
        // All VMs are alike at first, so only c1 needs to act first.
        if (state.used.timeouts == 0 && at > 0)
            return;
        if (state.areC2AndC3Symmetric && at == 2)
            return;
        if (!state.vms[at].node.isLeader() && state.vms[at].node.term() == m_bounds.highestTerm)
            return;
        SearchState next = state;
        ++next.used.timeouts;
        markDistinguished(next, at);
        SearchVm &vm = next.vms[at];
        vm.now = vm.node.deadline();
        perform(next, vm, vm.node.tick(vm.now));
        visitBothSyncOrders(next, at);
    }

    void propose(const SearchState &state, std::size_t at)
    {
        if (state.used.proposals == m_bounds.proposals || !state.vms[at].node.isLeader())
            return;
        SearchState next = state;
        const std::string payload = std::to_string(++next.used.proposals);
        SearchVm &vm = next.vms[at];
        perform(next, vm, vm.node.propose({{CommandKind::Group, payload}}));
        visitBothSyncOrders(next, at);
    }

    void crash(const SearchState &state, std::size_t at)
    {
        if (state.used.crashes == m_bounds.crashes || (state.areC2AndC3Symmetric && at == 2))
            return;
        SearchState next = state;
        markDistinguished(next, at);
        ++next.used.crashes;
        SearchVm &vm = next.vms[at];
        const StoredLog durable = vm.durable;
        next.vms[at] = {durable, {}, makeNode(vm.node.self(), durable), {}, 1};
        visit(std::move(next));
    }

    void syncDelayedWrites(const SearchState &state, std::size_t at)
    {
        if (state.vms[at].unsynced.empty())
            return;
        SearchState next = state;
        sync(next, next.vms[at]);
        visit(std::move(next));
    }

    void deliver(const SearchState &state, const std::string &key, const RaftMessage &message)
    {
        const auto at = static_cast<std::size_t>(message.receiver.text().back() - '1');
        if (state.areC2AndC3Symmetric && at == 2)
            return;
        SearchState next = state;
        next.messages.erase(key);
        markDistinguished(next, at);
        SearchVm &vm = next.vms[at];
        perform(next, vm, vm.node.receive(message, vm.now));
        visitBothSyncOrders(next, at);
    }

    const Bounds m_bounds;
    std::unordered_set<std::uint64_t> m_visited;
    std::vector<SearchState> m_frontier;
};

// Bounds the run time of the search.
constexpr std::size_t MaxStates = 300'000;

// Sanitizers slow the search down several times, so sanitized builds skip the largest row.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool IsSanitized = true;
#else
constexpr bool IsSanitized = false;
#endif

struct SearchRow
{
    const char *name;
    Bounds bounds;
    std::size_t leaders; // that the search must have found
    bool isLarge;
};

const SearchRow Rows[] = {
        {"a term with an entry, a crash and a late sync", {1, 1, 1, 1, 1}, 1, false},
        {"two terms", {2, 0, 0, 0, 2}, 2, false},
        {"two terms and a crash", {2, 0, 1, 0, 2}, 2, true},
};

} // namespace

TEST_CASE("three control VMs keep the invariants in every reachable state of a small size")
{
    for (const SearchRow &row : Rows) {
        if (row.isLarge && IsSanitized)
            continue;
        CAPTURE(row.name);
        StateSpaceSearch search(row.bounds);
        search.run();
        std::printf("control log walk, %s: %zu states\n", row.name, search.states());
        CHECK(search.states() <= MaxStates);
        CHECK(search.maxCommitted == 2);
        CHECK(search.maxLeaders == row.leaders);
    }
}
