#include "base/bootclock.h"

#include <ctime>

namespace nutmegtide {

TimePoint bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace nutmegtide
