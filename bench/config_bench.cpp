// Counts the messages of a change of configuration and measures, in virtual time, how long it
// takes until it is in force at every node and what a node sends and receives for it. With
// --check it exits 1 when a bound of docs/design/configuration.md is passed.

#include "nutmegtide/fleet/configfollower.h"
#include "support/eventqueue.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

using namespace nutmegtide;

namespace {

constexpr std::uint64_t Seed = 2016;
constexpr int Domains = 7;
constexpr int Regions = 3;
constexpr int ControlVms = 7;
constexpr double Loss = 0.01; // of all calls
constexpr double DownShare = 0.01; // of the members, still taken to be alive
constexpr std::chrono::milliseconds InRegion {1}; // one way
constexpr std::chrono::milliseconds BetweenRegions {75}; // one way
constexpr std::chrono::milliseconds Processing {20}; // of a message, with the tick's delay
constexpr std::chrono::milliseconds SyncTime {10};
constexpr std::chrono::milliseconds CallTimeout {1'000};
constexpr int ConnectTrips = 3; // one way, until the first message of a connection is there
constexpr std::chrono::milliseconds TickInterval {50};
constexpr std::chrono::milliseconds ElectionTime {2'000}; // until a new leader publishes

constexpr double ChangesPerDay = 3'600;
constexpr double SecondsPerDay = 86'400;
constexpr int Databases = 3'500;
constexpr double LargestRate = 15'000; // bytes a second for all of control
constexpr std::chrono::milliseconds LongestUntilInForce {5'000};

// A call's frame, header and names over TCP, with the acknowledgements both ways.
constexpr double CallBytes = 300;
constexpr double NameBytes = 16; // one VM in `onward`

// The least depth at which a tree of the degree holds all receivers.
int largestDepth(int receivers)
{
    int depth = 0;
    for (long covered = 0, level = 1; covered < receivers; ++depth) {
        level *= long(FanOutDegree);
        covered += level;
    }
    return depth;
}

std::vector<FanOutMember> makeMembers(int count)
{
    std::vector<FanOutMember> members;
    for (int i = 0; i < count; ++i) {
        members.push_back({VmName("vm-" + std::to_string(i)),
                           FailureDomain("fd-" + std::to_string(i % Domains))});
    }
    return members;
}

struct TreeCount
{
    long messages = 0;
    std::size_t mostOfOneNode = 0;
    int depth = 0;
    long names = 0; // in all `onward` lists
};

void countTree(const std::vector<VmName> &members, int level, TreeCount &count)
{
    const std::vector<FanOutPart> parts = fanOut(members);
    count.messages += long(parts.size());
    count.mostOfOneNode = std::max(count.mostOfOneNode, parts.size());
    if (!parts.empty())
        count.depth = std::max(count.depth, level);
    for (const FanOutPart &part : parts) {
        count.names += long(part.onward.size());
        countTree(part.onward, level + 1, count);
    }
}

// Prints one row and returns whether its bounds are kept.
bool reportTree(int members)
{
    TreeCount count;
    countTree(pushOrder(makeMembers(members - 1), 1), 1, count);
    const bool isKept = count.messages == members - 1 && count.mostOfOneNode <= FanOutDegree
            && count.depth <= largestDepth(members - 1);
    std::printf("%7d %9ld %10.3f %9zu %6d %7d %10.1f %s\n", members, count.messages,
                double(count.messages) / members, count.mostOfOneNode, count.depth,
                largestDepth(members - 1), double(count.names) * NameBytes / members,
                isKept ? "kept" : "broken");
    return isKept;
}

std::string tomlOf(int queueLength)
{
    return "[limits]\nqueue_length = " + std::to_string(queueLength) + "\n";
}

// Stands for the size of the settings at the large size: one key a database.
double bytesOfSettings()
{
    std::string toml;
    for (int i = 0; i < Databases; ++i)
        toml += "[database.register-" + std::to_string(i) + "]\nvoters = 3\n\n";
    return double(toml.size());
}

// Who publishes an accepted change.
enum class Publisher {
    Leader,
    NextLeader, // the leader dies between the decision and its pushes
    Nobody, // the digest alone has to do
};

struct Traffic
{
    long pushes = 0;
    long digests = 0;
    long wholes = 0; // settings that travelled, by push or in an answer
    long names = 0;
};

struct FleetOutcome
{
    std::chrono::milliseconds untilLast {0};
    std::chrono::milliseconds until99 {0};
    Traffic traffic;
    long perNodeMost = 0; // pushes that one node sent for the change
};

// Followers of one fleet, joined by a queue of messages in virtual time. Node 0 leads control.
class FleetModel
{
public:
    FleetModel(int size, double loss, double downShare, std::uint64_t seed)
        : m_random(seed)
        , m_loss(loss)
        , m_members(makeMembers(size))
    {
        std::bernoulli_distribution down(downShare);
        for (int i = 0; i < size; ++i) {
            const FanOutMember &member = m_members[std::size_t(i)];
            m_index[member.vm] = i;
            m_peers.push_back({member.vm, member.failureDomain, i < ControlVms});
            m_followers.emplace_back(ConfigFollower::Options(), ConfigRevision(), m_now,
                                     seed + std::uint64_t(i));
            m_isDown.push_back(i >= ControlVms && down(m_random));
        }
        m_inForceAt.resize(std::size_t(size));
        m_pushesOf.resize(std::size_t(size));
    }

    // Accepts a revision and runs until it is in force everywhere, at most for a minute.
    FleetOutcome change(Revision revision, Publisher publisher)
    {
        m_traffic = {};
        std::fill(m_pushesOf.begin(), m_pushesOf.end(), 0);
        std::fill(m_inForceAt.begin(), m_inForceAt.end(), TimePoint());
        const TimePoint start = m_now;
        const ConfigRevision accepted {revision, tomlOf(int(revision)), ChangeId("c")};
        for (int i = 0; i < ControlVms && i < int(m_peers.size()); ++i)
            run(i, m_followers[std::size_t(i)].onAccepted(accepted));
        if (publisher == Publisher::Leader)
            publish(0);
        if (publisher == Publisher::NextLeader)
            schedule(ElectionTime, [this] { publish(1); });
        while (!isInForce(revision) && m_now < start + 60s)
            advance();
        return outcome(start, revision);
    }

    // Runs the fleet without a change.
    void idle(std::chrono::milliseconds time)
    {
        for (const TimePoint end = m_now + time; m_now < end;)
            advance();
    }

private:
    void schedule(std::chrono::milliseconds delay, std::function<void()> effect)
    {
        m_queue.add(m_now + delay, std::move(effect));
    }

    std::chrono::milliseconds oneWay(int from, int to) const
    {
        const bool isSameRegion = from % Domains % Regions == to % Domains % Regions;
        return isSameRegion ? InRegion : BetweenRegions;
    }

    bool isLost(int to) { return m_isDown[std::size_t(to)] || m_lost(m_random) < m_loss; }

    void publish(int node)
    {
        std::vector<ConfigPeer> others = m_peers;
        others.erase(others.begin() + node);
        run(node, m_followers[std::size_t(node)].publish(others));
    }

    void run(int node, const ConfigActions &actions)
    {
        for (const ConfigAction &action : actions)
            std::visit([&](const auto &alternative) { perform(node, alternative); }, action);
    }

    void perform(int node, const PersistConfig &action)
    {
        m_followers[std::size_t(node)].onPersisted(action.revision.revision);
    }

    void perform(int node, const ApplyConfig &)
    {
        m_inForceAt[std::size_t(node)] = m_now + SyncTime;
    }

    void perform(int, const ReportUnreadableConfig &) { }

    void perform(int node, const PushConfig &push)
    {
        const int to = m_index.at(push.receiver);
        ++m_traffic.pushes;
        ++m_traffic.wholes;
        m_traffic.names += long(push.onward.size());
        ++m_pushesOf[std::size_t(node)];
        if (isLost(to)) {
            schedule(CallTimeout, [this, node, push] {
                run(node, m_followers[std::size_t(node)].onPushFailed(push));
            });
            return;
        }
        schedule(ConnectTrips * oneWay(node, to) + Processing, [this, to, push] {
            run(to, m_followers[std::size_t(to)].onPush(push.revision, push.onward));
        });
    }

    void perform(int node, const RequestConfig &ask)
    {
        const int to = m_index.at(ask.peer);
        ++m_traffic.digests;
        if (isLost(to))
            return;
        schedule(ConnectTrips * oneWay(node, to) + Processing, [this, node, to, ask] {
            const ConfigRevision page = m_followers[std::size_t(to)].pageAfter(ask.after);
            m_traffic.wholes += page.revision == 0 ? 0 : 1;
            schedule(oneWay(to, node) + Processing, [this, node, ask, page] {
                run(node, m_followers[std::size_t(node)].onPage(ask.peer, page));
            });
        });
    }

    void advance()
    {
        const TimePoint end = m_now + TickInterval;
        while (!m_queue.isEmpty() && m_queue.nextAt() <= end)
            m_queue.runNext(m_now);
        m_now = end;
        for (int i = 0; i < int(m_peers.size()); ++i) {
            if (!m_isDown[std::size_t(i)])
                run(i, m_followers[std::size_t(i)].tick(m_now, m_peers));
        }
    }

    bool isInForce(Revision revision) const
    {
        for (std::size_t i = 0; i < m_followers.size(); ++i) {
            if (!m_isDown[i] && m_followers[i].inForce() != revision)
                return false;
        }
        return true;
    }

    FleetOutcome outcome(TimePoint start, Revision revision) const
    {
        FleetOutcome outcome;
        std::vector<std::chrono::milliseconds> times;
        for (std::size_t i = 0; i < m_followers.size(); ++i) {
            if (m_isDown[i])
                continue;
            const bool isThere = m_followers[i].inForce() == revision;
            const TimePoint at = isThere ? m_inForceAt[i] : m_now;
            times.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(at - start));
        }
        std::sort(times.begin(), times.end());
        outcome.untilLast = times.back();
        outcome.until99 = times[times.size() * 99 / 100];
        outcome.traffic = m_traffic;
        outcome.perNodeMost = *std::max_element(m_pushesOf.begin(), m_pushesOf.end());
        return outcome;
    }

    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_lost {0, 1};
    double m_loss;
    std::vector<FanOutMember> m_members;
    std::vector<ConfigPeer> m_peers;
    std::unordered_map<VmName, int> m_index;
    std::deque<ConfigFollower> m_followers;
    std::vector<bool> m_isDown;
    std::vector<TimePoint> m_inForceAt;
    std::vector<long> m_pushesOf;
    TimePoint m_now {1h};
    test::EventQueue m_queue;
    Traffic m_traffic;
};

struct FleetRow
{
    const char *what;
    int members;
    double loss;
    double downShare;
    Publisher publisher;
    bool isJudged;
};

constexpr FleetRow FleetRows[] = {
        {"healthy", 9, 0, 0, Publisher::Leader, true},
        {"healthy", 3'100, 0, 0, Publisher::Leader, true},
        {"1% of calls lost", 81, Loss, 0, Publisher::Leader, true},
        {"1% of calls lost", 729, Loss, 0, Publisher::Leader, true},
        {"1% of calls lost", 3'100, Loss, 0, Publisher::Leader, true},
        {"and 1% of VMs down", 3'100, Loss, DownShare, Publisher::Leader, true},
        {"leader dies", 3'100, Loss, 0, Publisher::NextLeader, true},
        {"digest alone", 3'100, Loss, 0, Publisher::Nobody, false},
};

// Prints one row, the slowest of several changes, and returns whether its bounds are kept.
bool reportFleet(const FleetRow &row)
{
    constexpr int Changes = 5;
    FleetModel fleet(row.members, row.loss, row.downShare, Seed);
    fleet.idle(3s);
    FleetOutcome worst;
    double wholes = 0;
    double names = 0;
    double pushes = 0;
    for (Revision revision = 1; revision <= Changes; ++revision) {
        const FleetOutcome outcome = fleet.change(revision, row.publisher);
        worst.untilLast = std::max(worst.untilLast, outcome.untilLast);
        worst.until99 = std::max(worst.until99, outcome.until99);
        worst.perNodeMost = std::max(worst.perNodeMost, outcome.perNodeMost);
        wholes += double(outcome.traffic.wholes) / Changes / row.members;
        names += double(outcome.traffic.names) / Changes / row.members;
        pushes += double(outcome.traffic.pushes) / Changes / row.members;
        fleet.idle(3s);
    }
    // Each message is sent by one node and received by another; a digest is a call a second.
    const double perChange = 2
            * (wholes * bytesOfSettings() + names * NameBytes + pushes * CallBytes);
    const double rate = perChange * ChangesPerDay / SecondsPerDay + 2 * CallBytes;
    const bool isKept = worst.untilLast <= LongestUntilInForce && rate <= LargestRate;
    std::printf("%-20s %7d %9ld %9ld %8.3f %8.3f %9ld %9.0f %s\n", row.what, row.members,
                long(worst.until99.count()), long(worst.untilLast.count()), pushes, wholes,
                worst.perNodeMost, rate, isKept ? "kept" : "broken");
    return isKept;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    bool isKept = true;
    std::printf("members  messages   per node  most/node  depth   bound names[B/node] bounds\n");
    for (const int members : {9, 81, 729, 3'100})
        isKept = reportTree(members) && isKept;
    std::printf("\nsettings of %d databases: %.0f bytes\n", Databases, bytesOfSettings());
    std::printf("case                 members   p99[ms]  last[ms]   pushes   wholes most/node"
                "    [B/s] bounds\n");
    for (const FleetRow &row : FleetRows) {
        if (isCheck && !row.isJudged)
            continue;
        const bool isRowKept = reportFleet(row);
        isKept = isKept && (isRowKept || !row.isJudged);
    }
    return isCheck && !isKept ? 1 : 0;
}
