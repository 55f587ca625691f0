#pragma once

#include "serve/directory.h"
#include "serve/homegroups.h"
#include "serve/httpserver.h"
#include "serve/identity.h"

namespace nutmegtide {

// Takes the announcements of backend servers. A home proxy of the server's
// database keeps them; every proxy answers with the homes to announce to.
class AnnounceApi
{
public:
    AnnounceApi(const Identity &identity, const Directory &directory,
                const SettingsSource &settings, HomeGroups &groups)
        : m_identity(identity)
        , m_directory(directory)
        , m_settings(settings)
        , m_groups(groups)
    { }

    HttpResponse announce(const HttpRequest &request);

private:
    AnnouncementReply replyTo(const Announcement &announcement,
                              const std::vector<VmName> &homes) const;

    const Identity &m_identity;
    const Directory &m_directory;
    const SettingsSource &m_settings;
    HomeGroups &m_groups;
};

// The rule by which the homes of a database are chosen under these settings.
PlacementRule placementRule(const FleetSettings &settings, const DatabaseName &database);

} // namespace nutmegtide
