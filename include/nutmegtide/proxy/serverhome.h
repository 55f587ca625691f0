#pragma once

#include "nutmegtide/proxy/homequeue.h"
#include "nutmegtide/proxy/serverpool.h"
#include "nutmegtide/session/sessionstate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

// A lane of another process at this home: it is used like a connection to one backend server.
struct LaneKey
{
    std::uint64_t link = 0; // the connection to that process
    std::uint64_t lane = 0; // as that process numbers it

    auto operator<=>(const LaneKey &) const = default;
};

// What the home wants done. Nothing comes back from inside these calls.
class ServerHomeDelegate
{
public:
    virtual ~ServerHomeDelegate() = default;

    virtual void open(ConnectionKey connection, const ServerAnnouncement &server) = 0;
    virtual void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) = 0;
    virtual void close(ConnectionKey connection) = 0;
    virtual void reply(const LaneKey &lane, const ServerReply &reply) = 0;
    // The lane ended with its connection to the server.
    virtual void laneLost(const LaneKey &lane) = 0;
    virtual void reportEvidence(std::uint64_t link, const ServerId &server, ServerEvidence evidence) = 0;
};

// The home of backend servers: one process that pools the connections to a server and holds the one
// queue before it, for all processes of the fleet.
//
// A lane is what another process uses in place of a connection of its own. It has values, prepared
// statements and a transaction like a connection, but holds one of the server only while a
// statement runs or a transaction is open. So a few connections serve many processes, hardly any
// is opened anew, and the server never gets more statements than it runs at once.
//
// A statement is sent at most once. What wasn't sent is answered with Busy, which is proof that it
// didn't run. It has no thread, socket or clock.
//
//   home.setServers(records, now);
//   home.take({link, lane}, server, commands, {rank, patience}, now);
//   home.replied(connection, reply, now); // -> ServerHomeDelegate::reply()
class ServerHome
{
public:
    explicit ServerHome(ServerHomeDelegate &delegate)
        : m_delegate(delegate)
    { }

    void setServers(const std::vector<ServerRecord> &records, TimePoint now);
    // How many homes share a server, this one among them; one where nothing is said.
    void setHomeCounts(std::map<ServerId, int> counts) { m_homeCounts = std::move(counts); }

    // A server that has been leaving for so long gets no new work; open transactions go on there.
    void setLeaveTime(Duration time) { m_leaveTime = time; }

    // Events of lanes. A lane begins with its first commands; a server that isn't known is Busy.
    void take(const LaneKey &lane, const ServerId &server,
              const std::vector<ServerCommand> &commands, const Urgency &urgency, TimePoint now);
    void closeLane(const LaneKey &lane, TimePoint now);
    void linkLost(std::uint64_t link, TimePoint now);

    // Events of connections.
    void opened(ConnectionKey key, TimePoint now);
    void refused(ConnectionKey key, StatementFault fault, TimePoint now);
    void replied(ConnectionKey key, const ServerReply &reply, TimePoint now);
    void lost(ConnectionKey key, Loss loss, TimePoint now);

    void tick(TimePoint now);
    TimePoint wakeAt() const { return m_dueAt; }
    std::size_t laneCount() const { return m_lanes.size(); }
    // Whether a lane has a transaction open, or waits for an answer.
    bool isInUse() const;
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    struct Lane
    {
        ServerId server;
        SessionState image;
        std::deque<ServerCommand> pending; // not sent yet
        Urgency urgency;
        ConnectionKey connection = 0;
        TransactionState state = TransactionState::Idle;
        HomeQueue::Ticket ticket = 0; // while it waits
        bool isAnswerDue = false; // a command was sent and not answered
        bool takesSlot = false; // the same, one that runs in a slot
        TimePoint sentAt;
    };
    struct Connection
    {
        ServerId server;
        bool isOpen = false;
        LaneKey lane; // while one uses it
        bool isUsed = false;
        int restoring = 0; // commands of the home's own without an answer
        ServerConnectionState image;
        TimePoint usedAt;
    };
    struct Server
    {
        ServerRecord record;
        bool isKnown = false;
        HomeQueue queue;
        std::map<HomeQueue::Ticket, LaneKey> waiting;
        std::vector<ConnectionKey> idle; // the one that was used last stands last
        std::set<ConnectionKey> connections;
        int opening = 0;
        int running = 0; // statements in slots
        AverageTime averageTime; // of a statement
        TimePoint connectionLimitUntil {};
        bool isUnreachable = false; // until a connection stands
        TimePoint probeAt {}; // the next try to connect, while it is unreachable
        int unanswered = 0; // commands that were sent
        std::optional<TimePoint> silentSince; // with such commands
        TimePoint heardAt {}; // its latest answer on a connection that stands
    };

    int homeCount(const ServerId &server) const;
    int maxRunning(const Server &server) const;
    static bool isProof(const Lane &lane);
    void advance(const LaneKey &key, TimePoint now);
    bool answerLocally(const LaneKey &key, Lane &lane);
    void wait(const LaneKey &key, Lane &lane, TimePoint now);
    void serve(const ServerId &server, TimePoint now);
    bool serveOne(const ServerId &server, TimePoint now);
    void openAnother(const ServerId &server, TimePoint now);
    void openConnection(const ServerId &server, TimePoint now);
    void attach(const LaneKey &key, Lane &lane, ConnectionKey connection, TimePoint now);
    void sendNext(Lane &lane, TimePoint now);
    void refuseNext(const LaneKey &key, Lane &lane, TimePoint now);
    void noteUnreachable(const ServerId &server, ServerEvidence evidence, TimePoint now);
    void noteSent(Server &server, Lane &lane, TimePoint now);
    // No answer will come to what the lane has sent.
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
    std::map<LaneKey, Lane> m_lanes;
    std::map<ConnectionKey, Connection> m_connections;
    ConnectionKey m_lastConnection = 0;
    HomeQueue::Ticket m_lastTicket = 0;
    TimePoint m_dueAt {};
    TimePoint m_tickedAt {};
};

} // namespace nutmegtide
