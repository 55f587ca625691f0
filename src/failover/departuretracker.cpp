#include "nutmegtide/failover/departuretracker.h"

#include <algorithm>
#include <utility>

namespace nutmegtide {

namespace {

constexpr auto DepartureMargin = 100ms; // in which a departing server may still receive commits
constexpr auto ReplicaDelay = 60ms; // from the primary's answer until the replicas are asked
constexpr auto QueryInterval = 200ms;

} // namespace

void DepartureTracker::setServers(std::set<ServerId> present, const std::set<ServerId> &departed,
                                  TimePoint now)
{
    m_present = std::move(present);
    std::erase_if(m_covered, [&](const ServerId &server) { return departed.count(server) == 0; });
    std::erase_if(m_uncovered, [&](const auto &item) { return departed.count(item.first) == 0; });
    for (const ServerId &server : departed) {
        if (m_covered.count(server) != 0 || !m_uncovered.emplace(server, now).second)
            continue;
        m_askAt = now + DepartureMargin;
        m_isFirstQuery = true;
    }
}

bool DepartureTracker::isPrimaryAskedLate() const
{
    return m_primary
            && std::all_of(m_uncovered.begin(), m_uncovered.end(), [this](const auto &item) {
                   return m_primary->askedAt >= item.second + DepartureMargin;
               });
}

std::vector<QueryStatus> DepartureTracker::tick(TimePoint now)
{
    if (m_uncovered.empty() || now < m_askAt)
        return {};
    m_askAt = now + QueryInterval;
    const bool isFirst = std::exchange(m_isFirstQuery, false);
    if (isFirst && m_primary && m_present.count(m_primary->primary) != 0)
        return {QueryStatus {m_primary->primary}};
    // The primary needn't repeat a position that all replicas can be compared with.
    const bool skipsPrimary = isPrimaryAskedLate();
    std::vector<QueryStatus> queries;
    for (const ServerId &server : m_present) {
        if (!skipsPrimary || server != m_primary->primary)
            queries.push_back({server});
    }
    return queries;
}

std::vector<CoveredDeparture> DepartureTracker::onStatus(const ServerId &server,
                                                         const ServerReplicationStatus &status,
                                                         TimePoint askedAt, TimePoint now)
{
    if (status.term > m_term) {
        m_term = status.term;
        m_primary.reset();
    }
    if (status.term < m_term || m_present.count(server) == 0)
        return {};
    if (status.isPrimary) {
        const bool wasLate = isPrimaryAskedLate();
        // The first position that is late enough stays, or the replicas could never reach it.
        if (!wasLate)
            m_primary = {server, status.received, askedAt};
        if (!wasLate && isPrimaryAskedLate())
            m_askAt = std::min(m_askAt, now + ReplicaDelay);
        return {};
    }
    std::vector<CoveredDeparture> covered;
    if (!m_primary || m_primary->primary == server || status.received < m_primary->position)
        return covered;
    for (const auto &[departed, notedAt] : m_uncovered) {
        if (std::min(m_primary->askedAt, askedAt) < notedAt + DepartureMargin)
            continue;
        covered.push_back(
                {departed, m_primary->primary, server, m_primary->position, now - notedAt});
    }
    for (const CoveredDeparture &departure : covered) {
        m_uncovered.erase(departure.server);
        m_covered.insert(departure.server);
    }
    return covered;
}

} // namespace nutmegtide
