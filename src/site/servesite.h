#pragma once

#include "nutmegtide/settings/nodesettings.h"

#include <csignal>
#include <string>

namespace nutmegtide {

// Runs the role entry or control until a stop signal. `signals` are the signals that the caller
// has blocked. A changed settings file is reloaded on SIGHUP, and also without a signal.
void serveSite(const NodeSettings &settings, const std::string &config, const sigset_t &signals);

} // namespace nutmegtide
