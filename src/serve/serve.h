#pragma once

#include "nutmegtide/settings/nodesettings.h"

namespace nutmegtide {

// Runs the roles that the settings name until SIGTERM or SIGINT, then drains.
// Returns the exit code of the process.
int serve(const NodeSettings &settings, const std::string &config);

} // namespace nutmegtide
