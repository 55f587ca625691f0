#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/ids.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegtide {

using ServiceName = Name<struct ServiceNameTag>; // a group of backend servers with one database

// What a route promises to its callers about reads.
enum class Consistency {
    Latest, // every acknowledged commit
    BoundedAge, // every commit acknowledged longer ago than the largest age
    OwnWrites, // the same, and every commit of the session
};

// Returns the name for logs and metrics.
std::string_view toString(Consistency consistency);

// How the sessions of one database are served.
struct Route
{
    DatabaseName database;
    ServiceName service;
    Consistency consistency = Consistency::Latest;
    std::chrono::milliseconds largestAge {0}; // of the data that a read may get
    std::chrono::milliseconds statementTimeout {0};
    std::chrono::milliseconds latencyObjective {0}; // of a whole operation
    int priority = 0; // 0 goes first

    bool operator==(const Route &) const = default;
};

struct ServiceSettings
{
    ServiceName name;
    int maxConnections = 0; // to one server, from all callers; 0: no limit is known
    int syncReplicas = 0; // replicas that hold a commit before it is acknowledged

    bool operator==(const ServiceSettings &) const = default;
};

// A configuration that can't be in force.
class RouteTableError : public Error
{
public:
    using Error::Error;
};

// One accepted configuration of routes.
struct RouteTable
{
    Revision revision = 0;
    std::map<DatabaseName, Route> routes;
    std::map<ServiceName, ServiceSettings> services;
    std::chrono::milliseconds idleTransactionTimeout {0}; // 0: none

    // Null where the database has no route.
    const Route *find(const DatabaseName &database) const;
    bool operator==(const RouteTable &) const = default;
};

} // namespace nutmegtide
