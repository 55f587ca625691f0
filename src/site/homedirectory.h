#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/proxy/serverregistry.h"

#include <map>
#include <vector>

namespace nutmegtide {

// An entry VM that takes lanes.
struct HomeCandidate
{
    VmName vm;
    FailureDomain failureDomain;
    Endpoint lanes;

    bool operator==(const HomeCandidate &) const = default;
};

// The homes of each backend server that has any.
using ServerHomes = std::map<ServerId, std::vector<Endpoint>>;

// Names the homes of each backend server: entry VMs in the server's own failure domain, so that
// what goes to the server crosses failure domains once, as a direct connection would. Control VMs
// that know the same entry VMs name the same homes. A server without an entry VM in its failure
// domain has none.
//
// All that a server asks and answers goes through the link of its home, which is thin: one busy
// server fills it. So no VM is home of two servers while another one of the failure domain is home
// of none, and where there are VMs enough several share a server.
class HomeDirectory
{
public:
    void assign(const std::vector<ServerRecord> &servers,
                const std::vector<HomeCandidate> &candidates);
    const ServerHomes &homes() const { return m_homes; }
    // Follows from the content, so that two control VMs with the same homes tell the same version.
    std::int64_t version() const { return m_version; }

private:
    void assignDomain(const std::vector<ServerId> &servers,
                      const std::vector<HomeCandidate> &candidates);

    ServerHomes m_homes;
    std::int64_t m_version = 0; // of no homes
};

// The homes of one server in the order in which an entry VM uses them. The entry VMs of a site
// share the homes evenly.
std::vector<Endpoint> homesInOrderFor(const VmName &entry, std::vector<Endpoint> homes);

} // namespace nutmegtide
