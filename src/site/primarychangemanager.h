#pragma once

#include "base/log.h"
#include "base/taskworker.h"
#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/failover/changetrigger.h"
#include "nutmegtide/failover/departuretracker.h"
#include "nutmegtide/failover/serverroster.h"
#include "nutmegtide/site/adapters.h"
#include "serve/identity.h"
#include "site/eventloop.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace nutmegtide {

// Carries out changes of primary at the leading control VM. It feeds events to ChangeTrigger and
// SemiSyncChange and performs their decisions: it sends commands to backend servers and promotion
// orders to the platform. Lives on the thread of its event loop.
class PrimaryChangeManager : private ServerEvents
{
public:
    // Servers that have departed, each with the number of the announcement after which it did.
    using Departures = std::map<ServerId, std::uint64_t>;
    using DepartedServers = std::function<Departures()>;
    // Called with a server whose address is used by another server, once that one has announced
    // itself: until then the roster has to keep the place of the gone server.
    using OnGone = std::function<void(const ServerId &)>;
    // Called with the server that states itself to be primary in this term.
    using OnPrimary = std::function<void(const ServiceName &, const ServerId &, Term)>;

    PrimaryChangeManager(EventLoop &loop, const Identity &identity, ReplicatedLog &log,
                         Promoter &promoter, const ServerRoster &roster, DepartedServers departed,
                         OnGone onGone, OnPrimary onPrimary);

    // Thread-safe.
    void complain(const EntryComplaint &complaint);
    // `servers` are the servers that haven't departed, `entryCount` is the number of entry VMs,
    // `isLogCurrent` states whether all that was committed before this VM led is applied here.
    void tick(const std::vector<ServerRecord> &servers, int entryCount, bool isLogCurrent,
              TimePoint now);
    // Returns the services of OpenChanges; nullopt while this VM doesn't lead. Thread-safe.
    std::optional<std::set<ServiceName>> openChanges() const;

private:
    // A connection to one server for the duration of a change.
    struct Link
    {
        ServiceName service;
        ServerId server;
        bool isOpen = false;
        std::deque<ServerCommand> queued; // until the connection is open
        std::deque<ServerCommand> sent; // not answered yet
        std::deque<TimePoint> sentAt; // of each of them
        TimePoint activeAt;
    };
    struct Group
    {
        std::unique_ptr<SemiSyncChange> change;
        std::map<ServerId, ConnectionKey> links;
        std::string loggedReason; // what the change waits for, as last logged
        DepartureTracker departures;
        TimePoint startedAt {};
        bool isPublished = false; // the result of the change
        std::uint64_t reservations = 0; // tokens that were requested
        TimePoint orderedAt {}; // the latest promotion order of this process
        std::unique_ptr<TaskWorker> worker;
    };

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;

    // Passes on servers that were announced during a change, and successors of gone servers.
    void updateMembers(const std::vector<ServerRecord> &present, TimePoint now);
    // Adds a server to the change that is under way.
    void join(const ServiceName &service, const ChangeServer &member, TimePoint now);
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
    // Why a connection to a server failed.
    enum class LinkFault { Unreachable, Silent, Overloaded, Gone };
    void failLink(ConnectionKey key, LinkFault fault);
    ConnectionKey openLink(const ServiceName &service, const ServerId &server, TimePoint now);
    // Keeps a connection to each server open, because an overloaded server would accept no new
    // one when a change needs it.
    void maintainLinks(TimePoint now);
    void checkLinks(TimePoint now);
    void updateRoster(const std::map<ServiceName, std::vector<ServerRecord>> &services,
                      TimePoint now);
    // Returns whether a promotion is being ordered, or may still be carried out.
    bool isPromotionOpen(const ServiceName &service) const;
    // Returns those of the departed servers of the service that may leave the roster.
    std::set<ServerId> leavingServers(const ServiceName &service, const Departures &departed) const;
    // Returns the service's thread for calls that block.
    TaskWorker &workerOf(const ServiceName &service);
    // Returns the departed servers that don't answer here any more.
    Departures departedServers() const { return withoutAnswering(m_departed()); }
    Departures withoutAnswering(Departures departed) const;
    // Asks departed servers for their status, so that the link to one that has ended fails.
    void askDeparted(const Departures &departed, TimePoint now);
    // Finds out which departed servers are covered, and passes it on to the change.
    void followDepartures(const std::map<ServiceName, std::vector<ServerRecord>> &services,
                          TimePoint now);
    void followDepartures(const ServiceName &service, const std::vector<ServerRecord> &servers,
                          const Departures &allDeparted, TimePoint now);
    // Sends the query if there is an open connection.
    void askForDeparture(const ServiceName &service, const ServerId &server, TimePoint now);
    void noteStatus(const ServiceName &service, const ServerId &server,
                    const ServerReplicationStatus &status, TimePoint askedAt);
    RosterView rosterOf(const ServiceName &service) const;
    void warnOfDepartures(const ServiceName &service, const ServerId &promoted) const;
    void sendOn(ConnectionKey key, Link &link, const ServerCommand &command, TimePoint now);
    void afterStep(const ServiceName &service);
    void publish(const ServiceName &service);
    // Records that no open order for the service can be carried out any more.
    void closeOrders(const ServiceName &service);
    void abandonAll();
    // Updates what openChanges() returns. Called before the change's actions are carried out.
    void noteReliance(const ServiceName &service);
    void setLeading(bool isLeading);
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
    mutable std::mutex m_openMutex;
    std::optional<std::set<ServiceName>> m_open; // guarded by m_openMutex; nullopt: not leading
    std::map<ConnectionKey, Link> m_links;
    std::map<ServerId, ServerAnnouncement> m_announcements;
    // Gone servers with the addresses that servers which haven't announced themselves use now.
    std::map<ServerId, ServerAnnouncement> m_vacatedAddresses;
    // Gone servers whose address and log another server has, which is known.
    std::set<ServerId> m_succeeded;
    std::map<ServerId, TimePoint> m_triedAt; // latest attempt to open a link
    TimePoint m_rosterDueAt {};
    std::unique_ptr<TaskWorker> m_rosterWorker;
    ConnectionKey m_lastKey = 0;
};

} // namespace nutmegtide
