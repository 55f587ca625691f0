#include "unit/fleet/gossipnetwork.h"

#include <cstdio>
#include <cstring>

// What membership costs a node, and how long a death and a join take to be known,
// in virtual time with fixed seeds. Bounds: control may use 15 KB a second at a
// node, of which gossip takes at most 5 KB (sent and received), whatever the
// size of the fleet; a death is known to 99% within 10 s, a join within 10 s.
namespace {

using namespace nutmegtide;
using namespace nutmegtide::test;

constexpr double MostBytes = 5'000; // a node and second, sent and received
constexpr double MostMilliseconds = 10'000; // until 99% know
constexpr double KnowingShare = 0.99;
constexpr auto Longest = 120s;
constexpr auto Measured = 30s;
constexpr int Trials = 3; // of the small sizes
constexpr double CheckedLoss = 0.01;

struct Row
{
    double quietBytes = 0; // a node and second without changes
    double busyBytes = 0; // while a hundredth of the fleet dies and joins
    double death = 0; // ms until 99% know, the worst of the trials
    double join = 0;
    int falseDeaths = 0;
};

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Returns the time until this share of the other members holds the state.
double untilKnown(GossipNetwork &network, int members, const VmName &subject, bool isPresent)
{
    const TimePoint start = network.now();
    const auto isKnown = [&] {
        int knowing = 0;
        for (int number = 0; number < members; ++number) {
            const Member *known = network.at(GossipNetwork::name(number)).find(subject);
            knowing += (known && known->isPresent()) == isPresent ? 1 : 0;
        }
        return knowing >= KnowingShare * members;
    };
    network.runUntil(isKnown, Longest);
    return milliseconds(network.now() - start);
}

double bytesPerNode(GossipNetwork &network, int members)
{
    const std::uint64_t before = network.bytes;
    network.run(Measured);
    const auto counted = static_cast<double>(network.bytes - before);
    return counted / members / std::chrono::duration<double>(Measured).count();
}

void trial(int members, std::uint64_t seed, Row &row)
{
    GossipNetwork network(seed);
    network.startAll(0, members);
    network.runUntil([&] { return network.hasConverged(); }, Longest);
    network.run(Measured);
    network.loss = CheckedLoss;
    network.seen.clear();
    row.quietBytes = std::max(row.quietBytes, bytesPerNode(network, members));
    row.falseDeaths += network.count(MemberChangeKind::Died);
    const VmName subject = GossipNetwork::name(members);
    network.start(subject);
    row.join = std::max(row.join, untilKnown(network, members, subject, true));
    network.run(Measured);
    network.kill(subject);
    row.death = std::max(row.death, untilKnown(network, members, subject, false));
    network.run(Measured);
    const int changed = std::max(1, members / 100);
    for (int number = 1; number <= changed; ++number) {
        network.kill(GossipNetwork::name(members - number));
        network.start(GossipNetwork::name(members + number));
    }
    row.busyBytes = std::max(row.busyBytes, bytesPerNode(network, members));
}

bool isKept(const Row &row)
{
    return row.quietBytes <= MostBytes && row.busyBytes <= MostBytes
            && row.death <= MostMilliseconds && row.join <= MostMilliseconds
            && row.falseDeaths == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const bool isCheck = argumentCount > 1 && std::strcmp(arguments[1], "--check") == 0;
    bool isAllKept = true;
    std::printf("members,bytes_per_node_s,time_to_99_ms,join_to_99_ms,busy_bytes_per_node_s,"
                "false_deaths\n");
    for (const int members : {9, 33, 128, 300}) {
        Row row;
        const int trials = members > 33 ? 1 : Trials;
        for (int number = 0; number < trials; ++number)
            trial(members,
                  std::uint64_t {100} * static_cast<std::uint64_t>(members)
                          + static_cast<std::uint64_t>(number),
                  row);
        std::printf("%d,%.0f,%.0f,%.0f,%.0f,%d\n", members, row.quietBytes, row.death, row.join,
                    row.busyBytes, row.falseDeaths);
        std::fflush(stdout);
        isAllKept = isAllKept && isKept(row);
    }
    return isCheck && !isAllKept ? 1 : 0;
}
