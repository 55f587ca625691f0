#pragma once

#include "nutmegtide/settings/nodesettings.h"
#include "serve/identity.h"

namespace nutmegtide {

// Returns the identity of a process of a site. A control VM is identified by its listener for
// peers. The incarnation stays 0: a VM's wall clock may step back between two runs, and the peers
// would then refuse the later run as outdated.
Identity siteIdentity(const NodeSettings &settings, const std::string &vm);

// Returns the peer listeners of the control VMs that the settings name as seeds. All VMs of a site
// use the same port for peers.
std::vector<Endpoint> seedPeers(const NodeSettings &settings);

} // namespace nutmegtide
