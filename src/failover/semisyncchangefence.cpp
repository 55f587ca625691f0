// The part of SemiSyncChange that keeps the fence complete while an order may be carried out.
#include "nutmegtide/failover/semisyncchange.h"

#include <algorithm>

namespace nutmegtide {

bool SemiSyncChange::covers(const ServerId &server) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&server](const ChangeServer &known) { return known.server == server; });
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
