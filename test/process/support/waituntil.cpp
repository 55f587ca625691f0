#include "process/support/waituntil.h"

#include <thread>

namespace nutmegtide::test {

namespace {

constexpr std::chrono::milliseconds PollInterval {10};

} // namespace

void waitUntil(const std::function<bool()> &condition, const std::string &what,
               std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            throw TimeoutError("waited " + std::to_string(limit.count()) + " ms for " + what);
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace nutmegtide::test
