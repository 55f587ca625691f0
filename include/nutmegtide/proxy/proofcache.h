#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/routetable.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace nutmegtide {

// Log position that a confirmed primary of a service returned.
struct AgedProof
{
    ServiceName service;
    LogPosition position;
    Duration age {}; // time since the position was requested
};

// Cache on a control VM of the latest proof of each service, and of the services whose proofs were
// requested recently. Proofs are passed on with their age rather than a timestamp, so clock skew
// between VMs has no effect. Thread-safe.
//
//   cache.want({service}, now);                // an entry proxy requests proofs
//   for (const auto &name : cache.wanted(now)) // the control leader gets them
//       cache.put(name, askedAt, position);
//   cache.proofs({service}, now);              // reply to the entry proxy
class ProofCache
{
public:
    // Records that an entry proxy needs proofs of the services.
    void want(const std::vector<ServiceName> &services, TimePoint now);
    // Returns the services that were requested within the last 2 s.
    std::vector<ServiceName> wanted(TimePoint now) const;
    // Stores a proof. It is ignored if the service was not requested or a later proof is stored.
    void put(const ServiceName &service, TimePoint askedAt, const LogPosition &position);
    // Returns the proofs of those of the services that have one younger than 5 s.
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
