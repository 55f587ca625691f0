#pragma once

#include "nutmegtide/base/time.h"

#include <condition_variable>
#include <mutex>

namespace nutmegtide {

// Wakes one thread that rests until a moment. A notification that comes while the
// thread is at work ends its next rest at once.
//
//   while (!isStopping) {
//       work();
//       signal.restUntil(nextDue);
//   }
class Signal
{
public:
    void notify()
    {
        const std::lock_guard lock(m_mutex);
        m_isNotified = true;
        m_wanted.notify_one();
    }
    // Returns after a notification, at the latest at the given moment.
    void restUntil(TimePoint moment)
    {
        std::unique_lock lock(m_mutex);
        m_wanted.wait_until(lock, moment, [this] { return m_isNotified; });
        m_isNotified = false;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_wanted;
    bool m_isNotified = false;
};

} // namespace nutmegtide
