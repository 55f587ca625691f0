#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/fleet/domainreachability.h"
#include "nutmegtide/proxy/capborrower.h"
#include "nutmegtide/proxy/serverhome.h"
#include "nutmegtide/site/adapters.h"
#include "site/eventloop.h"
#include "site/homedirectory.h"
#include "site/lanewire.h"
#include "site/streamsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide {

// The connections of an entry VM to backend servers. A lane is a logical connection to a server
// through its home proxy; many lanes share one connection to that home. Where no home is known or
// answers, a direct connection is opened. Lives on the thread of the event loop.
//
// A home with overdue answers is probed, so that a frozen one is abandoned within a few tenths of a
// second. Until it answers again, its servers are reached through their other homes or directly.
// When no home of another failure domain answers, the own domain counts as cut off.
//
//   links.setHomes(homes);
//   links.open(connection, server);
//   links.send(connection, commands, urgency);
class LaneLinks
{
public:
    // Called with what a home reported about a server.
    using OnEvidence = std::function<void(const ServerId &, ServerEvidence)>;
    // Called when a home was lost or is reachable again.
    using OnHome =
            std::function<void(const Endpoint &home, bool isReachable, const std::string &why)>;

    LaneLinks(EventLoop &loop, const std::string &self, FailureDomain own, ServerEvents &events,
              OnEvidence onEvidence, OnHome onHome);

    // Called with a home's answer to a request for operations.
    using OnLoan = std::function<void(const Endpoint &home, const WorkspaceName &workspace,
                                      LenderRole role, const CapLoan &loan)>;
    void setOnLoan(OnLoan onLoan) { m_onLoan = std::move(onLoan); }

    // Sets the homes of each server.
    void setHomes(ServerHomes homes);
    void setServers(const std::vector<ServerRecord> &records);
    // With workspaces any home may be needed next, for a lane or to lend operations; else only the
    // preferred home of each server is.
    void setUsesAllHomes(bool usesAll) { m_usesAllHomes = usesAll; }

    void open(ConnectionKey connection, const ServerAnnouncement &server,
              const WorkspaceName &workspace);
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
              const Urgency &urgency);
    void close(ConnectionKey connection);
    // Returns the homes of all servers as lenders of operations.
    std::vector<CapLenderCandidate> lenderCandidates() const;
    // Returns whether the home answers; connects to it if it isn't connected.
    bool isHomeReachable(const Endpoint &at);
    // Sets lenders that are homes no longer, to which connections are kept.
    void setUnlistedLenders(std::set<Endpoint> lenders) { m_unlistedLenders = std::move(lenders); }
    void requestLoan(const Endpoint &at, const WorkspaceName &workspace, LenderRole role,
                     int wanted, const std::vector<LoanHistory> &reports);
    bool isLane(ConnectionKey connection) const { return m_lanes.count(connection) != 0; }
    // Returns the home of a lane; nothing for a direct connection.
    std::optional<Endpoint> homeOf(ConnectionKey connection) const;
    // Returns the home through which open() would go; nothing if it would open a direct connection.
    std::optional<Endpoint> nextHomeOf(const ServerId &server, const WorkspaceName &workspace,
                                       TimePoint now) const;
    // Another source reports that other failure domains may be unreachable, or that they are
    // reachable.
    void suspectCutOff(TimePoint now) { m_reach.noteOverdueAnswer(now); }
    void clearCutOffSuspicion(TimePoint now);
    // Whether no home of another failure domain answers probes.
    bool isCutOff(TimePoint now) const { return m_reach.isCutOff(now); }
    void tick(TimePoint now);
    TimePoint wakeAt() const { return m_dueAt; }
    // Sends the frames queued since the last call.
    void flush();

private:
    struct Lane
    {
        Endpoint home;
        ServerHome::LaneTarget unannouncedTarget; // until sent with the first request
        int unanswered = 0; // number of commands
    };
    struct Home
    {
        std::unique_ptr<StreamSocket> socket;
        FrameBuffer frames;
        wire::LaneFrame outgoing;
        std::set<ConnectionKey> lanes;
        int unanswered = 0; // number of commands of all lanes and of loans that were asked for
        int loansAsked = 0;
        bool isReachable = false; // has answered on this connection
        bool isLeaving = false;
        bool isProbed = false;
        TimePoint probedAt;
        TimePoint heardAt;
        TimePoint connectAt {}; // no reconnection before this
    };

    // Uses direct connections to the server for a while, because it didn't answer at its home.
    void bypassHome(const ServerId &server);
    bool isHomeBypassed(const ServerId &server, TimePoint now) const;
    bool isUsable(const Endpoint &at) const;
    static std::vector<Endpoint> homesFor(const WorkspaceName &workspace,
                                          const std::vector<Endpoint> &homes);
    // Connects to the homes that are likely to be needed next.
    void connectAhead(TimePoint now);
    std::optional<Endpoint> findUsableHome(const std::vector<Endpoint> &homes, TimePoint now);
    void connect(const Endpoint &at, TimePoint now);
    void sendProbe(const Endpoint &at, Home &home, TimePoint now);
    bool read(const Endpoint &at, std::string_view bytes);
    void handleFrame(const Endpoint &at, const wire::LaneFrame &frame);
    void retireLanes(const Endpoint &at);
    void handleReply(const wire::LaneReply &reply);
    void handleLoan(const Endpoint &at, const wire::Loan &message);
    // Closes the connection to a home and all its lanes, and doesn't reconnect during the pause.
    void disconnect(const Endpoint &at, const std::string &why, Duration pause);
    wire::LaneFrame &outgoing(const Endpoint &at);
    void restartAnswerTimeouts(TimePoint now);
    void checkHomes(TimePoint now);
    void updateHomeDomains();
    void checkReach(TimePoint now);
    std::size_t probeRemoteHomes(DomainReachability::ProbeTargets questions, TimePoint now);
    void warnOwnDomainHomes();

    EventLoop &m_loop;
    const std::string m_self;
    const FailureDomain m_own;
    ServerEvents &m_events;
    const OnEvidence m_onEvidence;
    const OnHome m_onHome;
    OnLoan m_onLoan;
    std::unique_ptr<ServerLinks> m_direct;
    ServerHomes m_homesByServer; // in this VM's order of preference
    std::set<Endpoint> m_allHomes; // the homes of all servers
    std::set<Endpoint> m_unlistedLenders;
    std::map<ServerId, FailureDomain> m_domainOf;
    // Of the homes of known servers.
    std::map<Endpoint, FailureDomain> m_domainOfHome;
    std::set<Endpoint> m_remoteHomes; // homes of other failure domains
    bool m_usesAllHomes = false;
    DomainReachability m_reach;
    std::map<Endpoint, Home> m_homes;
    FrameWriter m_writer;
    FrameExpander m_expander;
    std::map<ConnectionKey, Lane> m_lanes;
    std::map<ServerId, TimePoint> m_directUntil;
    std::set<Endpoint> m_unsent; // homes with an outgoing frame
    TimePoint m_dueAt {};
    TimePoint m_tickedAt {};
};

} // namespace nutmegtide
