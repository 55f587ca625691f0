#pragma once

#include "serve/homegroup.h"
#include "serve/signal.h"

namespace nutmegtide {

// The database groups that backend servers have announced to this process.
class HomeGroups
{
public:
    HomeGroups(HomeRunId ownRun, const SettingsSource &settings)
        : m_ownRun(std::move(ownRun))
        , m_settings(settings)
    { }

    // Returns the group, opened at the first announcement of one of its servers. From
    // then on this VM is its home.
    HomeGroup &open(const DatabaseName &database);
    // Returns nothing for a database that no server has announced here.
    HomeGroup *find(const DatabaseName &database) const;
    // The databases that this VM is home of.
    std::vector<DatabaseName> names() const;
    // Those, and the ones that it was home of before.
    std::vector<DatabaseName> allNames() const;
    // Notified when a message has changed the sight of a group.
    Signal &sights() { return m_sights; }

private:
    const HomeRunId m_ownRun;
    const SettingsSource &m_settings;
    Signal m_sights; // outlives the groups that notify it
    mutable std::mutex m_mutex;
    std::map<DatabaseName, std::unique_ptr<HomeGroup>> m_groups;
};

} // namespace nutmegtide
