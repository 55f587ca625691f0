// How SemiSyncChange counts servers that have departed.
#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>

namespace nutmegtide {

bool SemiSyncChange::isDeparted(const ServerId &server) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&server](const ChangeServer &known) {
        return known.server == server && known.isDeparted;
    });
}

bool SemiSyncChange::hasDepartures() const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [](const ChangeServer &known) { return known.isDeparted; });
}

SemiSyncChange::Missing SemiSyncChange::missing(bool (SemiSyncChange::*isCounted)(const ServerId &)
                                                        const) const
{
    Missing missing;
    for (const ChangeServer &known : m_servers) {
        const bool isKnown = m_progress.count(known.server) != 0;
        if (isKnown && (this->*isCounted)(known.server))
            continue;
        ++(known.isDeparted ? missing.departed : missing.present);
    }
    return missing;
}

// Where only departed servers are missing, nothing can come back with their commits, so there is
// nothing to wait for.
bool SemiSyncChange::isSafeWithout(const Missing &missing) const
{
    const bool isAnyoneLeft = missing.departed < m_servers.size();
    return isAnyoneLeft && (missing.present == 0 || missing.present + missing.departed <= 1);
}

std::string SemiSyncChange::describeMissing(const Missing &missing) const
{
    const std::size_t answering = m_servers.size() - missing.present - missing.departed;
    std::string text = "only " + std::to_string(answering) + " of "
            + std::to_string(m_servers.size()) + " servers answer";
    if (missing.departed == 0)
        return text;
    text += "; not covered since they departed:";
    for (const ChangeServer &known : m_servers) {
        if (known.isDeparted)
            text += ' ' + known.server.text();
    }
    return text;
}

SemiSyncChangeActions SemiSyncChange::onDeparted(const ServerId &server, TimePoint now)
{
    // No server of the group has taken the gone one's place.
    if (m_unknownSuccessors.erase(server) != 0) {
        m_servers.push_back({server, true, true});
        return {};
    }
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                    [&server](const ChangeServer &known) {
                                        return known.server == server;
                                    });
    if (found == m_servers.end() || found->isDeparted || m_step == Step::Over)
        return {};
    found->isDeparted = true;
    if (m_step == Step::Probing)
        return onUnreachable(server, now);
    if (server == m_chosen && isBeforeOrder())
        retryLater("the chosen server has departed", now);
    return takeActions();
}

void SemiSyncChange::onCovered(const ServerId &server)
{
    const auto erased = std::erase_if(m_servers, [&server](const ChangeServer &known) {
        return known.server == server && known.isDeparted;
    });
    if (erased != 0)
        m_progress.erase(server);
}

// A primary that was demoted, or that leads again, has every commit that was acknowledged.
std::vector<ServerId> SemiSyncChange::uncoveredDepartures() const
{
    std::vector<ServerId> uncovered;
    for (const ChangeServer &known : m_servers) {
        const bool isFencedBefore = m_progress.count(known.server) != 0 && isFenced(known.server);
        if (known.isDeparted && !isFencedBefore)
            uncovered.push_back(known.server);
    }
    const bool isCovered = m_wasChosenPrimary || !m_demoted.empty() || uncovered.size() < 2;
    return isCovered ? std::vector<ServerId>() : uncovered;
}

} // namespace nutmegtide
