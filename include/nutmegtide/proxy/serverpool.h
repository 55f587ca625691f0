#pragma once

#include "nutmegtide/proxy/averagetime.h"
#include "nutmegtide/proxy/commitconfirmations.h"
#include "nutmegtide/proxy/loadbalancer.h"
#include "nutmegtide/proxy/readexplanation.h"
#include "nutmegtide/proxy/replicalag.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "nutmegtide/proxy/sharewatch.h"
#include "nutmegtide/session/sessionstate.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegtide {

using ConnectionKey = std::uint64_t; // identifies a connection to a backend server; 0 for none

// Pause before the next connection attempt to a server that had no connection left.
constexpr Duration ConnectionLimitPause = 60ms;

// User of a connection: a session, or the proxy itself to get a proof of position or to ask whether
// a replica holds a commit.
struct Borrower
{
    SessionKey session = 0;
    ServiceName proofOf; // service to be asked; set if session is 0
    WorkspaceName workspace {}; // of the session; empty for the proxy itself
    bool isConfirmation = false; // asks for a commit

    auto operator<=>(const Borrower &) const = default;
};

// Replies that a connection is waiting for, queued in the order in which they arrive.
enum class Expectation {
    Restore, // to a command that restores a session value or a prepared statement
    Begin,
    Statement,
    Rollback,
    Proof, // to the begin of a proof of position, an empty transaction
    Confirmation, // to the begin that asks for a commit, an empty transaction
};

// Connection to a backend server, either direct or through the server's home.
struct ServerConnection
{
    ServerId server;
    WorkspaceName workspace; // in whose name it is opened; only its statements run on it
    bool isOpen = false; // the server has accepted it
    bool isLane = false; // it is a lane of the server's home
    bool isRetired = false; // it is closed once nobody uses it
    std::deque<Expectation> expected;
    std::optional<Borrower> borrower;
    ServerConnectionState image;
    TimePoint usedAt; // when it last sent or received something
    TimePoint sentAt; // when the latest command was sent
};

// Why a connection was lost.
enum class Loss {
    Refused, // the address accepts no connections
    Closed, // the peer closed or reset it
    Silent, // no reply in time
    // The home that it went through is lost, which says nothing about the server.
    HomeLost,
};

// Findings about a server that its home reports.
enum class ServerEvidence {
    Refuses, // its address accepts no connections
    Silent, // no reply, on open connections or when one is opened
    WrongAddress, // another server replies at its address
};

// A server whose share of the reads of its service has become low, or is no longer low.
struct ShareChange
{
    ServerId server;
    ServiceName service;
    bool isLow = false;
};

// State of one backend server as this process has observed it.
struct PooledServer
{
    ServerRecord record;
    std::set<ConnectionKey> connections;
    std::vector<ConnectionKey> idle; // of all workspaces; the most recently used one is last
    std::deque<Borrower> waiting; // for a connection, first come first served
    int opening = 0;
    int running = 0; // statements without a reply
    AverageTime averageTime; // response time of statements
    TimePoint answeredAt {}; // time of the latest reply, errors included
    TimePoint timedAt {}; // time of the latest sample of it; for balanced services only
    // The wait that the home reported latest, and the smoothed share of statements that failed.
    // Both are kept for balanced services only.
    Duration reportedWait {};
    TimePoint reportedAt {};
    double failureShare = 0;
    TimePoint failureNotedAt {};
    ShareWatch readShare;
    // No reads are sent there until then, since it failed or was too slow.
    TimePoint avoidUntil {};
    ReplicaLag lag;
    // No connection is opened until then, since the server had none left.
    TimePoint connectionLimitUntil {};
    // Time of the first failure; reset by the next reply or accepted connection.
    std::optional<TimePoint> failingSince;
    // Send time of the first write that is overdue; reset by the next statement reply.
    std::optional<TimePoint> writeUnansweredSince;
    // When this process first saw the server announced as primary.
    TimePoint primarySince {};
    // Whether takePastLeaveTime() has returned the server.
    bool isPastLeaveTimeNoted = false;
    bool hasWrongAddress = false; // another server replies at its address
    // It refused a write as not being the primary, after its latest announcement.
    bool refusesWrites = false;
};

// Backend servers of all services, and the connections to them. The pool owns the connections; they
// are referred to by key.
//
//   const auto reader = pool.chooseReader(service, need, tried, now);
//   const auto connection = pool.takeIdle(*reader, session.image, prepared);
class ServerPool
{
public:
    // The seed is for the choice of readers, so that processes choose differently.
    explicit ServerPool(FailureDomain own, std::uint64_t seed = 0)
        : m_own(std::move(own))
        , m_balancer(seed)
    { }

    // Sets the services whose reads are spread by LoadBalancer.
    void setBalancedServices(std::set<ServiceName> services) { m_balanced = std::move(services); }

    // Replaces the known servers. Returns the connections to removed or restarted servers.
    std::vector<ConnectionKey> setServers(const std::vector<ServerRecord> &records, TimePoint now);

    // Sets how long a leaving server gets new work. After that it is only asked for proofs of
    // position.
    void setLeaveTime(Duration time) { m_leaveTime = time; }
    bool isPastLeaveTime(const ServerId &server, TimePoint now) const;
    // Returns the servers whose leave time has ended since the last call.
    std::vector<ServerId> takePastLeaveTime(TimePoint now);
    // Returns the service's primary, as far as is known.
    std::optional<ServerId> primary(const ServiceName &service, TimePoint now) const;
    // Chooses a server for a read, leaving out those in `tried`: the one with the lowest expected
    // cost or, for a balanced service, the one that LoadBalancer draws.
    std::optional<ServerId> chooseReader(const ServiceName &service, const ReadNeed &need,
                                         const std::set<ServerId> &tried, TimePoint now);
    // Returns what chooseReader() would choose from, and what it would choose; for a balanced
    // service, the server with the highest probability. At most `most` candidates are returned.
    ReaderExplanation explainReaders(const ServiceName &service, const ReadNeed &need,
                                     std::size_t most, TimePoint now) const;
    // Returns the servers of balanced services whose share of the reads has become low, or is no
    // longer low, since the last call.
    std::vector<ShareChange> takeShareChanges() { return std::exchange(m_shareChanges, {}); }
    const ReadCounts &readCounts() const { return m_readCounts; }
    std::vector<ServerId> serversOf(const ServiceName &service) const;
    // Returns the service's servers that can be asked for a commit, preferring those of the own
    // failure domain and among these the one that replied last.
    std::vector<ServerId> askableServers(const ServiceName &service, TimePoint now) const;

    PooledServer *find(const ServerId &server);
    const PooledServer *find(const ServerId &server) const;
    ServerConnection *connection(ConnectionKey key);

    // Adds a connection that is being opened.
    ConnectionKey add(const ServerId &server, const WorkspaceName &workspace, TimePoint now);
    void opened(ConnectionKey key, TimePoint now);
    // Takes the workspace's idle connection whose state is closest to the session's; nullopt if
    // none is idle.
    std::optional<ConnectionKey> takeIdle(const ServerId &server, const WorkspaceName &workspace,
                                          const SessionState &session,
                                          const PreparedStatement *prepared);
    // Returns the connection that takeIdle() would take.
    std::optional<ConnectionKey> closestIdle(const ServerId &server, const WorkspaceName &workspace,
                                             const SessionState &session,
                                             const PreparedStatement *prepared) const;
    // Returns a connection to the idle ones.
    void putIdle(ConnectionKey key, TimePoint now);
    // Removes the connection. Returns its borrower.
    std::optional<Borrower> remove(ConnectionKey key);
    bool mayOpen(const ServerId &server, TimePoint now) const;
    // Removes from the idle ones and returns a connection that has to be closed before another one
    // may be opened: the one that was unused for longest. Returns nullopt if there is room.
    std::optional<ConnectionKey> takeSurplus(const ServerId &server);
    // Returns whether more borrowers of the workspace wait at the server than connections are being
    // opened for it.
    bool needsConnection(const ServerId &server, const WorkspaceName &workspace) const;
    // Removes from the idle ones and returns the connections that have been idle for too long. The
    // limit is shorter at a server whose connections are scarce, since other processes need them.
    using IsScarce = std::function<bool(const ServerId &)>;
    std::vector<ConnectionKey> takeUnused(TimePoint now, const IsScarce &isScarce);
    // Returns the failed servers that are due for a connection attempt. No reads are sent to them
    // until one succeeds.
    std::vector<ServerId> serversToProbe(TimePoint now) const;
    // Returns the connections with an overdue reply to a command that needs no slot.
    std::vector<ConnectionKey> silent(TimePoint now) const;

    // Records that the server sent a reply.
    void noteAlive(const ServerId &server, TimePoint now);
    bool isOwnDomain(const ServerId &server) const;
    // Returns whether servers of other failure domains fail and none of them has replied lately.
    bool isCutOff(TimePoint now) const;
    void noteAnswer(const ServerId &server, Duration time);
    // Records the reply to a statement of a balanced service, in place of noteAnswer(). Returns
    // whether the wait that it reports is possible; another one is ignored.
    bool noteBalancedAnswer(const ServerId &server, Duration time, const ServerReply &reply,
                            TimePoint now);
    void noteFailure(const ServerId &server, TimePoint now);
    // Record whether the server's log had reached a position when it was asked.
    void noteHeld(const ServerId &server, const LogPosition &position, const ReadNeed &need,
                  TimePoint askedAt);
    void noteMissing(const ServerId &server, const ReadNeed &need, TimePoint askedAt);
    // Records that the server had no connection left, which also shows that it is alive.
    void noteConnectionLimit(const ServerId &server, TimePoint now);
    // Records that a connection was silent while others got replies.
    void noteOverload(const ServerId &server, TimePoint now);
    // Returns whether the server has sent any reply after `moment`.
    bool hasAnsweredSince(const ServerId &server, TimePoint moment) const;
    // Clears all failures. Those seen while this process was cut off say nothing about the servers.
    void clearFailures();
    // Records that the reply to a write is overdue.
    void noteUnansweredWrite(const ServerId &server, TimePoint sentAt);
    void clearUnansweredWrite(const ServerId &server);
    // Records that another server replies at this server's address. Nothing is sent there until the
    // next announcement.
    void noteWrongAddress(const ServerId &server);
    // Records that the server refused a write as not being the primary.
    void noteNotPrimary(const ServerId &server);

    const std::map<ServerId, PooledServer> &servers() const { return m_servers; }
    // Returns the servers with a failure or an overdue write, and perhaps others that had one.
    const std::set<ServerId> &failingServers() const { return m_failing; }
    // Removes those that have recovered from failingServers().
    void forgetRecovered();

private:
    void listByService();
    // Returns the known servers of the service in the order of their ids, also those that are gone.
    const std::vector<ServerId> &listOf(const ServiceName &service) const;
    double costOf(const PooledServer &state, const ReadNeed &need, TimePoint now) const;
    double addPrices(double cost, const PooledServer &state, const ReadNeed &need,
                     TimePoint now) const;
    // Returns the first reason why the server gets no reads, whatever they need.
    static std::optional<ReadExclusion> exclusionOf(const PooledServer &state, TimePoint now);
    static bool mayRead(const PooledServer &state, const std::set<ServerId> &tried, TimePoint now);
    // Returns whether a replica of a balanced service would be asked in vain.
    static bool isBehind(const PooledServer &state, const ReadNeed &need, TimePoint now);
    std::optional<ServerId> cheapestReader(const ServiceName &service, const ReadNeed &need,
                                           const std::set<ServerId> &tried, TimePoint now) const;
    // Returns the servers of a balanced service among which a read is drawn.
    std::vector<ServerEstimate> readerEstimates(const ServiceName &service, const ReadNeed &need,
                                                const std::set<ServerId> &tried,
                                                TimePoint now) const;
    ReadCandidate candidateOf(const PooledServer &state, const ReadNeed &need, Duration usualTime,
                              TimePoint now) const;
    void explainDraw(ReaderExplanation &explanation, const ServiceName &service,
                     const ReadNeed &need, TimePoint now) const;
    std::optional<ServerId> drawReader(const ServiceName &service, const ReadNeed &need,
                                       const std::set<ServerId> &tried, TimePoint now);
    ServerEstimate estimateOf(const PooledServer &state, const ReadNeed &need, Duration usualTime,
                              TimePoint now) const;
    // Returns the mean response time of the service's servers that replied lately.
    Duration usualTime(const ServiceName &service, TimePoint now) const;
    bool isBalanced(const PooledServer &state) const;
    void noteOutcome(PooledServer &state, bool isFailed, TimePoint now) const;
    void noteShares(const std::vector<ServerEstimate> &estimates,
                    const std::vector<double> &weights, TimePoint now);
    void countRead(const ServerId &server);

    const FailureDomain m_own;
    LoadBalancer m_balancer;
    std::set<ServiceName> m_balanced;
    UsualLag m_usualLag; // of replicas of balanced services
    ReadCounts m_readCounts;
    std::vector<ShareChange> m_shareChanges;
    Duration m_leaveTime = Duration::max();
    std::map<ServerId, PooledServer> m_servers;
    std::map<ServiceName, std::vector<ServerId>> m_byService; // keys of m_servers
    std::set<ServerId> m_failing;
    std::map<ConnectionKey, ServerConnection> m_connections;
    ConnectionKey m_lastKey = 0;
};

} // namespace nutmegtide
