#include "nutmegtide/events/eventring.h"

#include <algorithm>

namespace nutmegtide {

EventRing::EventRing(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{ }

void EventRing::push(Event event)
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
    if (m_events.size() <= m_capacity)
        return;
    m_events.pop_front();
    ++m_dropped;
}

EventRingPage EventRing::page(std::uint64_t after, std::size_t most) const
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t last = m_dropped + m_events.size();
    const std::uint64_t from = std::clamp(after, m_dropped, last);
    EventRingPage page;
    page.dropped = from > after ? from - after : 0;
    const auto begin = m_events.begin() + static_cast<std::ptrdiff_t>(from - m_dropped);
    const auto count = std::min<std::uint64_t>(most, last - from);
    page.events.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    page.nextSequence = from + count;
    return page;
}

std::uint64_t EventRing::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace nutmegtide
