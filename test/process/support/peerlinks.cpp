#include "process/support/peerlinks.h"

namespace nutmegtide::test {

PeerLinks::PeerLinks(const std::map<std::string, Endpoint> &peers)
    : m_peers(peers)
{
    for (const auto &[from, ignored] : peers) {
        for (const auto &[to, target] : peers) {
            if (from != to)
                m_relays[{from, to}] = std::make_unique<Relay>(target);
        }
    }
}

std::map<Endpoint, Endpoint> PeerLinks::routesOf(const std::string &node) const
{
    std::map<Endpoint, Endpoint> routes;
    for (const auto &[pair, relay] : m_relays) {
        if (pair.from == node)
            routes[m_peers.at(pair.to)] = relay->endpoint();
    }
    return routes;
}

void PeerLinks::cutOff(const std::string &node)
{
    cutCallsFrom(node);
    cutCallsTo(node);
}

void PeerLinks::cutCallsFrom(const std::string &node)
{
    for (const auto &[pair, relay] : m_relays) {
        if (pair.from == node)
            relay->cut();
    }
}

void PeerLinks::cutCallsTo(const std::string &node)
{
    for (const auto &[pair, relay] : m_relays) {
        if (pair.to == node)
            relay->cut();
    }
}

void PeerLinks::heal()
{
    for (const auto &[pair, relay] : m_relays)
        relay->heal();
}

} // namespace nutmegtide::test
