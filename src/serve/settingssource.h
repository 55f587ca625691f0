#pragma once

#include "nutmegtide/settings/fleetsettings.h"

#include <memory>
#include <mutex>

namespace nutmegtide {

// The fleet's settings in force in this process, with their revision.
class SettingsSource
{
public:
    // The snapshot stays valid for as long as the caller holds it.
    std::shared_ptr<const FleetSettings> current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_settings;
    }

    Revision revision() const
    {
        const std::lock_guard lock(m_mutex);
        return m_revision;
    }

    // Puts a revision in force; a lower one than that in force changes nothing.
    bool replace(Revision revision, FleetSettings settings)
    {
        const std::lock_guard lock(m_mutex);
        if (revision <= m_revision)
            return false;
        m_revision = revision;
        m_settings = std::make_shared<const FleetSettings>(std::move(settings));
        return true;
    }

private:
    mutable std::mutex m_mutex;
    Revision m_revision = 0;
    std::shared_ptr<const FleetSettings> m_settings = std::make_shared<const FleetSettings>();
};

} // namespace nutmegtide
