#pragma once

#include "nutmegtide/proxy/caplender.h"
#include "nutmegtide/proxy/homequeue.h"
#include "nutmegtide/proxy/routetable.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/session/sessionstatement.h"

#include <chrono>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace nutmegtide {

// Decision of the proxy on one request, for the log.
struct RequestDecision
{
    RequestId request;
    SessionKey session = 0;
    DatabaseName database;
    WorkspaceName workspace;
    StatementKind kind = StatementKind::Read;
    std::string_view step; // "answered", "sent_elsewhere", "refused", "unconfirmed"
    std::string_view reason;
    ServerId server;
    std::optional<StatementFault> fault;
    std::optional<LogPosition> needed; // log position that the server had to have reached
    Duration neededAge {}; // time since the primary's log is known to have held it
    Consistency consistency = Consistency::Latest; // of the route
    bool isPrimary = false; // the server is the primary, as far as is known
    Duration waited {}; // time since the request arrived
    // How long the answer to its commit was withheld.
    std::optional<Duration> withheld;
    std::optional<LogPosition> committed; // the position of that commit
    std::set<ServerId> asked; // servers that were asked and didn't confirm it
    Revision revision = 0; // revision of the routes that were applied
};

// Change in the proxy's assessment of a backend server, for the log.
struct ServerAssessment
{
    ServerId server;
    ServiceName service;
    std::string_view assessment; // "failing", "overloaded", "stuck", "not_primary", "left", ...
    std::string_view reason;
};

// A session whose key is unknown or was removed, for the log.
struct KeyRefusal
{
    SessionKey session = 0;
    DatabaseName database;
    WorkspaceName workspace; // which held the key before; empty for an unknown key
    Revision revision = 0; // of the configuration that was applied
};

// Actions that a SessionProxy requests. Results are passed to the methods of SessionProxy, but
// never from inside these calls.
class SessionProxyDelegate
{
public:
    virtual ~SessionProxyDelegate() = default;

    virtual void accept(SessionKey session) = 0;
    virtual void answer(SessionKey session, const RequestId &request,
                        const SessionAnswer &answer) = 0;
    // Ends a session, with `fault` as the reason if one is given.
    virtual void end(SessionKey session, std::optional<StatementFault> fault) = 0;
    virtual void open(ConnectionKey connection, const ServerAnnouncement &server,
                      const WorkspaceName &workspace) = 0;
    virtual void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
                      const Urgency &urgency) = 0;
    virtual void close(ConnectionKey connection) = 0;
    // Requests operations of a workspace with a cap, one request at a time for each workspace. The
    // answer is passed to SessionProxy::lent().
    virtual void borrow(const WorkspaceName &workspace, int wanted) = 0;
    // Returns nothing for a reply that isn't one to ServerCommandKind::Status.
    virtual std::optional<ServerReplicationStatus> readStatus(const ServerReply &reply) = 0;
    virtual void requestDecided(const RequestDecision &decision) = 0;
    // A session was refused or is ended, as no workspace that may use the route holds its key.
    virtual void keyRefused(const KeyRefusal &refusal) = 0;
    virtual void serverAssessed(const ServerAssessment &serverAssessment) = 0;
};

// Report to the control VMs that this proxy can't use a primary.
struct PrimaryComplaint
{
    ServiceName service;
    ServerId server;
    std::chrono::milliseconds since {0};

    bool operator==(const PrimaryComplaint &) const = default;
};

} // namespace nutmegtide
