// The connection shares of a home group: how many connections to each backend
// server this home may hold, and until when.

#include "serve/homegroup.h"

#include <algorithm>

namespace nutmegtide {

namespace {

// One connection watches positions, and one more is needed to run statements.
constexpr int SmallestShare = 2;

} // namespace

std::optional<ShareRequest> HomeGroup::renewShare(const Announcement &announcement, int homes)
{
    const auto settings = m_settings.current();
    const Duration validity = settings->homes.shareTimeout;
    const int usable = static_cast<int>(announcement.connections * settings->limits.connectionShare);
    const std::lock_guard lock(m_mutex);
    const GroupServer *known = m_state.find(announcement.server);
    // An announcement of an older run must not touch the shares of the present one.
    if (!known || known->announcement.incarnation != announcement.incarnation)
        return std::nullopt;
    Link &link = m_links.at(announcement.server);
    if (link.incarnation != announcement.incarnation) {
        link.share = ConnectionShare(m_ownRun);
        link.incarnation = announcement.incarnation;
    }
    const TimePoint now = Clock::now();
    if (announcement.grant)
        link.share.take(*announcement.grant);
    else
        link.share.setLocally(std::max(SmallestShare, usable / std::max(1, homes)), validity, now);
    // One connection of the share is the watcher's.
    link.pool->setMost(std::max(0, link.share.current(now) - 1), link.share.voidAt());
    m_wanted.notify_all();
    const int open = link.pool->open() + (link.isWatched ? 1 : 0);
    if (!announcement.grant || !link.share.isRequestDue(open, validity, now))
        return std::nullopt;
    return link.share.request(open, homes, usable, validity, now);
}

bool HomeGroup::hasShare(const ServerId &server) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(server);
    return found != m_links.end() && found->second.share.current(Clock::now()) >= SmallestShare;
}

bool HomeGroup::hasAnyShare() const
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_links.begin(), m_links.end(), [now](const auto &link) {
        return link.second.share.current(now) >= SmallestShare;
    });
}

void HomeGroup::join()
{
    if (m_isHome.exchange(true))
        return;
    const std::lock_guard lock(m_mutex);
    // What was silent while this VM didn't listen is not suspect for it.
    m_state.resume(Clock::now());
}

} // namespace nutmegtide
