#include "site/homedirectory.h"

#include "nutmegtide/fleet/placement.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace nutmegtide {

namespace {

// Each additional home of a server splits the server's queue further.
constexpr std::size_t MostHomes = 3;

std::int64_t versionOf(const ServerHomes &homes)
{
    std::string content;
    for (const auto &[server, lanes] : homes) {
        content += server.text();
        for (const Endpoint &home : lanes)
            content += '=' + toString(home);
        content += '\n';
    }
    if (content.empty())
        return 0;
    return static_cast<std::int64_t>(XXH3_64bits(content.data(), content.size()));
}

} // namespace

void HomeDirectory::assign(const std::vector<ServerRecord> &servers,
                           const std::vector<HomeCandidate> &candidates)
{
    std::map<FailureDomain, std::vector<HomeCandidate>> candidatesOf;
    std::set<VmName> seen;
    for (const HomeCandidate &candidate : candidates) {
        // A VM is listed twice when it has just switched to another control VM.
        if (seen.insert(candidate.vm).second)
            candidatesOf[candidate.failureDomain].push_back(candidate);
    }
    std::map<FailureDomain, std::vector<ServerId>> serversOf;
    for (const ServerRecord &record : servers)
        serversOf[record.announcement.failureDomain].push_back(record.announcement.server);
    for (auto &[domain, own] : serversOf)
        std::sort(own.begin(), own.end());
    // Most changes of a record, such as a new primary, leave the homes as they are.
    if (serversOf == m_servers && candidatesOf == m_candidates)
        return;
    m_servers = std::move(serversOf);
    m_candidates = std::move(candidatesOf);
    m_homes.clear();
    for (const auto &[domain, own] : m_servers) {
        if (m_candidates.count(domain) != 0)
            assignDomain(own, m_candidates.at(domain));
    }
    m_version = versionOf(m_homes);
}

// The servers choose homes in rounds, one home per round, until each has its number of homes.
void HomeDirectory::assignDomain(const std::vector<ServerId> &servers,
                                 const std::vector<HomeCandidate> &candidates)
{
    std::map<VmName, Endpoint> lanes;
    std::vector<PlacementCandidate> vms;
    for (const HomeCandidate &candidate : candidates) {
        lanes[candidate.vm] = candidate.lanes;
        vms.push_back({candidate.vm, candidate.failureDomain, false});
    }
    const std::size_t perServer = std::clamp<std::size_t>(vms.size() / servers.size(), 1, MostHomes);
    const std::size_t most = (servers.size() * perServer + vms.size() - 1) / vms.size();
    std::map<VmName, std::size_t> taken;
    std::map<ServerId, std::vector<VmName>> remaining; // remaining ones, in order of preference
    for (const ServerId &server : servers)
        remaining[server] = orderByPreference(server.text(), vms);
    for (std::size_t round = 0; round < perServer; ++round) {
        for (const ServerId &server : servers) {
            std::vector<VmName> &left = remaining.at(server);
            const auto choice = std::find_if(left.begin(), left.end(),
                                             [&](const VmName &vm) { return taken[vm] < most; });
            if (choice == left.end())
                continue;
            ++taken[*choice];
            m_homes[server].push_back(lanes.at(*choice));
            left.erase(left.begin(), std::next(choice));
        }
    }
}

std::vector<Endpoint> homesInOrderFor(const std::string &chooser, std::vector<Endpoint> homes)
{
    std::sort(homes.begin(), homes.end(), [&chooser](const Endpoint &left, const Endpoint &right) {
        return placementWeight(chooser, toString(left)) > placementWeight(chooser, toString(right));
    });
    return homes;
}

} // namespace nutmegtide
