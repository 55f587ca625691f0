#include "serve/announceapi.h"

#include "serve/callerapi.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr int RenewalsPerShare = 3; // announcements within the time that a share lasts

} // namespace

PlacementRule placementRule(const FleetSettings &settings, const DatabaseName &database)
{
    const auto found = settings.databases.find(database);
    const int perDomain = found == settings.databases.end() ? settings.homes.perDomain
                                                            : found->second.homesPerDomain;
    return {perDomain, settings.homes.standbys};
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
        AnnouncementReply reply = replyTo(announcement, homes);
        if (isHome) {
            HomeGroup &group = m_groups.open(announcement.database);
            group.observe(announcement);
            // Shares of a server that rarely announces itself would run out in between.
            reply.nextDue = std::min(reply.nextDue,
                                     m_settings.current()->homes.shareTimeout / RenewalsPerShare);
            reply.shareRequest = group.renewShare(announcement, static_cast<int>(homes.size()));
        }
        HttpResponse response;
        response.body = Json(reply).dump();
        return response;
    } catch (const MessageError &fault) {
        return errorResponse({StatementFailure::BadRequest, Ran::No, fault.what()}, {});
    }
}

AnnouncementReply AnnounceApi::replyTo(const Announcement &announcement,
                                       const std::vector<VmName> &homes) const
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
