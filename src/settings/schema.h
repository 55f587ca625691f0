#pragma once

#include "settings/merge.h"

namespace nutmegtide {

// Each reads settings from merged tables and adds every fault to them.
NodeSettings readNodeTables(MergedTables &merged);
FleetSettings readFleetTables(MergedTables &merged);

} // namespace nutmegtide
