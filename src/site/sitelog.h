#pragma once

#include "base/log.h"
#include "nutmegtide/base/time.h"

#include <map>
#include <string>

namespace nutmegtide {

// Limits the log lines of a busy process: each event may be written only a given number of times a
// second, and the next written line reports how many were suppressed. Used by one thread.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(int linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    { }

    // Returns whether the line may be written. Sets `suppressed` to the number of lines of this
    // event that were suppressed before it.
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
