#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/proxy/routetable.h"

#include <set>

namespace nutmegtide {

// The services of which a change of primary relies on holds of replication, or of which an ordered
// promotion may still be carried out. A change that starts later holds the servers anew.
struct OpenChanges
{
    std::set<ServiceName> services;
    // The teller certainly led the control log at this time, and told the services at it or later.
    TimePoint asOf;
};

} // namespace nutmegtide
