#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/failover/semisyncchange.h"
#include "nutmegtide/proxy/routetable.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/session/sessionstatement.h"

#include <chrono>
#include <memory>
#include <string>

// What a site's processes need of the world around them. An adapter implements these interfaces
// in the world's own protocol; it translates and decides nothing. The make functions are
// defined by the adapter that the binary is linked with.

namespace nutmegtide {

class EventLoop;

// What callers do.
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    virtual void sessionOpened(SessionKey session, const DatabaseName &database) = 0;
    virtual void statementReceived(SessionKey session, const SessionStatement &statement) = 0;
    // The caller is gone, or broke the protocol and was told so.
    virtual void sessionClosed(SessionKey session, const std::string &reason) = 0;
};

// The listener for callers.
class CallerPort
{
public:
    virtual ~CallerPort() = default;

    virtual void accept(SessionKey session) = 0;
    virtual void answer(SessionKey session, const RequestId &request,
                        const SessionAnswer &answer) = 0;
    virtual void end(SessionKey session, std::optional<StatementFault> fault) = 0;
};

// What connections to backend servers bring.
class ServerEvents
{
public:
    virtual ~ServerEvents() = default;

    virtual void connectionOpened(ConnectionKey connection) = 0;
    virtual void connectionRefused(ConnectionKey connection, StatementFault fault) = 0;
    virtual void replyReceived(ConnectionKey connection, const ServerReply &reply) = 0;
    virtual void connectionLost(ConnectionKey connection, Loss loss) = 0;
    // Its way stops soon; nothing new should begin on it. Only lanes end so.
    virtual void connectionClosingSoon(ConnectionKey /*connection*/) { }
};

// Connections to backend servers.
class ServerLinks
{
public:
    virtual ~ServerLinks() = default;

    virtual void open(ConnectionKey connection, const ServerAnnouncement &server) = 0;
    virtual void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) = 0;
    // No event of the connection comes after this.
    virtual void close(ConnectionKey connection) = 0;
};

enum class SubmitOutcome {
    Accepted,
    Invalid,
    NotLeader, // another control VM decides
    Unavailable, // not decided in time, or nobody leads
};

struct SubmitAnswer
{
    SubmitOutcome outcome = SubmitOutcome::Unavailable;
    std::string message;
    std::optional<Endpoint> leader; // Elsewhere: its control listener
};

// The newest configuration, proved to be it.
struct ReadAnswer
{
    SubmitOutcome outcome = SubmitOutcome::Unavailable;
    std::string text; // Accepted: as the operator sent it
    std::optional<Endpoint> leader; // Elsewhere
};

// What servers and operators ask of a control VM. Called on threads of the port; may block.
class ControlRequests
{
public:
    virtual ~ControlRequests() = default;

    virtual void announce(const ServerAnnouncement &announcement) = 0;
    virtual void depart(const ServerId &server) = 0;
    virtual SubmitAnswer submit(const RouteTable &routes, const std::string &text) = 0;
    virtual ReadAnswer readNewest() = 0;
};

// The listener of a control VM for servers and operators.
class ControlPort
{
public:
    virtual ~ControlPort() = default;
};

// The call that makes a server the primary of its service.
class Promoter
{
public:
    virtual ~Promoter() = default;

    // Blocks until the answer or the timeout.
    virtual PromotionOutcome promote(const ServiceName &service, const ServerId &server,
                                     std::uint64_t fencingToken,
                                     std::chrono::milliseconds timeout) = 0;
};

std::unique_ptr<CallerPort> makeCallerPort(EventLoop &loop, const Endpoint &at,
                                           CallerEvents &events);
std::unique_ptr<ServerLinks> makeServerLinks(EventLoop &loop, const std::string &self,
                                             ServerEvents &events);
std::unique_ptr<ControlPort> makeControlPort(const Endpoint &at, ControlRequests &requests);
std::unique_ptr<Promoter> makePromoter(const Endpoint &at, const std::string &holder);
// Reads a server's answer about its standing; nothing where it is none.
std::optional<ServerReplicationStatus> readStanding(const ServerReply &reply);
// Reads an operator's configuration. Throws RouteTableError.
RouteTable readConfiguration(const std::string &text);

} // namespace nutmegtide
