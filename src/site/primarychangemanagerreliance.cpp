// What PrimaryChangeManager tells of its open changes.
#include "site/primarychangemanager.h"

namespace nutmegtide {

void PrimaryChangeManager::setLeading(bool isLeading)
{
    if (std::exchange(m_isLeading, isLeading) == isLeading)
        return;
    const std::lock_guard lock(m_openMutex);
    m_open.reset();
    if (isLeading)
        m_open.emplace();
}

void PrimaryChangeManager::noteReliance(const ServiceName &service)
{
    const auto found = m_groups.find(service);
    const bool relies = found != m_groups.end() && found->second.change
            && found->second.change->reliesOnHolds();
    const std::lock_guard lock(m_openMutex);
    if (!m_open)
        return;
    if (relies)
        m_open->insert(service);
    else
        m_open->erase(service);
}

// The control log also has the orders of earlier leaders, and those of changes that are over.
std::optional<std::set<ServiceName>> PrimaryChangeManager::openChanges() const
{
    std::optional<std::set<ServiceName>> open;
    {
        const std::lock_guard lock(m_openMutex);
        open = m_open;
    }
    if (open)
        open->merge(m_roster.servicesWithOpenOrders());
    return open;
}

} // namespace nutmegtide
