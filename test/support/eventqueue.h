#pragma once

#include "nutmegtide/base/time.h"

#include <functional>
#include <queue>
#include <tuple>

namespace nutmegtide::test {

// The events of a model in virtual time. Those of one moment run in the order in
// which they were added, so that a verdict is the same on every run.
//
//   events.add(now + 5ms, [] { ... });
//   while (!events.isEmpty() && events.nextAt() <= end)
//       events.runNext(now);
class EventQueue
{
public:
    void add(TimePoint at, std::function<void()> action)
    {
        m_events.push({at, m_added++, std::move(action)});
    }
    bool isEmpty() const { return m_events.empty(); }
    // The queue must not be empty.
    TimePoint nextAt() const { return m_events.top().at; }
    // Sets the clock to the time of the earliest event and runs it.
    void runNext(TimePoint &now)
    {
        const Event event = m_events.top();
        m_events.pop();
        now = event.at;
        event.action();
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        // The greatest of a priority queue comes first.
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_added = 0;
};

} // namespace nutmegtide::test
