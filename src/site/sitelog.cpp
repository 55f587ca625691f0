#include "site/sitelog.h"

namespace nutmegtide {

bool LogRateLimiter::take(const std::string &event, TimePoint now, std::uint64_t &suppressed)
{
    Window &window = m_windows[event];
    if (now - window.startedAt >= 1s) {
        window.startedAt = now;
        window.written = 0;
    }
    if (window.written >= m_linesPerSecond) {
        ++window.suppressed;
        return false;
    }
    ++window.written;
    suppressed = std::exchange(window.suppressed, 0);
    return true;
}

} // namespace nutmegtide
