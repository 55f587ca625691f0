#pragma once

#include "nutmegtide/failover/semisyncchange.h"
#include "nutmegtide/proxy/serverregistry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide {

// A report from an entry VM that it can't use a primary.
struct EntryComplaint
{
    std::string complainer;
    ServiceName service;
    ServerId server;
    std::chrono::milliseconds since {0}; // for how long the entry VM couldn't use it
};

// A change of primary that should be started.
struct NeededChange
{
    ChangeReason reason = ChangeReason::Lost;
    std::vector<ChangeServer> servers;
    ServerId from; // the primary to move away from; empty for ChangeReason::Lost
    std::string why; // for the log
};

// What the control log stores about a service.
struct RosterView
{
    std::set<ServerId> servers; // all known ones, including those that haven't announced themselves
    bool hasOpenOrders = false; // promotions that the platform may still carry out
    // Those that have departed, and no other one is known to have all that they received.
    std::set<ServerId> departed {};
};

// Decides when to change the primary of a service. It does so if the primary is leaving, no server
// claims to be primary, or entry VMs can't use the primary; if this VM has just become control
// leader and must finish changes that its predecessor left incomplete; or if an unanswered
// promotion order has to be superseded by a later one.
//
//   trigger.complain(complaint, now);
//   if (const auto neededChange = trigger.neededChange(service, servers, roster, now))
//       startChange(*neededChange);
class ChangeTrigger
{
public:
    // This VM has become control leader; every service is inspected once. `listensSince` is when it
    // began to receive announcements.
    void startLeading(TimePoint listensSince);
    // Records a complaint, replacing an earlier one of the same entry VM about the same server.
    void complain(const EntryComplaint &complaint, TimePoint now);
    // Sets the number of entry VMs. With many of them, some are likely to have lost an answer at
    // any time, so more must complain before a primary that answers control is replaced.
    void setEntryCount(int count) { m_entryCount = count; }
    // Returns the change that the service needs now, if any. `servers` are those not gone.
    std::optional<NeededChange> neededChange(const ServiceName &service,
                                             const std::vector<ServerRecord> &servers,
                                             const RosterView &roster, TimePoint now);
    // A change has ended. `primary` is the server that leads; empty if none is known to.
    void onChangeEnded(const ServiceName &service, const ServerId &primary, TimePoint now);

private:
    struct ServiceState
    {
        bool wasInspected = false; // since this VM became leader
        std::optional<TimePoint> primaryMissingSince;
        TimePoint endedAt {};
        ServerId primary; // the result of the latest change
    };
    struct ReceivedComplaint
    {
        EntryComplaint complaint;
        TimePoint at;
    };

    // Returns a server about which at least `complainers` entry VMs have complained recently, each
    // for at least `since`.
    std::optional<ServerId> complainedServer(const ServiceName &service,
                                             std::chrono::milliseconds since,
                                             std::size_t complainers, TimePoint now) const;

    // Returns how many persistent complainers it takes to replace a primary that answers control.
    std::size_t requiredPersistentComplainers() const;

    TimePoint m_listensSince {};
    int m_entryCount = 0;
    std::map<ServiceName, ServiceState> m_serviceStates;
    std::map<std::string, ReceivedComplaint> m_complaints; // by complainer, service and server
};

} // namespace nutmegtide
