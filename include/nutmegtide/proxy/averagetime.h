#pragma once

#include "nutmegtide/base/time.h"

namespace nutmegtide {

// The usual time of one server's answers, as an average that later answers count more in.
//
//   usual.note(now - sentAt);
//   wait = usual.value() * ahead;
class AverageTime
{
public:
    static constexpr Duration InitialValue = 20ms; // before the first answer

    void note(Duration time) { m_time += (time - m_time) / (isKnown() ? Weight : 1); }
    Duration value() const { return isKnown() ? m_time : InitialValue; }

private:
    static constexpr int Weight = 8; // answers over which it is averaged

    bool isKnown() const { return m_time.count() != 0; }

    Duration m_time {};
};

} // namespace nutmegtide
