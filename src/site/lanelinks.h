#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/fleet/domainreachability.h"
#include "nutmegtide/proxy/homequeue.h"
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

// The connections of an entry VM to backend servers: lanes at the home of a server where one is
// known and answers, else connections of its own. Lives on the thread of the event loop.
//
// A home that owes an answer is asked whether it still is there, so that a frozen one is left
// within a few tenths of a second; until it has answered again its servers are reached through
// their other homes, or directly. The silence of all homes of other failure domains is a cut.
//
//   links.setHomes(homes);
//   links.open(connection, server);
//   links.send(connection, commands, urgency);
class LaneLinks
{
public:
    // What a home said of a server.
    using OnEvidence = std::function<void(const ServerId &, ServerEvidence)>;
    // A home was lost or is there again.
    using OnHome = std::function<void(const Endpoint &home, bool isReachable, const std::string &why)>;

    LaneLinks(EventLoop &loop, const std::string &self, FailureDomain own, ServerEvents &events,
              OnEvidence onEvidence, OnHome onHome);

    // The homes of each server, the one that is to be used first.
    void setHomes(ServerHomes homes);
    void setServers(const std::vector<ServerRecord> &records);

    void open(ConnectionKey connection, const ServerAnnouncement &server);
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
              const Urgency &urgency);
    void close(ConnectionKey connection);
    bool isLane(ConnectionKey connection) const { return m_lanes.count(connection) != 0; }
    // Other means tell that other failure domains may be out of reach, or that they are within it.
    void suspectCutOff(TimePoint now) { m_reach.noteOverdueAnswer(now); }
    void clearCutOffSuspicion(TimePoint now);
    // Whether all homes of other failure domains leave questions unanswered.
    bool isCutOff(TimePoint now) const { return m_reach.isCutOff(now); }
    void tick(TimePoint now);
    TimePoint wakeAt() const { return m_dueAt; }
    // Sends what was asked for since the last call.
    void flush();

private:
    struct Lane
    {
        Endpoint home;
        ServerId unannouncedServer; // the lane's server, until the home knows it
        int unanswered = 0; // commands
    };
    struct Home
    {
        std::unique_ptr<StreamSocket> socket;
        FrameBuffer frames;
        wire::LaneFrame outgoing;
        std::set<ConnectionKey> lanes;
        int unanswered = 0; // commands of all lanes
        bool isReachable = false; // it has answered on this connection
        bool isLeaving = false;
        bool isProbed = false;
        TimePoint probedAt;
        TimePoint heardAt;
        TimePoint connectAt {}; // not before
    };

    // The server didn't answer at its home; for a while it is asked directly.
    void bypassHome(const ServerId &server);
    bool isHomeBypassed(const ServerId &server, TimePoint now) const;
    bool isUsable(const Endpoint &at) const;
    // Connects to the homes that will be needed next.
    void connectAhead(TimePoint now);
    std::optional<Endpoint> findUsableHome(const std::vector<Endpoint> &homes, TimePoint now);
    void connect(const Endpoint &at, TimePoint now);
    void sendProbe(const Endpoint &at, Home &home, TimePoint now);
    bool read(const Endpoint &at, std::string_view bytes);
    void handleFrame(const Endpoint &at, const wire::LaneFrame &frame);
    void retireLanes(const Endpoint &at);
    void handleReply(const wire::LaneReply &reply);
    // Ends the connection to a home and all lanes there, and makes no other one for the pause.
    void disconnect(const Endpoint &at, const std::string &why, Duration pause);
    wire::LaneFrame &outgoing(const Endpoint &at);
    void restartAnswerTimeouts(TimePoint now);
    void checkHomes(TimePoint now);
    void updateRemoteHomes();
    void checkReach(TimePoint now);
    std::size_t probeRemoteHomes(DomainReachability::ProbeTargets questions, TimePoint now);
    void warnOwnDomainHomes();

    EventLoop &m_loop;
    const FailureDomain m_own;
    ServerEvents &m_events;
    const OnEvidence m_onEvidence;
    const OnHome m_onHome;
    std::unique_ptr<ServerLinks> m_direct;
    ServerHomes m_homesByServer; // the one that is used first stands first
    std::set<Endpoint> m_allHomes; // all of them
    std::map<ServerId, FailureDomain> m_domainOf;
    std::set<Endpoint> m_remoteHomes; // homes of other failure domains
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
