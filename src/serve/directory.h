#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/fleet/placement.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace nutmegtide {

// What this process knows of one VM of the fleet.
struct VmRecord
{
    VmName vm;
    FailureDomain failureDomain;
    Endpoint peers;
    Endpoint callers;
    Incarnation incarnation = 0;
    bool isDraining = false;
    bool isControl = false;
    Revision revision = 0; // configuration in force there
};

// The VMs that are taken to be alive, this one included. Membership writes it;
// placement and forwarding read it.
class Directory
{
public:
    void put(const VmRecord &record);
    void remove(const VmName &vm);
    // Does nothing for a VM that isn't known.
    void setRevision(const VmName &vm, Revision revision);
    std::optional<VmRecord> find(const VmName &vm) const;
    std::vector<VmRecord> all() const;
    std::vector<VmName> homesOf(const DatabaseName &database, const PlacementRule &rule) const;

private:
    mutable std::mutex m_mutex;
    std::map<VmName, VmRecord> m_records;
};

} // namespace nutmegtide
