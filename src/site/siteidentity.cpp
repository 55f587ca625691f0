#include "site/siteidentity.h"

namespace nutmegtide {

Identity siteIdentity(const NodeSettings &settings, const std::string &vm)
{
    return {settings.fleet, VmName(vm), settings.failureDomain, 0};
}

std::vector<Endpoint> seedPeers(const NodeSettings &settings)
{
    std::vector<Endpoint> peers;
    for (const Endpoint &seed : settings.seeds)
        peers.push_back({seed.address, settings.listen.peers.port});
    return peers;
}

} // namespace nutmegtide
