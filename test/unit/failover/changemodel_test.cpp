// Explores all states of one group of three servers with up to two writes and one or two competing
// changes of primary, with delayed and lost messages, crashes and timeouts. Guards against the loss
// of an acknowledged write and against two primaries in one term.
#include "unit/failover/fakegroup.h"

#include "nutmegtide/charts/chartlibrary.h"

#include <deque>
#include <doctest/doctest.h>
#include <sstream>
#include <unordered_set>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const DatabaseName Database("casks");
const std::vector<ServerId> Voters3 {ServerId("s1"), ServerId("s2"), ServerId("s3")};
constexpr std::size_t MaxStates = 400'000;

struct Bounds
{
    int changes = 1;
    int writes = 2;
    int crashes = 1;
    int timeouts = 1; // in all changes together
    bool isLossy = true; // answers may be lost, and orders to follow may be delayed
};

struct Write
{
    Term term = 0; // 0 until it is executed
    std::uint64_t index = 0;
    std::set<ServerId> seen; // servers that have confirmed it to the proxy
    bool isAcknowledged = false;
};

struct State
{
    FakeGroup group {Voters3};
    GroupLedger ledger;
    std::vector<PrimaryChange> changes;
    std::vector<std::pair<int, ChangeAction>> messages; // sent by a change, not yet delivered
    std::vector<Write> writes;
    int crashes = 0;
    int timeouts = 0;

    bool isAcknowledged(int write) const { return writes[std::size_t(write) - 1].isAcknowledged; }
};

std::string textOf(const ChangeAction &action)
{
    std::ostringstream out;
    out << action.index();
    if (const auto *fence = std::get_if<FenceServer>(&action))
        out << fence->server << fence->term;
    if (const auto *promote = std::get_if<PromoteServer>(&action))
        out << promote->server << promote->term;
    if (const auto *follow = std::get_if<FollowServer>(&action))
        out << follow->server << follow->term << follow->primary;
    return out.str();
}

std::string keyOf(const State &state)
{
    std::ostringstream out;
    for (const auto &[id, server] : state.group.servers) {
        out << server.term << int(server.role) << server.isUp
            << server.source.value_or(ServerId("-"));
        for (const FakeEntry &entry : server.log)
            out << ',' << entry.term << '.' << entry.write;
        out << ';';
    }
    out << state.ledger.snapshot();
    for (const PrimaryChange &change : state.changes)
        out << '|' << change.toText();
    std::set<std::string> messages;
    for (const auto &[sender, action] : state.messages)
        messages.insert(std::to_string(sender) + textOf(action));
    for (const std::string &message : messages)
        out << '/' << message;
    for (const Write &write : state.writes) {
        out << '!' << write.term << '.' << write.index << write.isAcknowledged;
        for (const ServerId &server : write.seen)
            out << server;
    }
    out << state.crashes << state.timeouts;
    return out.str();
}

class StateSearch
{
public:
    explicit StateSearch(Bounds bounds)
        : m_bounds(bounds)
    { }

    // Returns a description of the first violation, or an empty string.
    std::string run()
    {
        add(firstState());
        while (!m_open.empty() && m_violation.empty() && m_known.size() < MaxStates) {
            const State state = std::move(m_open.front());
            m_open.pop_front();
            expand(state);
        }
        return m_violation;
    }

    std::size_t states() const { return m_known.size(); }
    std::size_t published() const { return m_published; }

private:
    State firstState() const
    {
        State state;
        state.ledger.apply(1,
                           encode({GroupCommandKind::Adopt, Database, 1, "", Voters3[0], Voters3}));
        state.writes.resize(std::size_t(m_bounds.writes));
        for (int i = 0; i < m_bounds.changes; ++i) {
            ChangeRequest request;
            request.database = Database;
            request.owner = "c" + std::to_string(i);
            request.suspect = Voters3[0];
            state.changes.emplace_back(m_charts.chart("primary_change"), ChangeTimings(), request,
                                       *state.ledger.find(Database));
        }
        for (int i = 0; i < m_bounds.changes; ++i)
            enqueue(state, i, state.changes[std::size_t(i)].start(TimePoint()));
        return state;
    }

    // Queues the messages of a change. Probes have no effect on a server and are answered at once;
    // a proposal is committed at once.
    void enqueue(State &state, int sender, const ChangeActions &actions) const
    {
        PrimaryChange &change = state.changes[std::size_t(sender)];
        for (const ChangeAction &action : actions) {
            if (const auto *probe = std::get_if<ProbeServer>(&action)) {
                const FakeServer &server = state.group.servers.at(probe->server);
                if (server.isUp) {
                    enqueue(state, sender,
                            change.onProbed(probe->server, server.position(), TimePoint()));
                }
            } else if (const auto *proposal = std::get_if<ProposeGroup>(&action)) {
                state.ledger.apply(2, encode(proposal->command));
                enqueue(state, sender,
                        change.onCommitted(proposal->command, *state.ledger.find(Database),
                                           TimePoint()));
            } else if (const auto *follow = std::get_if<FollowServer>(&action);
                       follow && !m_bounds.isLossy) {
                if (state.group.servers.at(follow->server).isUp)
                    state.group.follow(*follow);
            } else if (!std::holds_alternative<RecordChangeEvent>(action)
                       && !std::holds_alternative<WatchBarrier>(action)) {
                state.messages.emplace_back(sender, action);
            }
        }
    }

    void add(State state)
    {
        check(state);
        if (m_known.insert(std::hash<std::string>()(keyOf(state))).second)
            m_open.push_back(std::move(state));
    }

    void check(const State &state)
    {
        if (state.group.hasTwoPrimariesInTerm)
            m_violation = "two primaries in one term: " + keyOf(state);
        for (const auto &[id, server] : state.group.servers) {
            for (std::size_t i = 0; i < state.writes.size(); ++i) {
                const Write &write = state.writes[i];
                const bool isLater = server.role == ServerRole::Primary
                        && server.term >= write.term;
                if (write.isAcknowledged && isLater && !server.holds(int(i) + 1))
                    m_violation = "an acknowledged write is lost: " + keyOf(state);
            }
        }
        for (const PrimaryChange &change : state.changes)
            m_published += change.isPublished() ? 1 : 0;
    }

    void expand(const State &state)
    {
        for (std::size_t i = 0; i < state.messages.size(); ++i) {
            deliver(state, i, true);
            if (m_bounds.isLossy)
                deliver(state, i, false);
        }
        for (const ServerId &id : Voters3) {
            replicate(state, id);
            observe(state, id);
            execute(state, id);
            crash(state, id);
        }
        for (std::size_t i = 0; i < state.changes.size(); ++i) {
            showBarrier(state, i);
            timeOut(state, i);
        }
    }

    // The server handles the message. Its answer arrives, or is lost.
    void deliver(const State &state, std::size_t index, bool isAnswered)
    {
        State next = state;
        const auto [sender, action] = next.messages[index];
        next.messages.erase(next.messages.begin() + long(index));
        ChangeActions then;
        PrimaryChange &change = next.changes[std::size_t(sender)];
        if (const auto *fence = std::get_if<FenceServer>(&action)) {
            if (!next.group.servers.at(fence->server).isUp)
                return;
            const auto reply = next.group.fence(fence->server, fence->term);
            const Term own = next.group.servers.at(fence->server).term;
            if (isAnswered)
                then = reply ? change.onFenced(fence->server, *reply, TimePoint())
                             : change.onStaleTerm(fence->term, own, TimePoint());
        } else if (const auto *promote = std::get_if<PromoteServer>(&action)) {
            if (!next.group.servers.at(promote->server).isUp)
                return;
            const auto reply = next.group.promote(*promote);
            const Term own = next.group.servers.at(promote->server).term;
            if (isAnswered)
                then = reply ? change.onPromoted(promote->server, *reply, TimePoint())
                             : change.onStaleTerm(promote->term, own, TimePoint());
        } else if (const auto *follow = std::get_if<FollowServer>(&action)) {
            if (!isAnswered || !next.group.servers.at(follow->server).isUp)
                return;
            next.group.follow(*follow);
        }
        enqueue(next, sender, then);
        add(std::move(next));
    }

    void replicate(const State &state, const ServerId &id)
    {
        State next = state;
        if (next.group.replicate(id))
            add(std::move(next));
    }

    // The proxy learns a server's position, which confirms a write of the same term for good.
    void observe(const State &state, const ServerId &id)
    {
        const FakeServer &server = state.group.servers.at(id);
        for (std::size_t i = 0; i < state.writes.size(); ++i) {
            const Write &write = state.writes[i];
            const bool isHeld = server.isUp && write.term != 0 && server.term == write.term
                    && server.last() >= LogPosition {write.term, write.index};
            if (!isHeld || write.seen.count(id) != 0)
                continue;
            State next = state;
            Write &heard = next.writes[i];
            heard.seen.insert(id);
            heard.isAcknowledged = heard.seen.size() >= 2;
            add(std::move(next));
        }
    }

    void execute(const State &state, const ServerId &id)
    {
        const FakeServer &server = state.group.servers.at(id);
        for (std::size_t i = 0; i < state.writes.size(); ++i) {
            if (state.writes[i].term != 0 || !server.isUp || server.role != ServerRole::Primary)
                continue;
            State next = state;
            FakeServer &primary = next.group.servers.at(id);
            primary.log.push_back({primary.term, int(i) + 1});
            next.writes[i].term = primary.term;
            next.writes[i].index = primary.log.size();
            add(std::move(next));
            return; // the writes are interchangeable, so their order doesn't matter
        }
    }

    void crash(const State &state, const ServerId &id)
    {
        if (state.crashes == m_bounds.crashes)
            return;
        for (const bool comesBack : {false, true}) {
            State next = state;
            ++next.crashes;
            next.group.servers.at(id).restart();
            next.group.servers.at(id).isUp = comesBack;
            add(std::move(next));
        }
    }

    void showBarrier(const State &state, std::size_t index)
    {
        if (state.changes[index].state() != "confirming")
            return;
        for (const ServerId &id : Voters3) {
            State next = state;
            const FakeServer &server = next.group.servers.at(id);
            if (!server.isUp)
                continue;
            const auto then = next.changes[index].onPosition(id, server.position(), TimePoint());
            enqueue(next, int(index), then);
            add(std::move(next));
        }
    }

    void timeOut(const State &state, std::size_t index)
    {
        if (state.timeouts == m_bounds.timeouts || state.changes[index].isOver())
            return;
        State next = state;
        ++next.timeouts;
        PrimaryChange &change = next.changes[index];
        const auto late = TimePoint() + std::chrono::hours(1);
        enqueue(next, int(index), change.tick(late));
        if (change.state() == "failed")
            enqueue(next, int(index), change.tick(late + std::chrono::hours(1)));
        add(std::move(next));
    }

    const Bounds m_bounds;
    const ChartLibrary m_charts = ChartLibrary::embedded();
    std::deque<State> m_open;
    std::unordered_set<std::size_t> m_known;
    std::size_t m_published = 0;
    std::string m_violation;
};

// Explores every order of steps within the bounds and checks each state.
void checkStates(const Bounds &bounds)
{
    StateSearch search(bounds);
    const std::string violation = search.run();
    MESSAGE(search.states() << " states");
    CHECK_MESSAGE(violation.empty(), violation);
    CHECK(search.states() < MaxStates);
    CHECK(search.published() > 0);
}

} // namespace

// Each search is a separate test case, so that they can run in parallel.
TEST_CASE("one change with two writes never loses an acknowledged write or has two primaries in a "
          "term")
{
    checkStates({1, 2, 0, 0, true});
}

TEST_CASE("one change with a crash never loses an acknowledged write or has two primaries in a "
          "term")
{
    checkStates({1, 1, 1, 0, true});
}

TEST_CASE("one change with a retry never loses an acknowledged write or has two primaries in a "
          "term")
{
    checkStates({1, 1, 0, 1, false});
}

TEST_CASE("two competing changes never lose an acknowledged write or have two primaries in a term")
{
    checkStates({2, 1, 0, 0, true});
}
