#include "nutmegtide/fleet/connectionbudget.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// A home needs one connection to watch positions and at least one more to run statements.
constexpr int MinShare = 2;
// A home that has just started may not know of the others yet, so its first
// grant leaves room for them.
constexpr int FirstGrantDivisor = 4;
// A home ends its share after 4/5 of the validity, which covers clocks that run at different rates.
constexpr int HolderValidityNumerator = 4;
constexpr int HolderValidityDenominator = 5;
// A home renews its share after 1/5 of the validity, so that lost messages don't end the share.
constexpr int RenewalDivisor = 5;

} // namespace

ShareGrant ConnectionBudget::request(const ShareRequest &request, TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    const auto known = m_entries.find(request.home);
    const bool isKnown = known != m_entries.end();
    if (isKnown && request.stamp <= known->second.grant.stamp)
        return known->second.grant;
    const int most = std::min(request.most, m_connections);
    const int fair = std::max(MinShare, most / std::max(1, request.homes));
    const int free = most - chargedToOthers(request.home, now);
    const int wanted = isKnown ? fair
                               : std::min(fair, std::max(MinShare, most / FirstGrantDivisor));
    const int granted = std::min(wanted, free);
    // A share that the home held before its entry expired is already void by the home's own clock.
    const int held = isKnown ? std::min(request.held, known->second.charged) : 0;
    Entry entry;
    entry.grant = {request.stamp, granted < MinShare ? 0 : granted};
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
    const auto openOf = [this](const HomeRunId &id) {
        const auto found = m_open.find(id);
        return found == m_open.end() ? 0 : found->second;
    };
    for (const auto &[id, entry] : m_entries) {
        if (id != home && entry.expiresAt > now)
            sum += std::max(entry.charged, openOf(id));
    }
    for (const auto &[id, open] : m_open) {
        const auto entry = m_entries.find(id);
        const bool isExpired = entry == m_entries.end() || entry->second.expiresAt <= now;
        if (id != home && isExpired)
            sum += open;
    }
    return sum;
}

void ConnectionBudget::noteClosed(const HomeRunId &home)
{
    const auto found = m_open.find(home);
    if (found != m_open.end() && --found->second == 0)
        m_open.erase(found);
}

int ConnectionBudget::charged(TimePoint now) const
{
    const auto unnamed = m_open.find({});
    return chargedToOthers({}, now) + (unnamed == m_open.end() ? 0 : unnamed->second);
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
    m_latestHeld = request.held;
    m_askedAt = now;
    m_latestVoidAt = now + validity * HolderValidityNumerator / HolderValidityDenominator;
    return request;
}

bool ConnectionShare::isRequestDue(int open, Duration validity, TimePoint now) const
{
    const bool isFirst = m_latest == 0;
    const bool holdsLess = std::max(open, current(now)) < m_latestHeld;
    return isFirst || holdsLess || now - m_askedAt >= validity / RenewalDivisor;
}

bool ConnectionShare::take(const ShareGrant &grant)
{
    if (grant.stamp != m_latest || m_latest == 0)
        return false;
    m_connections = grant.connections;
    m_voidAt = m_latestVoidAt;
    return true;
}

void ConnectionShare::setLocally(int connections, Duration validity, TimePoint now)
{
    m_connections = connections;
    m_voidAt = now + validity;
}

int ConnectionShare::current(TimePoint now) const
{
    return now < m_voidAt ? m_connections : 0;
}

} // namespace nutmegtide
