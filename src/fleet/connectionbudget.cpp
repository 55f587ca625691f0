#include "nutmegtide/fleet/connectionbudget.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// One connection watches positions, and one more is needed to run statements.
constexpr int SmallestShare = 2;
// A home gives up early, which covers clocks that run at unequal rates.
constexpr int HolderPart = 4;
constexpr int WholePart = 5;

} // namespace

ShareGrant ConnectionBudget::request(const ShareRequest &request, TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    const auto known = m_entries.find(request.home);
    const bool isKnown = known != m_entries.end();
    if (isKnown && request.stamp <= known->second.grant.stamp)
        return known->second.grant;
    const int most = std::min(request.most, m_connections);
    const int fair = std::max(SmallestShare, most / std::max(1, request.homes));
    const int free = most - chargedToOthers(request.home, now);
    const int granted = std::min(fair, free);
    // What a home held before its entry expired is void by the home's own clock.
    const int held = isKnown ? std::min(request.held, known->second.charged) : 0;
    Entry entry;
    entry.grant = {request.stamp, granted < SmallestShare ? 0 : granted};
    entry.charged = std::max(entry.grant.connections, held);
    entry.expiresAt = now + request.validity;
    if (isKnown)
        entry.expiresAt = std::max(entry.expiresAt, known->second.expiresAt);
    m_entries[request.home] = entry;
    return entry.grant;
}

int ConnectionBudget::chargedToOthers(const HomeRunId &home, TimePoint now) const
{
    int sum = 0;
    for (const auto &[id, entry] : m_entries) {
        if (id != home && entry.expiresAt > now)
            sum += entry.charged;
    }
    return sum;
}

int ConnectionBudget::charged(TimePoint now) const
{
    return chargedToOthers({}, now);
}

ShareRequest ConnectionShare::request(int open, int homes, int most, Duration validity,
                                      TimePoint now)
{
    ShareRequest request;
    request.home = m_home;
    request.stamp = ++m_latest;
    request.held = std::max(open, current(now));
    request.homes = homes;
    request.most = most;
    request.validity = validity;
    m_latestVoidAt = now + validity * HolderPart / WholePart;
    return request;
}

bool ConnectionShare::take(const ShareGrant &grant)
{
    if (grant.stamp != m_latest || m_latest == 0)
        return false;
    m_connections = grant.connections;
    m_voidAt = m_latestVoidAt;
    return true;
}

int ConnectionShare::current(TimePoint now) const
{
    return now < m_voidAt ? m_connections : 0;
}

} // namespace nutmegtide
