#include "nutmegtide/fleet/placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace nutmegtide;

namespace {

std::vector<PlacementCandidate> fleetOf(int domains, int vmsPerDomain)
{
    std::vector<PlacementCandidate> fleet;
    for (int domain = 0; domain < domains; ++domain) {
        for (int vm = 0; vm < vmsPerDomain; ++vm) {
            const std::string name = std::to_string(domain) + '-' + std::to_string(vm);
            fleet.push_back({VmName(name), FailureDomain(std::to_string(domain)), false});
        }
    }
    return fleet;
}

DatabaseName database(int number)
{
    return DatabaseName("db-" + std::to_string(number));
}

} // namespace

TEST_CASE("every failure domain has its homes, whatever the order of the candidates")
{
    struct Row
    {
        std::string name;
        int domains;
        int vmsPerDomain;
        PlacementRule rule;
        std::size_t homes;
    };
    const Row rows[] = {
            {"one per domain and a standby", 4, 2, {1, 1}, 5},
            {"a hot database", 4, 3, {2, 1}, 9},
            {"fewer VMs than requested", 2, 1, {3, 2}, 2},
            {"no VMs", 0, 0, {1, 1}, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        auto fleet = fleetOf(row.domains, row.vmsPerDomain);
        const auto homes = chooseHomes(database(1), fleet, row.rule);
        CHECK(homes.size() == row.homes);
        std::reverse(fleet.begin(), fleet.end());
        CHECK((chooseHomes(database(1), fleet, row.rule) == homes));
        std::set<std::string> domains;
        for (const VmName &home : homes)
            domains.insert(home.text().substr(0, home.text().find('-')));
        CHECK(domains.size() == static_cast<std::size_t>(row.domains));
    }
}

TEST_CASE("a lost VM moves only the databases that it was home of")
{
    constexpr int Databases = 500;
    const auto fleet = fleetOf(4, 3);
    const VmName lost = fleet[5].vm;
    auto rest = fleet;
    rest.erase(rest.begin() + 5);
    for (int i = 0; i < Databases; ++i) {
        const auto before = chooseHomes(database(i), fleet, {1, 0});
        const auto after = chooseHomes(database(i), rest, {1, 0});
        const bool wasHome = std::find(before.begin(), before.end(), lost) != before.end();
        CHECK((before == after) == !wasHome);
    }
}

TEST_CASE("a draining VM is home only if no other VM is left")
{
    auto fleet = fleetOf(1, 2);
    fleet[0].isDraining = true;
    CHECK((chooseHomes(database(1), fleet, {2, 1}) == std::vector<VmName> {fleet[1].vm}));
    fleet[1].isDraining = true;
    CHECK(chooseHomes(database(1), fleet, {2, 1}).size() == 2);
}

TEST_CASE("the home of a server in one failure domain is the home of a database of the same name")
{
    const auto fleet = fleetOf(1, 20);
    for (int i = 0; i < 50; ++i) {
        const std::string name = "s" + std::to_string(i);
        CAPTURE(name);
        CHECK((orderByPreference(name, fleet).front()
               == chooseHomes(DatabaseName(name), fleet, {1, 0}).front()));
    }
}
