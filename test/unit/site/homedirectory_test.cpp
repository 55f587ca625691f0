#include "site/homedirectory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace nutmegtide;

namespace {

std::vector<HomeCandidate> entries(int perDomain)
{
    std::vector<HomeCandidate> candidates;
    for (const char *domain : {"a", "b"}) {
        for (int number = 0; number < perDomain; ++number) {
            const std::string name = std::string(domain) + std::to_string(number);
            candidates.push_back({VmName(name), FailureDomain(domain), {name, 7500}});
        }
    }
    return candidates;
}

std::vector<ServerRecord> servers(int count)
{
    std::vector<ServerRecord> records;
    for (int number = 0; number < count; ++number) {
        ServerRecord record;
        record.announcement.server = ServerId("s" + std::to_string(number));
        record.announcement.failureDomain = FailureDomain(number % 2 == 0 ? "a" : "b");
        records.push_back(record);
    }
    return records;
}

} // namespace

TEST_CASE("a server's home is an entry VM of its own failure domain, and control VMs agree on it")
{
    HomeDirectory one;
    HomeDirectory other;
    std::vector<HomeCandidate> candidates = entries(8);
    one.assign(servers(24), candidates);
    std::reverse(candidates.begin(), candidates.end());
    other.assign(servers(24), candidates);
    REQUIRE(one.homes().size() == 24);
    CHECK(one.homes() == other.homes());
    CHECK(one.version() == other.version());
    for (const ServerRecord &record : servers(24)) {
        for (const Endpoint &home : one.homes().at(record.announcement.server))
            CHECK(home.address.substr(0, 1) == record.announcement.failureDomain.text());
    }
}

TEST_CASE("no VM is home of more than its share of the servers, since a busy server saturates its "
          "link")
{
    struct Row
    {
        const char *what;
        int vms; // per failure domain
        int servers; // per failure domain
        std::size_t homesEach; // homes per server
        std::size_t mostEach; // maximum of servers per VM
    };
    const Row rows[] = {
            {"as many VMs as servers", 3, 3, 1, 1},
            {"more servers than VMs", 8, 12, 1, 2},
            {"two VMs a server", 23, 10, 2, 1},
            {"three VMs a server", 33, 10, 3, 1},
            {"many VMs", 40, 4, 3, 1},
            {"one VM", 1, 3, 1, 3},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        HomeDirectory directory;
        directory.assign(servers(row.servers * 2), entries(row.vms));
        std::map<Endpoint, std::size_t> count;
        for (const auto &[server, homes] : directory.homes()) {
            CHECK(homes.size() == row.homesEach);
            CHECK(std::set<Endpoint>(homes.begin(), homes.end()).size() == homes.size());
            for (const Endpoint &home : homes)
                ++count[home];
        }
        for (const auto &[home, servers] : count)
            CHECK(servers <= row.mostEach);
    }
}

TEST_CASE("a lost entry VM moves its own servers and few others")
{
    HomeDirectory before;
    std::vector<HomeCandidate> candidates = entries(8);
    before.assign(servers(24), candidates);
    std::size_t ownMoves = 0;
    std::size_t otherMoves = 0;
    for (const HomeCandidate &lost : candidates) {
        std::vector<HomeCandidate> left = candidates;
        std::erase_if(left, [&lost](const HomeCandidate &one) { return one.vm == lost.vm; });
        HomeDirectory after;
        after.assign(servers(24), left);
        CHECK((before.version() == after.version()) == (before.homes() == after.homes()));
        for (const auto &[server, homes] : before.homes()) {
            const bool wasHome = homes.front() == lost.lanes;
            const bool isMoved = after.homes().at(server) != homes;
            CHECK((!wasHome || isMoved));
            ownMoves += wasHome ? 1 : 0;
            otherMoves += isMoved && !wasHome ? 1 : 0;
        }
    }
    // When a server moves, one that would have chosen its new home next may have to move too.
    CHECK(otherMoves <= ownMoves);
}

TEST_CASE("the entry VMs spread evenly over a server's homes, each in an order of its own")
{
    const std::vector<Endpoint> homes {{"h1", 1}, {"h2", 1}, {"h3", 1}};
    std::map<Endpoint, int> first;
    for (int number = 0; number < 300; ++number) {
        const std::vector<Endpoint> order = homesInOrderFor("e" + std::to_string(number), homes);
        REQUIRE(order.size() == 3);
        ++first[order.front()];
        CHECK(order
              == homesInOrderFor("e" + std::to_string(number), {homes[2], homes[0], homes[1]}));
    }
    for (const Endpoint &home : homes)
        CHECK(first[home] > 70);
}

TEST_CASE("a server without an entry VM in its failure domain has no home")
{
    HomeDirectory directory;
    directory.assign(servers(4), {});
    CHECK(directory.homes().empty());
    CHECK(directory.version() == 0);
}
