#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"
#include "nutmegtide/proxy/workspaces.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace nutmegtide {

// Name of a service: a primary and its replicas, which serve one database.
using ServiceName = Name<struct ServiceNameTag>;

// Which commits a read is guaranteed to see.
enum class Consistency {
    Latest, // every acknowledged commit
    BoundedAge, // every commit acknowledged longer ago than Route::largestAge
    OwnWrites, // as BoundedAge, and every commit of the session itself
};

// Returns the name used in logs and metrics.
std::string_view toString(Consistency consistency);

// Settings of the sessions that use one database.
struct Route
{
    DatabaseName database;
    ServiceName service;
    Consistency consistency = Consistency::Latest;
    std::chrono::milliseconds largestAge {0}; // maximum staleness of reads, except for Latest
    std::chrono::milliseconds statementTimeout {0};
    std::chrono::milliseconds latencyObjective {0}; // target for a statement, queueing included
    int priority = 0; // lower values go first
    bool isPublic = false; // callers need no key

    bool operator==(const Route &) const = default;
};

// Settings of a service.
struct ServiceSettings
{
    ServiceName name;
    // Connections to one server that all proxies together may open; 0 if unknown.
    int maxConnections = 0;
    // Number of replicas that hold a commit before it is acknowledged.
    int syncReplicas = 0;

    bool operator==(const ServiceSettings &) const = default;
};

// Thrown for a configuration that is not valid.
class RouteTableError : public Error
{
public:
    using Error::Error;
};

// Routes and services of one accepted configuration.
struct RouteTable
{
    Revision revision = 0;
    std::map<DatabaseName, Route> routes;
    std::map<ServiceName, ServiceSettings> services;
    // Nothing where the configuration knows no workspaces; callers then need no key.
    std::optional<WorkspaceTable> workspaces;
    std::chrono::milliseconds idleTransactionTimeout {0}; // 0 disables it

    // Returns the route of the database, or nullptr if there is none.
    const Route *find(const DatabaseName &database) const;
    // Returns the services with a route whose latency objective is at least `patientObjective`:
    // some of their statements can wait for others, so their servers are shared by load. With 0
    // there are none.
    std::set<ServiceName> balancedServices(std::chrono::milliseconds patientObjective) const;
    std::set<ServiceName> serviceNames() const;
    // Returns the services whose commits are confirmed: their primaries wait for replicas.
    std::set<ServiceName> confirmedServices() const;
    bool operator==(const RouteTable &) const = default;
};

} // namespace nutmegtide
