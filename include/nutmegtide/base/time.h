#pragma once

#include <chrono>

namespace nutmegtide {

// Monotonic time of one process. It is never compared with that of another VM.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Time of day, for people only; no decision depends on it.
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;

using namespace std::chrono_literals;

} // namespace nutmegtide
