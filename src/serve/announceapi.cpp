#include "serve/announceapi.h"

#include "serve/callerapi.h"

#include <algorithm>

namespace nutmegtide {

PlacementRule placementRule(const FleetSettings &settings, const DatabaseName &database)
{
    const auto found = settings.databases.find(database);
    const int perDomain = found == settings.databases.end() ? settings.homes.perDomain
                                                            : found->second.homesPerDomain;
    return {perDomain, settings.homes.standbys};
}

int AnnounceApi::connectionsOfHome(const Announcement &announcement, std::size_t homes) const
{
    const double usable = announcement.connections * m_settings.current()->limits.connectionShare;
    const int share = static_cast<int>(usable / static_cast<double>(homes));
    // One connection of each share is the position watcher's.
    return std::max(1, share - 1);
}

HttpResponse AnnounceApi::announce(const HttpRequest &request)
{
    try {
        const auto announcement = parseMessage<Announcement>(request.body);
        if (announcement.server.isEmpty() || announcement.database.isEmpty())
            throw MessageError("a server or a database without a name");
        const auto homes = m_directory.homesOf(announcement.database,
                                               placementRule(*m_settings.current(),
                                                             announcement.database));
        const bool isHome = std::find(homes.begin(), homes.end(), m_identity.vm) != homes.end();
        if (isHome) {
            HomeGroup &group = m_groups.open(announcement.database);
            group.observe(announcement);
            group.setShare(announcement.server, connectionsOfHome(announcement, homes.size()));
        }
        HttpResponse response;
        response.body = Json(replyTo(announcement, homes)).dump();
        return response;
    } catch (const MessageError &fault) {
        return errorResponse({StatementFailure::BadRequest, Ran::No, fault.what()}, {});
    }
}

AnnouncementReply AnnounceApi::replyTo(const Announcement &announcement,
                                       const std::vector<VmName> &homes)
{
    const auto settings = m_settings.current();
    AnnouncementReply reply;
    for (const VmName &home : homes) {
        if (const auto record = m_directory.find(home))
            reply.homes.push_back(record->callers);
    }
    reply.nextDue = announcement.role == ServerRole::Primary
            ? settings->failover.primaryAnnounceInterval
            : settings->failover.replicaAnnounceInterval;
    return reply;
}

} // namespace nutmegtide
