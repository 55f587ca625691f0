#pragma once

#include "nutmegtide/base/ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace nutmegtide {

// [database.NAME]
struct DatabaseSettings
{
    int voters = 3; // size that a repair restores
    int homesPerDomain = 1; // more for a hot database
    std::chrono::milliseconds requestIdKept {86'400'000};

    bool operator==(const DatabaseSettings &) const = default;
};

// [reads]
struct ReadSettings
{
    std::chrono::milliseconds replicaWait {15}; // wait for a replica just behind the token
    std::chrono::milliseconds smallestAge {1'000}; // positions are refreshed at a quarter of it

    bool operator==(const ReadSettings &) const = default;
};

// [limits]
struct LimitSettings
{
    std::chrono::milliseconds defaultTimeout {5'000};
    std::chrono::milliseconds longestTimeout {60'000};
    std::uint64_t largestBody = 1'048'576; // bytes
    double retryShare = 0.1; // retries as a share of fresh statements
    int queueLength = 256; // statements that wait for one server
    double connectionShare = 0.9; // of a server's announced connections that homes may hold

    bool operator==(const LimitSettings &) const = default;
};

// [failover]
struct FailoverSettings
{
    std::chrono::milliseconds primaryAnnounceInterval {100};
    std::chrono::milliseconds replicaAnnounceInterval {1'000};
    std::chrono::milliseconds detectionTime {400}; // silence that makes a primary suspect
    std::chrono::milliseconds ackTimeout {
            2'000}; // majority confirmation before the outcome is unknown
    std::chrono::milliseconds shortestBetweenChanges {5'000};

    bool operator==(const FailoverSettings &) const = default;
};

// [power]
struct PowerSettings
{
    int mostVms = 0; // spares that may be powered at the same time
    std::chrono::milliseconds saturatedBeforeOn {30'000};
    std::chrono::milliseconds idleBeforeOff {600'000};
    std::vector<VmName> spares;

    bool operator==(const PowerSettings &) const = default;
};

// [homes]
struct HomeSettings
{
    int perDomain = 1;
    int standbys = 1;
    std::chrono::milliseconds shareTimeout {3'000}; // a connection share not renewed is void

    bool operator==(const HomeSettings &) const = default;
};

// What all processes of a fleet share; accepted by control as one revision.
struct FleetSettings
{
    std::map<DatabaseName, DatabaseSettings> databases;
    ReadSettings reads;
    LimitSettings limits;
    FailoverSettings failover;
    PowerSettings power;
    HomeSettings homes;

    bool operator==(const FleetSettings &) const = default;
};

} // namespace nutmegtide
