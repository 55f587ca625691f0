#pragma once

#include "base/log.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <string>

namespace nutmegtide {

// Keeps the log of a busy process within bounds: of each event only so many lines a second are
// written, and the number of those left out is told with the next line. One thread uses it.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(int linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    { }

    // Returns whether the line may be written; `suppressed` is the number left out before it.
    bool take(const std::string &event, TimePoint now, std::uint64_t &suppressed);

private:
    struct Window
    {
        TimePoint startedAt {};
        int written = 0;
        std::uint64_t suppressed = 0;
    };

    const int m_linesPerSecond;
    std::map<std::string, Window> m_windows; // by event
};

} // namespace nutmegtide
