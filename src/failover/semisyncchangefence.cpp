// The part of SemiSyncChange that keeps the fence complete while an order may be carried out.
#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>

namespace nutmegtide {

bool SemiSyncChange::covers(const ServerId &server) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&server](const ChangeServer &known) { return known.server == server; });
}

bool SemiSyncChange::hasChosen() const
{
    return m_step == Step::CatchingUp || m_step == Step::Reserving || m_step == Step::Ordering
            || m_step == Step::Confirming;
}

// A probe discards what earlier attempts learnt of holds.
bool SemiSyncChange::reliesOnHolds() const
{
    const bool isBetweenAttempts = m_step == Step::Probing || m_step == Step::Waiting
            || m_step == Step::Over;
    return !isBetweenAttempts || !m_openOrders.empty();
}

bool SemiSyncChange::mustGuardOrders() const
{
    if (m_term == 0 || m_step == Step::Holding || m_step == Step::CatchingUp
        || m_step == Step::Settling || m_step == Step::Over)
        return false;
    if (m_step == Step::Ordering || m_step == Step::Confirming)
        return !m_wasChosenPrimary || !isOnlyOpenOrder(m_chosen);
    return !isOnlyOpenOrder(reachablePrimary().value_or(ServerId()));
}

// Returns whether the only promotion that may be carried out is that of the server. All that it
// receives until then is kept.
bool SemiSyncChange::isPromotionOf(const ServerId &server) const
{
    if (m_step == Step::Ordering || m_step == Step::Confirming)
        return server == m_chosen;
    return isOnlyOpenOrder(server);
}

void SemiSyncChange::guardOrders()
{
    if (!mustGuardOrders())
        return;
    for (auto &[server, progress] : m_progress) {
        progress.isGuarded = false;
        guard(server);
    }
}

void SemiSyncChange::guard(const ServerId &server)
{
    ServerProgress &progress = m_progress.at(server);
    if (progress.isAnswerDue || progress.isGuarded || isPromotionOf(server))
        return;
    const bool isOrdered = m_step == Step::Ordering || m_step == Step::Confirming;
    if (!progress.isAnswered) {
        // The probe has asked all servers itself.
        if (m_step == Step::Probing)
            return;
        m_actions.emplace_back(QueryStatus {server});
    } else if (progress.status.isPrimary) {
        // A primary of this term or a later one has been promoted meanwhile.
        if (!isOrdered || m_isGraceful || progress.status.term >= m_term)
            return;
        m_demoted.insert(server);
        progress.isGuarded = true;
        m_actions.emplace_back(DemoteServer {server, m_term});
    } else {
        if (progress.status.heldTerm != 0 || progress.status.term >= m_term
            || m_demoted.count(server) != 0)
            return;
        progress.isGuarded = true;
        hold(server);
    }
    progress.isAnswerDue = true;
}

FenceReport SemiSyncChange::fenceReport() const
{
    FenceReport report;
    report.term = m_term;
    report.chosen = m_chosen;
    report.openOrders = m_openOrders;
    for (const auto &[server, progress] : m_progress) {
        if (server == m_chosen)
            report.position = progress.status.received;
        if (isFenced(server))
            report.fenced[server] = progress.status.received;
        else if (server != m_chosen)
            report.missing.insert(server);
    }
    return report;
}

} // namespace nutmegtide
