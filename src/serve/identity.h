#pragma once

#include "nutmegtide/base/ids.h"

namespace nutmegtide {

// Who this process is, for as long as it runs.
struct Identity
{
    FleetId fleet;
    VmName vm;
    FailureDomain failureDomain;
    Incarnation incarnation = 0; // start time in microseconds since 1970, so that it grows
};

} // namespace nutmegtide
