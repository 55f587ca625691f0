#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/events/recorder.h"
#include "peer_types.h"

namespace nutmegtide {

// Who this process is, for as long as it runs.
struct Identity
{
    FleetId fleet;
    VmName vm;
    FailureDomain failureDomain;
    Incarnation incarnation = 0; // start time in microseconds since 1970, so that it grows

    // This run as a holder of connections to backend servers.
    HomeRunId homeRun() const { return HomeRunId(vm.text() + '.' + std::to_string(incarnation)); }
};

// The header of a call to another process, with the sender's clock.
wire::Header headerOf(const Identity &identity, Recorder &recorder);

} // namespace nutmegtide
