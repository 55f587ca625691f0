#pragma once

#include "base/log.h"
#include "base/taskworker.h"
#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/failover/changetrigger.h"
#include "nutmegtide/failover/serverroster.h"
#include "nutmegtide/site/adapters.h"
#include "serve/identity.h"
#include "site/eventloop.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace nutmegtide {

// Carries out changes of primary at the control VM that leads: decisions of ChangeTrigger and
// SemiSyncChange in, connections to servers and orders to the platform out. Lives on the thread of
// its event loop.
class PrimaryChangeManager : private ServerEvents
{
public:
    // Returns the servers that said that they leave for good.
    using DepartedServers = std::function<std::set<ServerId>()>;
    // Told of a server at whose address another one answers.
    using OnGone = std::function<void(const ServerId &)>;
    // Told which server leads, by its own word in this term.
    using OnPrimary = std::function<void(const ServiceName &, const ServerId &, Term)>;

    PrimaryChangeManager(EventLoop &loop, const Identity &identity, ReplicatedLog &log, Promoter &promoter,
                 const ServerRoster &roster, DepartedServers departed, OnGone onGone, OnPrimary onPrimary);

    // Thread-safe.
    void complain(const EntryComplaint &complaint);
    // `servers` are those that are not gone, `entryCount` is how many entry VMs there are.
    void tick(const std::vector<ServerRecord> &servers, int entryCount, TimePoint now);

private:
    // A connection to one server for the time of a change.
    struct Link
    {
        ServiceName service;
        ServerId server;
        bool isOpen = false;
        std::deque<ServerCommand> queued; // until it is open
        std::deque<ServerCommand> sent; // without an answer yet
        TimePoint activeAt;
    };
    struct Group
    {
        std::unique_ptr<SemiSyncChange> change;
        std::map<ServerId, ConnectionKey> links;
        std::string loggedReason; // as last logged
        TimePoint startedAt {};
        TimePoint orderedAt {}; // the latest order of this process
        std::unique_ptr<TaskWorker> worker;
    };

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;

    void startWantedChanges(const std::vector<ServerRecord> &present, TimePoint now);
    void start(const ServiceName &service, const NeededChange &neededChange, TimePoint now);
    void perform(const ServiceName &service, const SemiSyncChangeActions &actions);
    void perform(const ServiceName &service, const QueryStatus &action);
    void perform(const ServiceName &service, const HoldServer &action);
    void perform(const ServiceName &service, const DemoteServer &action);
    void perform(const ServiceName &service, const ResumeServer &action);
    void perform(const ServiceName &service, const ReserveToken &action);
    void perform(const ServiceName &service, const OrderPromotion &action);
    void ask(const ServiceName &service, const ServerId &server, ServerCommandKind kind, Term term);
    // How a connection to a server failed.
    enum class LinkFault { Unreachable, Overloaded, Gone };
    void failLink(ConnectionKey key, LinkFault fault);
    ConnectionKey openLink(const ServiceName &service, const ServerId &server, TimePoint now);
    // Keeps a connection to each server, since an overloaded one would take none in need.
    void maintainLinks(TimePoint now);
    void checkLinks(TimePoint now);
    void updateRoster(const std::map<ServiceName, std::vector<ServerRecord>> &services,
                      TimePoint now);
    void afterStep(const ServiceName &service);
    // No order for the service can be carried out any more.
    void closeOrders(const ServiceName &service);
    void abandonAll();
    void log(const std::string &event, const std::vector<LogField> &fields) const;

    EventLoop &m_loop;
    const Identity &m_identity;
    ReplicatedLog &m_log;
    Promoter &m_promoter;
    const ServerRoster &m_roster;
    const DepartedServers m_departed;
    const OnGone m_onGone;
    const OnPrimary m_onPrimary;
    std::unique_ptr<ServerLinks> m_serverLinks;
    ChangeTrigger m_trigger;
    const TimePoint m_listensSince = EventLoop::now();
    bool m_isLeading = false;
    TimePoint m_leadingSince {};
    std::map<ServiceName, Group> m_groups;
    std::map<ConnectionKey, Link> m_links;
    std::map<ServerId, ServerAnnouncement> m_announcements;
    std::map<ServerId, TimePoint> m_triedAt; // to open a link
    TimePoint m_rosterDueAt {};
    std::unique_ptr<TaskWorker> m_rosterWorker;
    ConnectionKey m_lastKey = 0;
};

} // namespace nutmegtide
