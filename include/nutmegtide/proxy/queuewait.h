#pragma once

#include "nutmegtide/base/time.h"

namespace nutmegtide {

// Smoothed time that statements wait in a queue, for the reports of a home to entry proxies. It
// falls while no statement is queued.
//
//   wait.note(now - queuedAt, now);
//   report(wait.value(now));
class QueueWait
{
public:
    // Adds the wait of a statement that was sent, or the longest wait of one that was refused.
    void note(Duration waited, TimePoint now);
    Duration value(TimePoint now) const;

private:
    Duration m_wait {};
    TimePoint m_notedAt {};
};

} // namespace nutmegtide
