#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/proxy/caplender.h"
#include "nutmegtide/proxy/serverhome.h"
#include "nutmegtide/site/adapters.h"
#include "nutmegtide/site/linklimits.h"
#include "site/eventloop.h"
#include "site/homedirectory.h"
#include "site/lanewire.h"
#include "site/streamlistener.h"
#include "site/streamsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace nutmegtide {

// The listener of an entry VM for lanes. It passes the lanes' commands to the ServerHome of the
// backend servers that this VM is home of. Lives on the thread of the event loop.
//
// Commands that are read after this process was stalled are not executed: their senders may long
// since have reported an unknown outcome to their callers, and a write must not take effect after a
// later one.
class HomePort : private ServerHomeDelegate, private ServerEvents
{
public:
    // Called to log that a connection of a lane or to a server ended abnormally.
    using OnFault = std::function<void(const std::string &event, const std::string &reason)>;

    // What this process knows of a workspace's owner.
    struct OwnerView
    {
        OwnerState state = OwnerState::Self;
        std::optional<Endpoint> at; // with Reachable
        TimePoint since {}; // with Self
    };
    using FindOwner = std::function<OwnerView(const WorkspaceName &)>;

    // Throws ListenError.
    HomePort(EventLoop &loop, const Endpoint &at, const std::string &self, FailureDomain own,
             const LinkLimitSettings &limits, OnFault onFault, FindOwner findOwner);
    HomePort(const HomePort &) = delete;
    HomePort &operator=(const HomePort &) = delete;

    void setLeaveTime(Duration time) { m_home.setLeaveTime(time); }
    void setServers(const std::vector<ServerRecord> &records);
    // Asks the other VMs to use other homes; commands in progress go on.
    void leave();
    // Sets the homes of each server. `own` is this VM's listener for lanes.
    void setHomes(const ServerHomes &homes, const Endpoint &own);
    void setWorkspaces(const std::optional<WorkspaceTable> &workspaces)
    {
        m_lender.setWorkspaces(workspaces);
    }
    // Whether this VM's failure domain is cut off from the others, which then have lenders of their
    // own.
    void setCutOff(bool isCutOff);
    void setCapRule(const CapRule &rule) { m_lender.setRule(rule); }
    // Sets how many connections a server of each service accepts.
    void setConnectionLimits(std::map<ServiceName, int> limits)
    {
        m_home.setConnectionLimits(std::move(limits));
    }
    void setBalancedServices(std::set<ServiceName> services)
    {
        m_home.setBalancedServices(std::move(services));
    }
    // Which connections to servers are vouched for.
    ConnectionVouches &vouches() { return m_home.vouches(); }
    void tick(TimePoint now);
    TimePoint wakeAt() const { return m_home.wakeAt(); }
    // Sends what the events since the last call produced. Must be called before each wait for
    // events and at least every 100 ms, since a longer gap counts as a stall.
    void flush();
    bool isInUse() const { return m_home.isInUse(); }
    std::uint64_t resentCount() const { return m_home.resentCount(); }
    std::uint64_t uninformedLoanCount() const { return m_lender.uninformedCount(); }

private:
    struct Link
    {
        std::unique_ptr<StreamSocket> socket;
        FrameBuffer frames {FrameBuffer::PeerLimits};
        wire::LaneFrame outgoing;
        FailureDomain failureDomain; // of the entry VM, empty until it has reported it
    };

    void take(int socket);
    bool read(std::uint64_t link, std::string_view bytes);
    // Whether this process was stalled for so long that others may have given it up.
    bool wasStalled() const;
    void closeAllLinks();
    void handleFrame(std::uint64_t link, const wire::LaneFrame &frame);
    // Returns an id of this run of the process as a lender.
    static LenderId lenderRun();
    void handleLoanRequest(std::uint64_t link, const wire::LoanRequest &request);
    void updateLender(TimePoint now);
    void forwardReachWarning(std::uint64_t from, TimePoint now);
    void end(std::uint64_t link);
    bool makeRoomFor(std::uint64_t link);
    // Closes links for a limit.
    void closeLimited(const std::vector<LinkKey> &links, const std::string &reason);
    // Closes the links with the most while all together have too much.
    void closeExcess();
    // The same. Returns whether this link is still open.
    bool keepWithinMemory(std::uint64_t link);
    // Returns the bytes that are held for the link.
    std::size_t measure(std::uint64_t link) const;
    // Returns about how many bytes a lane takes with these commands and their answers.
    static std::size_t bytesFor(const std::vector<ServerCommand> &commands);
    // Returns the next frame to send on the link, null where the link is closed.
    wire::LaneFrame *outgoing(std::uint64_t link);

    void open(ConnectionKey connection, const ServerAnnouncement &server,
              const WorkspaceName &workspace) override;
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) override;
    void close(ConnectionKey connection) override;
    void reply(const LaneKey &lane, const ServerReply &reply) override;
    void laneLost(const LaneKey &lane) override;
    void reportEvidence(std::uint64_t link, const ServerId &server,
                        ServerEvidence evidence) override;

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;

    EventLoop &m_loop;
    const FailureDomain m_own;
    const OnFault m_onFault;
    const FindOwner m_findOwner;
    ServerHome m_home {*this};
    CapLender m_lender {lenderRun()};
    TimePoint m_uninformedLoggedAt {};
    TimePoint m_lenderDueAt {};
    bool m_isCutOff = false;
    ServerHomes m_homesByServer;
    std::map<ServerId, FailureDomain> m_domainOf;
    std::map<FailureDomain, TimePoint> m_domainSeenAt; // with a home
    std::unique_ptr<ServerLinks> m_servers;
    StreamListener m_listener;
    std::map<std::uint64_t, Link> m_links;
    LinkLimits m_limits;
    FrameWriter m_writer;
    FrameExpander m_expander;
    std::set<std::uint64_t> m_unsent; // links with an outgoing frame
    std::uint64_t m_lastLink = 0;
    TimePoint m_flushedAt = EventLoop::now();
    TimePoint m_warningForwardedAt {}; // the latest forwarded warning
    bool m_isLeaving = false;
};

} // namespace nutmegtide
