#include "nutmegtide/proxy/routetable.h"

#include <array>

namespace nutmegtide {

std::string_view toString(Consistency consistency)
{
    static constexpr std::array<std::string_view, 3> Names = {"latest", "bounded_age", "own_writes"};
    return Names.at(static_cast<std::size_t>(consistency));
}

const Route *RouteTable::find(const DatabaseName &database) const
{
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
}

std::set<ServiceName> RouteTable::balancedServices(std::chrono::milliseconds patientObjective) const
{
    std::set<ServiceName> services;
    if (patientObjective.count() == 0)
        return services;
    for (const auto &[database, route] : routes) {
        if (route.latencyObjective >= patientObjective)
            services.insert(route.service);
    }
    return services;
}

std::set<ServiceName> RouteTable::serviceNames() const
{
    std::set<ServiceName> names;
    for (const auto &[name, service] : services)
        names.insert(name);
    return names;
}

std::set<ServiceName> RouteTable::confirmedServices() const
{
    std::set<ServiceName> confirmed;
    for (const auto &[name, service] : services) {
        if (service.syncReplicas > 0)
            confirmed.insert(name);
    }
    return confirmed;
}

} // namespace nutmegtide
