#pragma once

#include "nutmegtide/base/time.h"

namespace nutmegtide {

// Returns a monotonic time that, unlike Clock::now(), advances while the VM is suspended, so
// that knowledge from before a suspension counts as old.
TimePoint bootTime();

} // namespace nutmegtide
