#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/failover/semisyncchange.h"
#include "nutmegtide/proxy/routetable.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/session/sessionstatement.h"
#include "nutmegtide/site/callerlimits.h"

#include <chrono>
#include <memory>
#include <string>

// Interfaces between the processes of a site and their environment. An adapter implements them in
// the environment's protocol; it only translates and makes no decisions. The make functions are
// defined by the adapter that the binary is linked with.

namespace nutmegtide {

class EventLoop;

// Receives what callers do. CallerPort calls it on the thread of its event loop.
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    virtual void sessionOpened(SessionKey session, const DatabaseName &database,
                               const KeyDigest &key) = 0;
    virtual void statementReceived(SessionKey session, const SessionStatement &statement) = 0;
    // The caller disconnected, or violated the protocol and was sent an error.
    virtual void sessionClosed(SessionKey session, const std::string &reason) = 0;
    // A connection was refused or is ended, since a limit of connections or memory is reached.
    virtual void callerLimited(SessionKey session, const std::string &reason) = 0;
};

// Listens for callers and sends them the answers.
class CallerPort
{
public:
    virtual ~CallerPort() = default;

    virtual void accept(SessionKey session) = 0;
    virtual void answer(SessionKey session, const RequestId &request,
                        const SessionAnswer &answer) = 0;
    virtual void end(SessionKey session, std::optional<StatementFault> fault) = 0;
    // Ends the connections of callers that are overdue. Called whenever a timer is due.
    virtual void tick(TimePoint now) = 0;
};

// Receives the events of connections to backend servers.
class ServerEvents
{
public:
    virtual ~ServerEvents() = default;

    virtual void connectionOpened(ConnectionKey connection) = 0;
    virtual void connectionRefused(ConnectionKey connection, StatementFault fault) = 0;
    virtual void replyReceived(ConnectionKey connection, const ServerReply &reply) = 0;
    virtual void connectionLost(ConnectionKey connection, Loss loss) = 0;
    // The connection will close soon, so nothing new should be started on it. Only lanes
    // (connections through a home proxy) announce their end in this way.
    virtual void connectionClosingSoon(ConnectionKey /*connection*/) { }
};

// Opens and uses connections to backend servers.
class ServerLinks
{
public:
    virtual ~ServerLinks() = default;

    // Without a workspace the connection is opened in the name of this process.
    virtual void open(ConnectionKey connection, const ServerAnnouncement &server,
                      const WorkspaceName &workspace) = 0;
    virtual void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) = 0;
    // No event of the connection follows.
    virtual void close(ConnectionKey connection) = 0;
};

enum class SubmitOutcome {
    Accepted,
    Invalid,
    NotLeader, // another control VM leads
    Unavailable, // not decided in time, or there is no leader
};

// The outcome of a submitted configuration.
struct SubmitAnswer
{
    SubmitOutcome outcome = SubmitOutcome::Unavailable;
    std::string message;
    std::optional<Endpoint> leader; // with NotLeader: the leader's control listener
};

// The newest configuration, confirmed by the leader.
struct ReadAnswer
{
    SubmitOutcome outcome = SubmitOutcome::Unavailable;
    std::string text; // with Accepted: as the operator sent it
    std::optional<Endpoint> leader; // with NotLeader: the leader's control listener
};

// Handles the requests of servers and operators to a control VM. Called on threads of the
// ControlPort; the calls may block.
class ControlRequests
{
public:
    virtual ~ControlRequests() = default;

    virtual void announce(const ServerAnnouncement &announcement) = 0;
    virtual void depart(const ServerId &server) = 0;
    virtual SubmitAnswer submit(const RouteTable &routes, const std::string &text) = 0;
    virtual ReadAnswer readNewest() = 0;
};

// Listens at a control VM for servers and operators, and passes their requests to ControlRequests.
class ControlPort
{
public:
    virtual ~ControlPort() = default;
};

// Orders the platform to make a server the primary of its service.
class Promoter
{
public:
    virtual ~Promoter() = default;

    // Blocks until the platform answers or the timeout expires.
    virtual PromotionOutcome promote(const ServiceName &service, const ServerId &server,
                                     std::uint64_t fencingToken,
                                     std::chrono::milliseconds timeout) = 0;
};

std::unique_ptr<CallerPort> makeCallerPort(EventLoop &loop, const Endpoint &at,
                                           const CallerLimitSettings &limits, CallerEvents &events);
std::unique_ptr<ServerLinks> makeServerLinks(EventLoop &loop, const std::string &self,
                                             ServerEvents &events);
std::unique_ptr<ControlPort> makeControlPort(const NodeSettings &settings,
                                             ControlRequests &requests);
std::unique_ptr<Promoter> makePromoter(const Endpoint &at, const std::string &holder);
// Parses a server's answer to a status request; returns nothing for any other answer.
std::optional<ServerReplicationStatus> readReplicationStatus(const ServerReply &reply);
// Parses an operator's configuration. Throws RouteTableError.
RouteTable readConfiguration(const std::string &text);

} // namespace nutmegtide
