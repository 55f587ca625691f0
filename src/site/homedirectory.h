#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/proxy/serverregistry.h"

#include <map>
#include <vector>

namespace nutmegtide {

// An entry VM that accepts lanes, and so can be a home proxy.
struct HomeCandidate
{
    VmName vm;
    FailureDomain failureDomain;
    Endpoint lanes; // its listener for lanes

    bool operator==(const HomeCandidate &) const = default;
};

// The home proxies of each backend server that has any.
using ServerHomes = std::map<ServerId, std::vector<Endpoint>>;

// Assigns home proxies to the backend servers. A server's homes are entry VMs of its own failure
// domain, so that traffic to the server crosses failure domains once, as on a direct connection.
// Control VMs that know the same entry VMs assign the same homes. A server without an entry VM in
// its failure domain has no home.
//
// All traffic of a server passes the network link of its home, and one busy server can saturate
// that link. So no VM is home of two servers while another VM of the failure domain is home of
// none, and where there are enough VMs a server has several homes.
//
//   directory.assign(servers, candidates);
//   send(directory.homes(), directory.version());
class HomeDirectory
{
public:
    void assign(const std::vector<ServerRecord> &servers,
                const std::vector<HomeCandidate> &candidates);
    const ServerHomes &homes() const { return m_homes; }
    // Derived from the content, so that control VMs with the same homes report the same version.
    std::int64_t version() const { return m_version; }

private:
    void assignDomain(const std::vector<ServerId> &servers,
                      const std::vector<HomeCandidate> &candidates);

    // What m_homes was derived from.
    std::map<FailureDomain, std::vector<ServerId>> m_servers;
    std::map<FailureDomain, std::vector<HomeCandidate>> m_candidates;
    ServerHomes m_homes;
    std::int64_t m_version = 0; // 0 stands for no homes
};

// Returns the homes of one server in the order of preference of a chooser: a workspace or an entry
// VM. The order differs between choosers, so that they spread their load evenly over the homes.
std::vector<Endpoint> homesInOrderFor(const std::string &chooser, std::vector<Endpoint> homes);

} // namespace nutmegtide
