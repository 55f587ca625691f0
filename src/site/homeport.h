#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/proxy/serverhome.h"
#include "nutmegtide/site/adapters.h"
#include "site/eventloop.h"
#include "site/homedirectory.h"
#include "site/lanewire.h"
#include "site/streamlistener.h"
#include "site/streamsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace nutmegtide {

// The listener of an entry VM for lanes, before the ServerHome of the backend servers that this VM
// is home of. Lives on the thread of the event loop.
//
// What comes from others after this process stood still is not run: they may have told their callers
// long ago that the outcome is unknown, and a write must not take effect behind a later one.
class HomePort : private ServerHomeDelegate, private ServerEvents
{
public:
    // A connection to a server ended in a way that is worth a log line.
    using OnFault = std::function<void(const std::string &event, const std::string &reason)>;

    // Throws ListenError.
    HomePort(EventLoop &loop, const Endpoint &at, const std::string &self, FailureDomain own,
             OnFault onFault);
    HomePort(const HomePort &) = delete;
    HomePort &operator=(const HomePort &) = delete;

    void setLeaveTime(Duration time) { m_home.setLeaveTime(time); }
    void setServers(const std::vector<ServerRecord> &records)
    {
        m_home.setServers(records, EventLoop::now());
    }
    // Tells the other VMs to take their work elsewhere; what runs goes on.
    void leave();
    // Which servers this home, which takes lanes there, shares with others.
    void setHomes(const ServerHomes &homes, const Endpoint &own);
    void tick(TimePoint now);
    TimePoint wakeAt() const { return m_home.wakeAt(); }
    // Sends what the events since the last call brought. To be called before each wait for events,
    // at least each 100 ms, since a longer time without a call counts as standing still.
    void flush();
    bool isInUse() const { return m_home.isInUse(); }

private:
    struct Link
    {
        std::unique_ptr<StreamSocket> socket;
        FrameBuffer frames;
        wire::LaneFrame outgoing;
        FailureDomain failureDomain; // of the entry VM, empty until it told
    };

    void take(int socket);
    bool read(std::uint64_t link, std::string_view bytes);
    // Whether this process stood still for so long that others may have given it up.
    bool wasStalled() const;
    void closeAllLinks();
    void handleFrame(std::uint64_t link, const wire::LaneFrame &frame);
    void forwardReachWarning(std::uint64_t from, TimePoint now);
    void end(std::uint64_t link);
    // The frame that goes out next to the link, null where it is gone.
    wire::LaneFrame *outgoing(std::uint64_t link);

    void open(ConnectionKey connection, const ServerAnnouncement &server) override;
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) override;
    void close(ConnectionKey connection) override;
    void reply(const LaneKey &lane, const ServerReply &reply) override;
    void laneLost(const LaneKey &lane) override;
    void reportEvidence(std::uint64_t link, const ServerId &server, ServerEvidence evidence) override;

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;

    EventLoop &m_loop;
    const FailureDomain m_own;
    const OnFault m_onFault;
    ServerHome m_home {*this};
    std::unique_ptr<ServerLinks> m_servers;
    StreamListener m_listener;
    std::map<std::uint64_t, Link> m_links;
    FrameWriter m_writer;
    FrameExpander m_expander;
    std::set<std::uint64_t> m_unsent; // links with an outgoing frame
    std::uint64_t m_lastLink = 0;
    TimePoint m_flushedAt = EventLoop::now();
    TimePoint m_warningForwardedAt {}; // the latest warning that was passed on
    bool m_isLeaving = false;
};

} // namespace nutmegtide
