#include "serve/homegroups.h"

namespace nutmegtide {

HomeGroup &HomeGroups::open(const DatabaseName &database)
{
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<HomeGroup> &group = m_groups[database];
    if (!group)
        group = std::make_unique<HomeGroup>(m_ownRun, m_settings, [this] { m_sights.notify(); });
    group->join();
    return *group;
}

HomeGroup *HomeGroups::find(const DatabaseName &database) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_groups.find(database);
    return found == m_groups.end() ? nullptr : found->second.get();
}

std::vector<DatabaseName> HomeGroups::names() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<DatabaseName> names;
    for (const auto &[name, group] : m_groups) {
        if (group->isHome())
            names.push_back(name);
    }
    return names;
}

std::vector<DatabaseName> HomeGroups::allNames() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<DatabaseName> names;
    for (const auto &[name, group] : m_groups)
        names.push_back(name);
    return names;
}

} // namespace nutmegtide
