#include "nutmegtide/site/linklimits.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto SearchInterval = 250ms; // short against the time for a frame
// Parts of the memory that the links may take, and of the descriptors that are left to the rest.
constexpr std::size_t MemoryParts = 4;
constexpr std::size_t DescriptorParts = 4;
// Idle lanes take memory, too: 3,100 links with 50 lanes each stay within this.
constexpr std::size_t UnknownMemory = 256 * 1024 * 1024; // bytes of all links together
// A buffer of the longest frame, which may have grown to twice its size, is always within this.
constexpr std::size_t LeastMemory = 20 * 1024 * 1024; // bytes of all links together
// A link is measured once it has grown by this part, so that the cost for each byte is bounded.
constexpr std::size_t GrowthParts = 8;

} // namespace

LinkLimitSettings linkLimits(const ConnectionSettings &settings, std::size_t descriptors)
{
    LinkLimitSettings limits;
    limits.memory = settings.memory > 0 ? settings.memory / MemoryParts : UnknownMemory;
    if (settings.laneMemory > 0)
        limits.memory = settings.laneMemory;
    limits.memory = std::max(limits.memory, LeastMemory);
    if (settings.descriptors > 0)
        descriptors = static_cast<std::size_t>(settings.descriptors);
    limits.mostLinks = descriptors - descriptors / DescriptorParts;
    if (settings.mostLaneLinks > 0)
        limits.mostLinks = static_cast<std::size_t>(settings.mostLaneLinks);
    limits.frameTime = settings.messageTime;
    return limits;
}

// Applies a change to a link and keeps the sums.
template <typename Change>
void LinkLimits::update(LinkKey key, Change change)
{
    const auto found = m_links.find(key);
    if (found == m_links.end())
        return;
    Link &link = found->second;
    const std::size_t before = link.total();
    change(link);
    const std::size_t after = link.total();
    if (before == after)
        return;
    m_bySize.erase({before, key});
    m_bySize.emplace(after, key);
    m_memory += after - before;
}

std::optional<LinkKey> LinkLimits::add(LinkKey key, TimePoint now)
{
    std::optional<LinkKey> dropped;
    if (m_links.size() >= m_settings.mostLinks) {
        if (m_withoutFrame.empty())
            return key;
        dropped = *m_withoutFrame.begin();
        remove(*dropped);
    }
    m_links[key].waitingSince = now;
    m_withoutFrame.insert(key);
    m_bySize.emplace(0, key);
    return dropped;
}

void LinkLimits::remove(LinkKey key)
{
    const auto found = m_links.find(key);
    if (found == m_links.end())
        return;
    m_bySize.erase({found->second.total(), key});
    m_memory -= found->second.total();
    m_withoutFrame.erase(key);
    m_links.erase(found);
}

void LinkLimits::frameTaken(LinkKey key, TimePoint now)
{
    const auto found = m_links.find(key);
    if (found == m_links.end())
        return;
    found->second.waitingSince = now; // what follows is another frame
    if (!std::exchange(found->second.hasSentFrame, true))
        m_withoutFrame.erase(key);
}

void LinkLimits::setIncomplete(LinkKey key, std::size_t bytes, std::size_t memory, TimePoint now)
{
    update(key, [&](Link &link) {
        if (link.incomplete == 0 && link.hasSentFrame)
            link.waitingSince = now;
        link.incomplete = bytes;
        link.buffer = memory;
    });
}

void LinkLimits::noteHeld(LinkKey key, std::size_t bytes)
{
    update(key, [bytes](Link &link) { link.noted += bytes; });
}

std::vector<LinkKey> LinkLimits::takeExcess()
{
    std::vector<LinkKey> excess;
    while (m_memory > m_settings.memory) {
        const LinkKey key = m_bySize.rbegin()->second;
        const Link &link = m_links.at(key);
        if (link.noted > 0 && link.noted >= link.total() / GrowthParts) {
            const std::size_t measured = m_measure(key);
            update(key, [measured](Link &changed) {
                changed.measured = measured;
                changed.noted = 0;
            });
            continue;
        }
        excess.push_back(key);
        remove(key);
    }
    return excess;
}

std::vector<LinkKey> LinkLimits::takeOverdue(TimePoint now)
{
    std::vector<LinkKey> overdue;
    if (now < m_searchAt)
        return overdue;
    m_searchAt = now + SearchInterval;
    for (const auto &[key, link] : m_links) {
        const bool isWaiting = !link.hasSentFrame || link.incomplete > 0;
        if (isWaiting && now - link.waitingSince > m_settings.frameTime)
            overdue.push_back(key);
    }
    for (const LinkKey key : overdue)
        remove(key);
    return overdue;
}

} // namespace nutmegtide
