#pragma once

#include "nutmegtide/proxy/connectionvouches.h"
#include "nutmegtide/proxy/homequeue.h"
#include "nutmegtide/proxy/queuewait.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/proxy/slotlimiter.h"
#include "nutmegtide/session/sessionstate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

// Identifies a lane: a virtual connection of another process to one backend server.
struct LaneKey
{
    std::uint64_t link = 0; // the network connection to that process
    std::uint64_t lane = 0; // number that the process gave the lane

    auto operator<=>(const LaneKey &) const = default;
};

// Actions that a ServerHome requests. An implementation must not call back into the home.
class ServerHomeDelegate
{
public:
    virtual ~ServerHomeDelegate() = default;

    virtual void open(ConnectionKey connection, const ServerAnnouncement &server,
                      const WorkspaceName &workspace) = 0;
    virtual void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) = 0;
    virtual void close(ConnectionKey connection) = 0;
    virtual void reply(const LaneKey &lane, const ServerReply &reply) = 0;
    // Reports that a lane ended because its server connection was lost.
    virtual void laneLost(const LaneKey &lane) = 0;
    // Reports a finding about a server to the process at the other end of the link.
    virtual void reportEvidence(std::uint64_t link, const ServerId &server,
                                ServerEvidence evidence) = 0;
};

// Home of backend servers: the process that pools the connections to a server and holds the one
// queue of statements for it, on behalf of all entry proxies.
//
// An entry proxy uses a lane in place of a connection of its own. A lane has session values,
// prepared statements and a transaction, as a connection has, but it occupies a server connection
// only while a statement runs or a transaction is open. So a few connections serve many processes,
// new ones are rarely opened, and the server never gets more statements than it can run at once,
// but for one that is on its way.
//
// A connection belongs to the workspace in whose name it was opened, and only statements of that
// workspace run on it; proofs of position run on any. A home has a share of the connections that
// the server accepts. Where that is used up, an idle connection is closed before one for another
// workspace is opened.
//
// A statement runs at most once. A statement that was not sent is answered with Busy, which
// guarantees that it didn't run. Where homes balance the load of a server, a statement that the
// server itself refused as busy is sent again by the home (SlotLimiter). The class has no threads,
// sockets or clock: callers pass in events and the time.
//
//   home.setServers(records, now);
//   home.take({link, lane}, server, commands, {rank, maxWait}, now);
//   home.replied(connection, reply, now); // -> ServerHomeDelegate::reply()
class ServerHome
{
public:
    explicit ServerHome(ServerHomeDelegate &delegate)
        : m_delegate(delegate)
    { }

    // Replaces the known servers. Idle connections to a restarted or moved server are closed.
    void setServers(const std::vector<ServerRecord> &records, TimePoint now);
    // Sets the number of homes that share each server, this one included. A server that is not
    // listed has one.
    void setHomeCounts(std::map<ServerId, int> counts);

    // Sets how many connections a server of each service accepts from all processes; 0 or a service
    // that is not listed: unknown.
    void setConnectionLimits(std::map<ServiceName, int> limits)
    {
        m_connectionLimits = std::move(limits);
    }

    // Sets the services whose servers are shared by load with other homes. A busy refusal of such a
    // server is kept from the lane as long as its statement may wait.
    void setBalancedServices(std::set<ServiceName> services) { m_balanced = std::move(services); }

    // Which connections' replies may confirm commits. Replies on others say so to the lanes.
    ConnectionVouches &vouches() { return m_vouches; }

    // Sets how long a leaving server gets new work. After that only open transactions and proofs of
    // position go on there.
    void setLeaveTime(Duration time) { m_leaveTime = time; }

    // Where a lane leads.
    struct LaneTarget
    {
        ServerId server;
        WorkspaceName workspace;
    };

    // Events of lanes. The first commands of a lane create it, and only these need a target; a lane
    // of an unknown server is answered with Busy.
    void take(const LaneKey &lane, const LaneTarget &target,
              const std::vector<ServerCommand> &commands, const Urgency &urgency, TimePoint now);
    void closeLane(const LaneKey &lane, TimePoint now);
    void linkLost(std::uint64_t link, TimePoint now);

    // Events of server connections.
    void opened(ConnectionKey key, TimePoint now);
    void refused(ConnectionKey key, StatementFault fault, TimePoint now);
    void replied(ConnectionKey key, const ServerReply &reply, TimePoint now);
    void lost(ConnectionKey key, Loss loss, TimePoint now);

    // Runs everything that is due: timeouts, probes, and statements that can now be sent.
    void tick(TimePoint now);
    // Returns when tick() is due next.
    TimePoint wakeAt() const { return m_dueAt; }
    std::size_t laneCount() const { return m_lanes.size(); }
    // Returns whether any lane holds a connection or waits for an answer.
    bool isInUse() const;
    // Returns how often a statement was sent again after a busy refusal.
    std::uint64_t resentCount() const { return m_resent; }
    // Returns the bytes of the statements that are held for lanes.
    std::size_t heldBytes() const;
    // Returns about how many bytes the lanes of a link take, with their commands and session
    // values.
    std::size_t memoryOf(std::uint64_t link) const;
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    struct Lane
    {
        ServerId server;
        WorkspaceName workspace;
        SessionState image;
        std::deque<ServerCommand> pending; // not sent yet
        Urgency urgency;
        ConnectionKey connection = 0;
        TransactionState state = TransactionState::Idle;
        HomeQueue::Ticket ticket = 0; // set while it waits in the queue
        std::optional<ServerCommand> sent; // the statement that may have to be sent again
        TimePoint queuedAt;
        TimePoint waitsUntil; // end of the longest wait of the statement that waits or was sent
        bool isAnswerDue = false; // a command was sent and has no answer yet
        bool takesSlot = false; // the same, for a command that occupies a slot
        TimePoint sentAt;
    };
    struct Connection
    {
        ServerId server;
        WorkspaceName workspace;
        bool isOpen = false;
        // Lane that uses the connection; valid if isUsed.
        LaneKey lane;
        bool isUsed = false;
        // Number of commands without an answer that the home sent to restore a lane's state.
        int restoring = 0;
        ServerConnectionState image;
        TimePoint usedAt;
    };
    struct Server
    {
        ServerRecord record;
        bool isKnown = false;
        HomeQueue queue;
        std::map<HomeQueue::Ticket, LaneKey> waiting;
        std::vector<ConnectionKey> idle; // of all workspaces; the most recently used one is last
        std::set<ConnectionKey> connections;
        int opening = 0;
        int running = 0; // statements that occupy a slot
        AverageTime averageTime; // of statements
        // Used if the service is balanced.
        SlotLimiter limiter;
        QueueWait queueWait; // of statements outside transactions
        // How many connections this home held when the server last had none left for it; nullopt if
        // that didn't happen yet.
        std::optional<std::size_t> heldAtRefusal;
        TimePoint refusedAt {};
        // No connection could be opened; cleared when one is.
        bool isUnreachable = false;
        // Time of the next connection attempt while the server is unreachable.
        TimePoint probeAt {};
        int unanswered = 0; // commands that were sent
        // Time since which sent commands have had no answer; nullopt if there are none.
        std::optional<TimePoint> silentSince;
        // Time of the latest reply on an open connection.
        TimePoint heardAt {};
    };

    int homeCount(const ServerId &server) const;
    int maxRunning(const Server &server) const;
    bool isBalanced(const Server &server) const;
    void setBounds(Server &server) const;
    bool isFull(const Server &server, TimePoint now) const;
    static bool isProof(const Lane &lane);
    void advance(const LaneKey &key, TimePoint now);
    bool answerLocally(const LaneKey &key, Lane &lane);
    void wait(const LaneKey &key, Lane &lane, TimePoint now);
    bool enqueue(const LaneKey &key, Lane &lane, const Urgency &urgency, Duration perStatement,
                 TimePoint now);
    void serve(const ServerId &server, TimePoint now);
    bool serveOne(const ServerId &server, TimePoint now);
    // Returns this home's share of the connections that the server accepts.
    std::size_t connectionShare(const Server &server) const;
    // Returns how many connections this home may hold to the server now.
    std::size_t maxConnections(const Server &server, TimePoint now) const;
    void noteConnectionLimit(Server &server, TimePoint now);
    // Returns the most recently used idle connection that the lane may use; 0 without one.
    ConnectionKey idleFor(const Server &server, const Lane &lane) const;
    void openWanted(const ServerId &server, TimePoint now);
    // Makes room for another connection. Returns whether there is some.
    bool makeRoom(Server &server, TimePoint now);
    void openConnection(const ServerId &server, const WorkspaceName &workspace, TimePoint now);
    void attach(const LaneKey &key, Lane &lane, ConnectionKey connection, TimePoint now);
    void sendNext(Lane &lane, TimePoint now);
    void refuseNext(const LaneKey &key, Lane &lane, TimePoint now);
    // Answers the next command, which needed a slot, with Busy.
    void refuseForLoad(const LaneKey &key, Lane &lane, TimePoint now);
    // Sends a reply to the lane, with the wait at its server if statements wait there.
    void sendReply(const LaneKey &key, const Lane &lane, ServerReply reply, TimePoint now);
    // Records how long the lane's statement was queued.
    void noteQueued(const Lane &lane, Duration waited, TimePoint now);
    // Takes a reply to a statement that occupied a slot. Returns whether the statement waits to be
    // sent again, so that the lane gets no reply yet.
    bool takeSlotReply(const LaneKey &key, Lane &lane, const ServerReply &reply, TimePoint now);
    void noteUnreachable(const ServerId &server, ServerEvidence evidence, TimePoint now);
    void noteSent(Server &server, Lane &lane, TimePoint now);
    // Records that the command sent for the lane is answered, or that no answer will come.
    void noteUnanswered(Lane &lane);
    void reportToUsers(const ServerId &server, ServerEvidence evidence);
    void probeServers(TimePoint now);
    void restartSilenceTimers(TimePoint now);
    void refuseOverdue(const ServerId &server, TimePoint now);
    void closeUnused(TimePoint now);
    void makeIdle(ConnectionKey key, TimePoint now);
    void leaveQueue(Lane &lane);
    void forget(ConnectionKey key);
    const PreparedStatement *preparedOf(const Lane &lane, const ServerCommand &command) const;

    ServerHomeDelegate &m_delegate;
    Duration m_leaveTime = Duration::max();
    std::map<ServerId, Server> m_servers;
    std::map<ServerId, int> m_homeCounts;
    std::map<ServiceName, int> m_connectionLimits;
    std::set<ServiceName> m_balanced;
    std::uint64_t m_resent = 0;
    std::map<LaneKey, Lane> m_lanes;
    std::map<ConnectionKey, Connection> m_connections;
    ConnectionVouches m_vouches;
    ConnectionKey m_lastConnection = 0;
    HomeQueue::Ticket m_lastTicket = 0;
    TimePoint m_dueAt {};
    TimePoint m_tickedAt {};
};

} // namespace nutmegtide
