#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/proxy/homequeue.h"
#include "nutmegtide/site/adapters.h"
#include "site/eventloop.h"
#include "site/lanewire.h"
#include "site/streamsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide {

// The connections of an entry VM to backend servers: lanes at the home of a server where one is
// known and answers, else connections of its own. Lives on the thread of the event loop.
//
// A home that owes an answer is asked whether it still is there, so that a frozen one is left
// within a few tenths of a second; until it has answered again its servers are reached directly.
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
    using OnHome = std::function<void(const Endpoint &home, bool isThere, const std::string &why)>;

    LaneLinks(EventLoop &loop, const std::string &self, ServerEvents &events, OnEvidence onEvidence,
              OnHome onHome);

    void setHomes(std::map<ServerId, Endpoint> homes);

    void open(ConnectionKey connection, const ServerAnnouncement &server);
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
              const Urgency &urgency);
    void close(ConnectionKey connection);
    bool isLane(ConnectionKey connection) const { return m_lanes.count(connection) != 0; }
    void tick(TimePoint now);
    TimePoint wakeAt() const { return m_dueAt; }
    // Sends what was asked for since the last call.
    void flush();

private:
    struct Lane
    {
        Endpoint home;
        ServerId untold; // the lane's server, until the home knows it
        int unanswered = 0; // commands
    };
    struct Home
    {
        std::unique_ptr<StreamSocket> socket;
        FrameBuffer frames;
        wire::LaneFrame outgoing;
        std::set<ConnectionKey> lanes;
        int unanswered = 0; // commands of all lanes
        bool isThere = false; // it has answered on this connection
        bool isLeaving = false;
        bool isAsked = false;
        TimePoint askedAt;
        TimePoint heardAt;
        TimePoint connectAt {}; // not before
    };

    // The server didn't answer at its home; for a while it is asked directly.
    void doubtHome(const ServerId &server);
    bool mayUse(const ServerId &server, TimePoint now) const;
    void connect(const Endpoint &at, TimePoint now);
    void ask(const Endpoint &at, Home &home, TimePoint now);
    bool read(const Endpoint &at, std::string_view bytes);
    void obey(const Endpoint &at, const wire::LaneFrame &frame);
    void take(const wire::LaneReply &reply);
    // Ends the connection to a home and all lanes there, and makes no other one for the pause.
    void lose(const Endpoint &at, const std::string &why, Duration pause);
    wire::LaneFrame &outgoing(const Endpoint &at);

    EventLoop &m_loop;
    ServerEvents &m_events;
    const OnEvidence m_onEvidence;
    const OnHome m_onHome;
    std::unique_ptr<ServerLinks> m_direct;
    std::map<ServerId, Endpoint> m_homeOf;
    std::map<Endpoint, Home> m_homes;
    std::map<ConnectionKey, Lane> m_lanes;
    std::map<ServerId, TimePoint> m_directUntil;
    std::set<Endpoint> m_unsent; // homes with an outgoing frame
    TimePoint m_dueAt {};
    TimePoint m_tickedAt {};
};

} // namespace nutmegtide
