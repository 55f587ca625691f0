#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/routetable.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace nutmegtide {

// A position that a proved primary of the service gave.
struct AgedProof
{
    ServiceName service;
    LogPosition position;
    Duration age {}; // since the primary was asked for it
};

// The latest proof of each service at a control VM, and the services of which proofs are wanted.
// Ages travel, never moments, so nothing rests on the clocks of two VMs agreeing. Thread-safe.
//
//   board.want({service}, now);               // an entry VM asks for it
//   for (const auto &name : board.wanted(now)) // the leader takes a proof of it
//       board.put(name, askedAt, position);
//   board.proofs({service}, now);             // what the entry VM is told
class ProofCache
{
public:
    void want(const std::vector<ServiceName> &services, TimePoint now);
    // The services that were asked for lately.
    std::vector<ServiceName> wanted(TimePoint now) const;
    // An older proof than the one that stands changes nothing.
    void put(const ServiceName &service, TimePoint askedAt, const LogPosition &position);
    // Those of the services that have a proof young enough to be of use.
    std::vector<AgedProof> proofs(const std::vector<ServiceName> &services, TimePoint now) const;

private:
    struct Entry
    {
        TimePoint wantedAt;
        std::optional<TimePoint> askedAt;
        LogPosition position;
    };

    mutable std::mutex m_mutex;
    std::map<ServiceName, Entry> m_entries;
};

} // namespace nutmegtide
