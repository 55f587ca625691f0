#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/failover/openchanges.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace nutmegtide {

// Decides which replies of backend servers may confirm commits, by the connections they arrive on.
//
// A server that starts again has lost its hold of replication, and a change of primary that holds
// it doesn't cover what it receives from then on. So a connection counts only once it is vouched
// for: control told, as of a moment at which the connection was open, that no change of the
// service's primary relied on holds. Whoever replies on it later hasn't started again since that
// moment, and any change that relies on its hold has held it after it.
//
// A reply counts if its command was sent after the connection was vouched for: an earlier reply may
// be from before a promotion that took effect meanwhile.
//
// Where a connection that is vouched for gets the reply to a command that was sent after another one
// to the same server was opened, the server hasn't started again in between. The other connection is
// then vouched for too, so control is asked only about the first connection to a server.
//
//   vouches.opened(connection, {server, service}, now);
//   vouches.learn(openChanges, now);
//   if (vouches.takeReply(connection, sentAt, now))
//       ... the reply may confirm commits
class ConnectionVouches
{
public:
    using Key = std::uint64_t; // a ConnectionKey

    // Sets whether control tells the open changes. One of an older version doesn't, and every
    // connection counts.
    void setTold(bool isTold) { m_isTold = isTold; }
    // Sets the services whose commits are confirmed.
    void setServices(std::set<ServiceName> services) { m_services = std::move(services); }
    struct Target
    {
        ServerId server;
        ServiceName service;
    };
    // The server accepted the connection.
    void opened(Key key, const Target &target, TimePoint now);
    void closed(Key key);
    void learn(const OpenChanges &changes, TimePoint now);
    // Takes a reply to a command that was sent at `sentAt`. Returns whether it counts.
    bool takeReply(Key key, TimePoint sentAt, TimePoint now);
    // Returns whether control has to be asked: a server has had connections for some time, and none
    // is vouched for.
    bool isAwaited(TimePoint now) const;

private:
    struct Connection
    {
        Target target;
        TimePoint openedAt;
        std::optional<TimePoint> vouchedAt;
    };

    bool hasVouched(const ServerId &server) const;

    std::map<Key, Connection> m_connections;
    std::set<Key> m_unvouched; // of these
    std::set<ServiceName> m_services;
    bool m_isTold = false;
};

} // namespace nutmegtide
