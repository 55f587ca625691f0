#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "nutmegtide/site/adapters.h"

#include <functional>
#include <map>
#include <memory>

namespace nutmegtide {

// Collects proofs that the primaries of wanted services still lead, for a ProofCache at the leading
// control VM. So one process asks each primary, instead of every entry VM. It keeps one connection
// to each such primary. A primary that doesn't answer is asked again after a while; whether it
// failed is decided only from the entry VMs' complaints and by PrimaryChangeManager.
class ProofCollector : private ServerEvents
{
public:
    using MakeLinks = std::function<std::unique_ptr<ServerLinks>(ServerEvents &)>;

    ProofCollector(const MakeLinks &makeLinks, ProofCache &cache);

    // Requests the proofs that are due.
    void tick(const std::vector<ServerRecord> &servers, TimePoint now);
    // Closes all connections while another control VM leads.
    void closeAll();

private:
    // The connection to one service's primary.
    struct Connection
    {
        ServiceName service;
        ServerId server;
        bool isOpen = false;
        int unanswered = 0; // number of commands
        bool isBeginDue = false; // the next answer belongs to the Begin command
        TimePoint sentAt; // when the latest command was sent, or the connection opened
        TimePoint askedAt; // when the latest Begin command was sent
    };

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;

    void open(const ServerAnnouncement &primary, TimePoint now);
    void ask(ConnectionKey key, TimePoint now);
    void close(ConnectionKey key);

    ProofCache &m_cache;
    std::unique_ptr<ServerLinks> m_links;
    std::map<ConnectionKey, Connection> m_connections;
    std::map<ServiceName, TimePoint> m_openedAt; // the latest attempt
    ConnectionKey m_lastKey = 0;
};

} // namespace nutmegtide
