#pragma once

#include "nutmegtide/failover/semisyncchange.h"
#include "nutmegtide/proxy/serverregistry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide {

// An entry VM that can't use a primary.
struct EntryComplaint
{
    std::string complainer;
    ServiceName service;
    ServerId server;
    std::chrono::milliseconds since {0}; // how long it has not been usable there
};

// A change that should be started.
struct NeededChange
{
    ChangeReason reason = ChangeReason::Lost;
    std::vector<ChangeServer> servers;
    ServerId from;
    std::string why; // for the log
};

// What the control log keeps of a service.
struct RosterView
{
    std::set<ServerId> servers; // that it is known to have, also where none was heard of lately
    bool hasOpenOrders = false; // promotions that may still be carried out
};

// Decides when the primary of a service is to be changed: it leaves, nobody says that it leads,
// entry VMs complain of it, this VM has just begun to lead control and must look for changes
// that its predecessor left half done, or an unanswered order is to be closed by a later one.
//
//   trigger.complain(complaint, now);
//   if (const auto wish = trigger.neededChange(service, servers, roster, now))
//       startChange(*wish);
class ChangeTrigger
{
public:
    // From now on this VM decides; every service is looked at once. `listensSince` is the moment
    // from which it has heard announcements.
    void startLeading(TimePoint listensSince);
    void complain(const EntryComplaint &complaint, TimePoint now);
    // How many entry VMs there are, of which some may always have lost an answer.
    void setEntryCount(int count) { m_entryCount = count; }
    // `servers` are those of the service that are not gone.
    std::optional<NeededChange> neededChange(const ServiceName &service,
                                   const std::vector<ServerRecord> &servers,
                                   const RosterView &roster, TimePoint now);
    // A change that was wished is over; `primary` leads, or nobody as far as is known.
    void onChangeEnded(const ServiceName &service, const ServerId &primary, TimePoint now);

private:
    struct ServiceState
    {
        bool wasInspected = false; // since this VM leads
        std::optional<TimePoint> primaryMissingSince;
        TimePoint endedAt {};
        ServerId primary; // after the last change
    };
    struct ReceivedComplaint
    {
        EntryComplaint complaint;
        TimePoint at;
    };

    // Names the complained-of server; nothing without a recent complaint.
    std::optional<ServerId> complainedServer(const ServiceName &service, std::chrono::milliseconds since,
                                    std::size_t complainers, TimePoint now) const;

    std::size_t requiredPersistentComplainers() const;

    TimePoint m_listensSince {};
    int m_entryCount = 0;
    std::map<ServiceName, ServiceState> m_serviceStates;
    std::map<std::string, ReceivedComplaint> m_complaints; // by complainer, service and server
};

} // namespace nutmegtide
