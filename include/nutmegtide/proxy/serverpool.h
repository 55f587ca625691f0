#pragma once

#include "nutmegtide/proxy/replicalag.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "nutmegtide/proxy/averagetime.h"
#include "nutmegtide/session/sessionstate.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

using SessionKey = std::uint64_t; // of a caller's session at this process; 0 for none
using ConnectionKey = std::uint64_t; // of a connection to a backend server; 0 for none

// Before another connection is tried at a server that had none left.
constexpr Duration ConnectionLimitPause = 60ms;

// Who uses a connection: a session, or the proxy itself to prove that a server leads.
struct Borrower
{
    SessionKey session = 0;
    ServiceName proofOf; // set where session is 0

    auto operator<=>(const Borrower &) const = default;
};

// What a connection is waiting for, in the order of the answers.
enum class Expectation {
    Restore, // of a session's values or prepared statement
    Begin,
    Statement,
    Rollback,
    Proof, // the begin of an empty transaction
};

// One connection to a backend server.
struct ServerConnection
{
    ServerId server;
    bool isOpen = false; // the server has accepted it
    bool isLane = false; // it goes through the server's home
    bool isRetired = false; // it ends once nobody uses it
    std::deque<Expectation> expected;
    std::optional<Borrower> borrower;
    ServerConnectionState image;
    TimePoint usedAt; // last time that it was sent or brought something
    TimePoint sentAt; // of the latest command
};

// Why a connection ended.
enum class Loss {
    Refused, // the address takes no connection
    Closed, // the other side closed or reset it
    Silent, // no answer in time
    HomeLost, // the home that it went through is gone, which says nothing of the server
};

// What a home found out about a server.
enum class ServerEvidence {
    Refuses, // nobody listens at its address
    Silent, // it doesn't answer there, on connections that stood or at opening one
    WrongAddress, // another server answers at its address
};

// What is known of one backend server from working with it.
struct PooledServer
{
    ServerRecord record;
    std::set<ConnectionKey> connections;
    std::vector<ConnectionKey> idle; // the one that was used last stands last
    std::deque<Borrower> waiting; // for a connection, in order
    int opening = 0;
    int running = 0; // statements without an answer yet
    AverageTime averageTime; // of an answer
    TimePoint answeredAt {}; // last, whatever it said
    TimePoint avoidUntil {}; // it failed or didn't answer
    ReplicaLag lag;
    TimePoint connectionLimitUntil {}; // it takes no further connection
    std::optional<TimePoint> failingSince; // no answer came since then
    std::optional<TimePoint> writeUnansweredSince; // a write has had no answer since then
    TimePoint primarySince {}; // when it first said so, as seen here
    bool isPastLeaveTimeNoted = false; // that its time to leave is over
    bool hasWrongAddress = false; // another server answers at its address
    bool refusesWrites = false; // it said that it doesn't lead, after its announcement
};

// The backend servers of all services and the connections to them. Connections live here and are
// addressed by their keys.
//
//   const auto reader = pool.chooseReader(service, need, tried, now);
//   const auto connection = pool.takeIdle(*reader, session.image, prepared);
class ServerPool
{
public:
    explicit ServerPool(FailureDomain own)
        : m_own(std::move(own))
    { }

    // Takes the servers over. Returns the connections to servers that are gone.
    std::vector<ConnectionKey> setServers(const std::vector<ServerRecord> &records, TimePoint now);

    // A server that has been leaving for so long gets no new work; it may still prove that it leads.
    void setLeaveTime(Duration time) { m_leaveTime = time; }
    bool isPastLeaveTime(const ServerId &server, TimePoint now) const;
    // Servers of which that has become so since the last call.
    std::vector<ServerId> takePastLeaveTime(TimePoint now);
    // The server that leads the service, as far as is known.
    std::optional<ServerId> primary(const ServiceName &service, TimePoint now) const;
    // The server for a read, out of those that weren't tried.
    std::optional<ServerId> chooseReader(const ServiceName &service, const ReadNeed &need,
                                         const std::set<ServerId> &tried, TimePoint now) const;
    std::vector<ServerId> serversOf(const ServiceName &service) const;

    PooledServer *find(const ServerId &server);
    const PooledServer *find(const ServerId &server) const;
    ServerConnection *connection(ConnectionKey key);

    // Adds a connection that is being opened.
    ConnectionKey add(const ServerId &server, TimePoint now);
    void opened(ConnectionKey key, TimePoint now);
    // Takes the idle connection that fits best, nothing where none is idle.
    std::optional<ConnectionKey> takeIdle(const ServerId &server, const SessionState &session,
                                          const PreparedStatement *prepared);
    // Puts a connection back among the idle ones.
    void putIdle(ConnectionKey key, TimePoint now);
    // Forgets the connection. Returns who used it.
    std::optional<Borrower> remove(ConnectionKey key);
    bool mayOpen(const ServerId &server, TimePoint now) const;
    // Idle connections that nobody is likely to need soon, or that other processes need sooner
    // where the server's connections are scarce.
    using IsScarce = std::function<bool(const ServerId &)>;
    std::vector<ConnectionKey> takeUnused(TimePoint now, const IsScarce &isScarce);
    // Servers that failed and gave no answer since, of which a new connection would tell whether
    // they can be reached again; no read goes there before.
    std::vector<ServerId> serversToProbe(TimePoint now) const;
    // Connections on which an answer that needs no slot is overdue.
    std::vector<ConnectionKey> silent(TimePoint now) const;

    // Notes that the server lives.
    void noteAlive(const ServerId &server, TimePoint now);
    bool isOwnDomain(const ServerId &server) const;
    // Whether servers of other failure domains fail and none of them has answered lately.
    bool isCutOff(TimePoint now) const;
    void noteAnswer(const ServerId &server, Duration time);
    void noteFailure(const ServerId &server, TimePoint now);
    // What the log of a server held or lacked when it was asked.
    void noteHeld(const ServerId &server, const LogPosition &position, const ReadNeed &need,
                  TimePoint askedAt);
    void noteMissing(const ServerId &server, const ReadNeed &need, TimePoint askedAt);
    // It refused a connection for want of room, which also shows that it lives.
    void noteConnectionLimit(const ServerId &server, TimePoint now);
    // A connection was silent while others were answered.
    void noteOverload(const ServerId &server, TimePoint now);
    // Whether the server has answered anything that was asked of it since then.
    bool hasAnsweredSince(const ServerId &server, TimePoint moment) const;
    // What failed while this process was cut off says nothing of the servers.
    void clearFailures();
    // A write had no answer yet when it should have.
    void noteUnansweredWrite(const ServerId &server, TimePoint sentAt);
    void clearUnansweredWrite(const ServerId &server);
    // Until its next announcement nothing is sent to the server.
    void noteWrongAddress(const ServerId &server);
    void noteNotPrimary(const ServerId &server);

    const std::map<ServerId, PooledServer> &servers() const { return m_servers; }

private:
    double costOf(const PooledServer &state, const ReadNeed &need, TimePoint now) const;

    const FailureDomain m_own;
    Duration m_leaveTime = Duration::max();
    std::map<ServerId, PooledServer> m_servers;
    std::map<ConnectionKey, ServerConnection> m_connections;
    ConnectionKey m_lastKey = 0;
};

} // namespace nutmegtide
