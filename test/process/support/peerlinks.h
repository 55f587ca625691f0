#pragma once

#include "process/support/relay.h"

#include <map>
#include <memory>
#include <string>

namespace nutmegtide::test {

// A relay for each ordered pair of nodes, so that a test can cut any of them off from
// the others, in one direction or both. A call and its answer travel over the caller's relay.
//
//   PeerLinks links({{"a1", peersOfA1}, {"b1", peersOfB1}});
//   links.cutOff("a1"); // nothing gets through either way
//   links.cutCallsFrom("a1"); // a1 can still be called, and answers
//   links.heal();
class PeerLinks
{
public:
    // `peers` are the nodes' peer listeners by name.
    explicit PeerLinks(const std::map<std::string, Endpoint> &peers);

    // The relays that a node calls, by the peer's address.
    std::map<Endpoint, Endpoint> routesOf(const std::string &node) const;

    void cutOff(const std::string &node);
    void cutCallsFrom(const std::string &node);
    void cutCallsTo(const std::string &node);
    void heal();

private:
    struct Pair
    {
        std::string from;
        std::string to;

        auto operator<=>(const Pair &) const = default;
    };

    std::map<std::string, Endpoint> m_peers;
    std::map<Pair, std::unique_ptr<Relay>> m_relays;
};

} // namespace nutmegtide::test
