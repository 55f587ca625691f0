#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegtide {

// The least severe level that is written to the log.
enum class LogLevel {
    Info,
    Warning,
    Error,
};

// [listen]; port 0 lets the kernel choose one.
struct ListenSettings
{
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;

    bool operator==(const ListenSettings &) const = default;
};

// [log]
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    std::string dir; // empty: standard error

    bool operator==(const LogSettings &) const = default;
};

// [node] and the tables beside it: what one process must know before it has met its fleet.
struct NodeSettings
{
    VmName name;
    FailureDomain failureDomain;
    FleetId fleet; // peers of another fleet are refused
    std::string dataDir; // empty: nothing is kept on disk
    std::vector<VmName> control; // the VMs that run control at first
    std::vector<Endpoint> seeds; // peers' listeners to join the fleet by
    std::optional<Endpoint> platform;
    std::string portFile; // the bound ports are written here; empty: nowhere
    std::chrono::milliseconds drainTimeout {30'000};
    int callerThreads = 64;
    ListenSettings listen;
    LogSettings log;
    // [peer_routes]: where this VM calls a peer whose listener it can't reach at its own address.
    std::map<Endpoint, Endpoint> peerRoutes;

    bool operator==(const NodeSettings &) const = default;
};

} // namespace nutmegtide
