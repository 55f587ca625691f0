#pragma once

#include "nutmegtide/events/event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

namespace nutmegtide {

// A part of a ring, in the order of recording.
struct EventRingPage
{
    std::vector<Event> events;
    std::uint64_t dropped = 0; // events after the asked sequence that the ring no longer holds
    std::uint64_t nextSequence = 0; // to ask for the page that follows
};

// Keeps the latest events of a process in bounded memory, and counts what it
// drops. Thread-safe.
//
//   EventRingPage page = ring.page(0, 500);
//   page = ring.page(page.nextSequence, 500); // empty when there is nothing new
class EventRing
{
public:
    explicit EventRing(std::size_t capacity);

    void push(Event event);
    // Returns at most `most` events whose sequence is above `after`; the first event has sequence 1.
    EventRingPage page(std::uint64_t after, std::size_t most) const;
    // Counts all events dropped since the start.
    std::uint64_t dropped() const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    std::uint64_t m_dropped = 0;
};

} // namespace nutmegtide
