#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "nutmegtide/site/adapters.h"

#include <functional>
#include <map>
#include <memory>

namespace nutmegtide {

// Takes proofs of the primaries of wanted services for a ProofCache, at the control VM that leads:
// one process asks each primary, where every entry VM would ask otherwise. It holds one connection
// to each such primary. A primary that doesn't answer here is asked again after a while; only the
// entry VMs' complaints and PrimaryChangeManager judge it.
class ProofCollector : private ServerEvents
{
public:
    using MakeLinks = std::function<std::unique_ptr<ServerLinks>(ServerEvents &)>;

    ProofCollector(const MakeLinks &makeLinks, ProofCache &board);

    // Asks where a proof is due.
    void tick(const std::vector<ServerRecord> &servers, TimePoint now);
    // Closes all connections while another VM leads control.
    void closeAll();

private:
    // The connection to one service's primary.
    struct Connection
    {
        ServiceName service;
        ServerId server;
        bool isOpen = false;
        int unanswered = 0; // commands
        bool isBeginDue = false; // the next answer is the begin's
        TimePoint sentAt; // the latest command, or the opening
        TimePoint askedAt; // the latest begin
    };

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;

    void open(const ServerAnnouncement &primary, TimePoint now);
    void ask(ConnectionKey key, TimePoint now);
    void close(ConnectionKey key);

    ProofCache &m_board;
    std::unique_ptr<ServerLinks> m_links;
    std::map<ConnectionKey, Connection> m_connections;
    std::map<ServiceName, TimePoint> m_openedAt; // the latest try
    ConnectionKey m_lastKey = 0;
};

} // namespace nutmegtide
