#pragma once

#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/ids.h"

#include <chrono>
#include <cstdint>
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

// What a process does for its fleet.
enum class NodeRole {
    Proxy, // all, with homes and control where the settings name it
    Entry, // serves the sessions of a site's callers
    Control, // keeps a site's control log
};

// [listen]; port 0 lets the kernel choose one.
struct ListenSettings
{
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    Endpoint health {}; // for the balancer of a site's entry VM
    Endpoint lanes {}; // of a site's entry VM for others; without it, it is home of no server

    bool operator==(const ListenSettings &) const = default;
};

// [log]
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    std::string dir; // empty: standard error
    bool toStandardOutput = false; // where dir is empty

    bool operator==(const LogSettings &) const = default;
};

// [caps]: how the caps of workspaces are counted.
struct CapSettings
{
    std::chrono::milliseconds window {5000}; // any span of this length counts
    double overage = 0; // share of a cap that may be exceeded in a window
    int slack = 0; // operations in a window besides

    bool operator==(const CapSettings &) const = default;
};

// [connections]: what callers and other processes may use of a site's entry VM.
struct ConnectionSettings
{
    std::uint64_t memory = 0; // bytes that the VM has; 0: unknown
    std::uint64_t buffered = 0; // bytes for all callers together; 0: a quarter of the memory
    std::uint64_t bufferedPerCaller = 262'144; // bytes at which a caller isn't read any more
    int descriptors = 0; // that the VM has; 0: as many as the process may open
    int mostCallers = 0; // 0: three quarters of the descriptors
    std::chrono::milliseconds messageTime {30'000}; // for a message to arrive whole
    std::uint64_t laneMemory = 0; // bytes for all links of lanes; 0: a quarter of the memory
    int mostLaneLinks = 0; // 0: three quarters of the descriptors
    std::uint64_t httpBodies = 33'554'432; // bytes for the bodies of all HTTP requests together

    bool operator==(const ConnectionSettings &) const = default;
};

// [balancing]: which services share their servers' room by load, with role entry.
struct BalancingSettings
{
    // A service with a route whose latency objective is at least that long is balanced; 0: none is.
    std::chrono::milliseconds patientObjective {0};

    bool operator==(const BalancingSettings &) const = default;
};

// [node] and the tables beside it: what one process must know before it has met its fleet.
struct NodeSettings
{
    VmName name;
    FailureDomain failureDomain;
    NodeRole role = NodeRole::Proxy;
    // The whole site starts for the first time, so its seeds found the control log.
    bool isFirstStart = false;
    int toleratedLosses = 1; // control VMs that may be lost at once, with role control
    std::optional<Endpoint> promotions; // where servers are made primaries, with role control
    FleetId fleet; // peers of another fleet are refused
    std::string dataDir; // empty: nothing is kept on disk
    std::vector<VmName> control; // the VMs that run control at first
    std::vector<Endpoint> seeds; // peers' listeners to join the fleet by
    std::optional<Endpoint> platform;
    std::string portFile; // the bound ports are written here; empty: nowhere
    std::chrono::milliseconds drainTimeout {30'000};
    double drainSeconds = 0; // sets drainTimeout where it is above 0, with parts of a second
    // In which a backend server that said that it leaves may still get work; 0 sets no bound.
    std::chrono::milliseconds serverLeaveTime {0};
    // In which a removed key has to be out of use everywhere.
    std::chrono::milliseconds revocationTime {4000};
    int callerThreads = 64;
    ListenSettings listen;
    LogSettings log;
    CapSettings caps;
    ConnectionSettings connections;
    BalancingSettings balancing;
    // [peer_routes]: where this VM calls a peer whose listener it can't reach at its own address.
    std::map<Endpoint, Endpoint> peerRoutes;

    bool operator==(const NodeSettings &) const = default;
};

} // namespace nutmegtide
