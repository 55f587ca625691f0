#pragma once

#include "nutmegtide/base/time.h"

namespace nutmegtide {

// Exponential moving average of durations, such as the response times of a server.
//
//   average.note(now - sentAt);
//   wait = average.value() * ahead;
class AverageTime
{
public:
    static constexpr Duration InitialValue = 20ms; // value before the first sample

    // Adds a sample. The first one replaces the initial value.
    void note(Duration time) { m_time += (time - m_time) / (isKnown() ? Weight : 1); }
    Duration value() const { return isKnown() ? m_time : InitialValue; }
    // Returns whether there was a sample.
    bool isKnown() const { return m_time.count() != 0; }

private:
    static constexpr int Weight = 8; // the inverse of a sample's weight

    Duration m_time {};
};

} // namespace nutmegtide
