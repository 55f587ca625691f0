#include "nutmegtide/proxy/proofcache.h"

namespace nutmegtide {

namespace {

constexpr auto RequestLifetime = 2s; // proofs of a service are taken for so long after a request
constexpr auto MaxUsefulAge = 5s; // entry proxies have more recent proofs of their own
constexpr auto RequestRetention = 60s; // services without requests are removed after so long

} // namespace

void ProofCache::want(const std::vector<ServiceName> &services, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (const ServiceName &service : services)
        m_entries[service].wantedAt = now;
    std::erase_if(m_entries, [now](const auto &item) {
        return now - item.second.wantedAt > RequestRetention;
    });
}

std::vector<ServiceName> ProofCache::wanted(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<ServiceName> services;
    for (const auto &[service, entry] : m_entries) {
        if (now - entry.wantedAt < RequestLifetime)
            services.push_back(service);
    }
    return services;
}

void ProofCache::put(const ServiceName &service, TimePoint askedAt, const LogPosition &position)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(service);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    if (entry.askedAt && *entry.askedAt >= askedAt)
        return;
    entry.askedAt = askedAt;
    entry.position = position;
}

std::vector<AgedProof> ProofCache::proofs(const std::vector<ServiceName> &services,
                                          TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<AgedProof> proofs;
    for (const ServiceName &service : services) {
        const auto found = m_entries.find(service);
        if (found == m_entries.end() || !found->second.askedAt)
            continue;
        const Duration age = now - *found->second.askedAt;
        if (age < MaxUsefulAge)
            proofs.push_back({service, found->second.position, age});
    }
    return proofs;
}

} // namespace nutmegtide
