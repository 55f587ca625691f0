#include "site/openchangecache.h"

namespace nutmegtide {

namespace {

constexpr auto WantedTime = 500ms; // after the latest request of an entry VM
constexpr auto UntoldInterval = 5s; // between questions to a leader that tells no changes

} // namespace

bool OpenChangeCache::want(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool isFirst = !m_wantedAt || now - *m_wantedAt >= WantedTime;
    m_wantedAt = now;
    return isFirst;
}

bool OpenChangeCache::isDue(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    if (m_untoldAt)
        return now - *m_untoldAt >= UntoldInterval;
    return m_wantedAt && now - *m_wantedAt < WantedTime;
}

void OpenChangeCache::put(OpenChanges changes)
{
    const std::lock_guard lock(m_mutex);
    m_untoldAt.reset();
    m_latest = std::move(changes);
}

void OpenChangeCache::noteUntold(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_untoldAt = now;
    m_latest.reset();
}

bool OpenChangeCache::isTold() const
{
    const std::lock_guard lock(m_mutex);
    return !m_untoldAt;
}

std::optional<OpenChanges> OpenChangeCache::latest() const
{
    const std::lock_guard lock(m_mutex);
    return m_latest;
}

} // namespace nutmegtide
