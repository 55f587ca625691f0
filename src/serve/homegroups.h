#pragma once

#include "serve/homegroup.h"
#include "serve/signal.h"

namespace nutmegtide {

// The database groups that backend servers have announced to this process.
class HomeGroups
{
public:
    HomeGroups(FailureDomain ownDomain, const SettingsSource &settings)
        : m_ownDomain(std::move(ownDomain))
        , m_settings(settings)
    { }

    // Returns the group, opened at the first announcement of one of its servers.
    HomeGroup &open(const DatabaseName &database);
    // Returns nothing for a database that no server has announced here.
    HomeGroup *find(const DatabaseName &database) const;
    std::vector<DatabaseName> names() const;
    // Notified when a message has changed the sight of a group.
    Signal &sights() { return m_sights; }

private:
    const FailureDomain m_ownDomain;
    const SettingsSource &m_settings;
    Signal m_sights; // outlives the groups that notify it
    mutable std::mutex m_mutex;
    std::map<DatabaseName, std::unique_ptr<HomeGroup>> m_groups;
};

} // namespace nutmegtide
