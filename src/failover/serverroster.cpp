#include "nutmegtide/failover/serverroster.h"

#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/text.h"

#include <nlohmann/json.hpp>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr const char *ServiceKey = "roster_of";
constexpr const char *OrderKey = "order_of";
constexpr const char *ClosedKey = "orders_closed_of";
constexpr const char *DepartedKey = "departed"; // absent for a server that is present

Json toJson(const ServerRoster::Servers &servers, const std::set<ServerId> &departed)
{
    Json list = Json::array();
    for (const auto &[id, announcement] : servers) {
        list.push_back({{"server", id.text()},
                        {"address", toString(announcement.address)},
                        {"domain", announcement.failureDomain.text()},
                        {"slots", announcement.slots},
                        {"leaving", announcement.isLeaving},
                        {"primary", announcement.isPrimary},
                        {"lifetime", announcement.lifetime},
                        {"sequence", announcement.sequence}});
        if (departed.count(id) != 0)
            list.back()[DepartedKey] = true;
    }
    return list;
}

// Throws Json::exception or EndpointError.
ServerRoster::Servers serversFrom(const ServiceName &service, const Json &list)
{
    ServerRoster::Servers servers;
    for (const Json &item : list) {
        ServerAnnouncement announcement;
        announcement.server = ServerId(item.at("server").get<std::string>());
        announcement.service = service;
        announcement.address = parseEndpoint(item.at("address").get<std::string>());
        announcement.failureDomain = FailureDomain(item.at("domain").get<std::string>());
        item.at("slots").get_to(announcement.slots);
        item.at("leaving").get_to(announcement.isLeaving);
        item.at("primary").get_to(announcement.isPrimary);
        item.at("lifetime").get_to(announcement.lifetime);
        item.at("sequence").get_to(announcement.sequence);
        servers[announcement.server] = announcement;
    }
    return servers;
}

// Throws Json::exception.
std::set<ServerId> departedFrom(const Json &list)
{
    std::set<ServerId> departed;
    for (const Json &item : list) {
        if (item.value(DepartedKey, false))
            departed.emplace(item.at("server").get<std::string>());
    }
    return departed;
}

} // namespace

std::string ServerRoster::encode(const ServiceName &service, const Servers &servers,
                                 const std::set<ServerId> &departed)
{
    return encodeJson({{ServiceKey, service.text()}, {"servers", toJson(servers, departed)}});
}

std::string ServerRoster::encodeOrder(const ServiceName &service, const ServerId &server)
{
    return encodeJson({{OrderKey, service.text()}, {"server", server.text()}});
}

std::string ServerRoster::encodeOrdersClosed(const ServiceName &service)
{
    return encodeJson({{ClosedKey, service.text()}});
}

// An entry that can't be read changes nothing, on any control VM: an exception here would end each
// of them in turn, and again at every start.
void ServerRoster::apply(std::uint64_t /*index*/, const std::string &payload)
{
    const Json json = Json::parse(payload, nullptr, false);
    if (!json.is_object())
        return;
    try {
        apply(json);
    } catch (const Json::exception &) {
        return;
    } catch (const EndpointError &) {
        return;
    }
}

void ServerRoster::apply(const Json &json)
{
    if (json.contains(OrderKey)) {
        const ServiceName service(json.at(OrderKey).get<std::string>());
        const ServerId server(json.at("server").get<std::string>());
        const std::lock_guard lock(m_mutex);
        m_openOrders[service].insert(server);
    } else if (json.contains(ClosedKey)) {
        const ServiceName service(json.at(ClosedKey).get<std::string>());
        const std::lock_guard lock(m_mutex);
        m_openOrders.erase(service);
    } else if (json.contains(ServiceKey)) {
        const ServiceName service(json.at(ServiceKey).get<std::string>());
        Servers servers = serversFrom(service, json.at("servers"));
        std::set<ServerId> departed = departedFrom(json.at("servers"));
        const std::lock_guard lock(m_mutex);
        m_services[service] = std::move(servers);
        m_departed[service] = std::move(departed);
        ++m_version;
    }
}

std::string ServerRoster::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    Json services = Json::object();
    for (const auto &[service, servers] : m_services) {
        const auto departed = m_departed.find(service);
        services[service.text()] = toJson(servers,
                                          departed == m_departed.end() ? std::set<ServerId>()
                                                                       : departed->second);
    }
    Json orders = Json::object();
    for (const auto &[service, servers] : m_openOrders) {
        for (const ServerId &server : servers)
            orders[service.text()].push_back(server.text());
    }
    return encodeJson({{"services", services}, {"orders", orders}});
}

void ServerRoster::restore(const std::string &snapshot)
{
    std::map<ServiceName, Servers> services;
    std::map<ServiceName, std::set<ServerId>> departed;
    std::map<ServiceName, std::set<ServerId>> orders;
    try {
        const Json json = Json::parse(snapshot);
        for (const auto &[service, list] : json.at("services").items()) {
            services[ServiceName(service)] = serversFrom(ServiceName(service), list);
            departed[ServiceName(service)] = departedFrom(list);
        }
        for (const auto &[service, list] : json.at("orders").items()) {
            for (const Json &server : list)
                orders[ServiceName(service)].emplace(server.get<std::string>());
        }
    } catch (const Json::exception &fault) {
        throw MessageError(std::string("malformed snapshot of the rosters: ") + fault.what());
    } catch (const EndpointError &fault) {
        throw MessageError(std::string("malformed snapshot of the rosters: ") + fault.what());
    }
    const std::lock_guard lock(m_mutex);
    m_services = std::move(services);
    m_departed = std::move(departed);
    m_openOrders = std::move(orders);
    ++m_version;
}

std::uint64_t ServerRoster::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::set<ServerId> ServerRoster::openOrders(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_openOrders.find(service);
    return found == m_openOrders.end() ? std::set<ServerId>() : found->second;
}

std::set<ServiceName> ServerRoster::servicesWithOpenOrders() const
{
    std::set<ServiceName> services;
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, servers] : m_openOrders) {
        if (!servers.empty())
            services.insert(service);
    }
    return services;
}

std::set<ServerId> ServerRoster::serversOf(const ServiceName &service) const
{
    std::set<ServerId> servers;
    for (const auto &[id, announcement] : announcementsOf(service))
        servers.insert(id);
    return servers;
}

ServerRoster::Servers ServerRoster::announcementsOf(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? Servers() : found->second;
}

std::set<ServerId> ServerRoster::departedOf(const ServiceName &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_departed.find(service);
    return found == m_departed.end() ? std::set<ServerId>() : found->second;
}

std::map<ServerId, std::uint64_t> ServerRoster::departures() const
{
    std::map<ServerId, std::uint64_t> all;
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, departed] : m_departed) {
        for (const ServerId &server : departed)
            all[server] = m_services.at(service).at(server).sequence;
    }
    return all;
}

std::set<ServerId> ServerRoster::presentServers(
        const std::optional<std::set<ServiceName>> &services) const
{
    std::set<ServerId> all;
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, servers] : m_services) {
        if (services && services->count(service) == 0)
            continue;
        const auto departed = m_departed.find(service);
        for (const auto &[id, announcement] : servers) {
            const bool isDeparted = departed != m_departed.end() && departed->second.count(id) != 0;
            if (!isDeparted)
                all.insert(id);
        }
    }
    return all;
}

std::vector<ServerAnnouncement> ServerRoster::announcements() const
{
    std::vector<ServerAnnouncement> all;
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, servers] : m_services) {
        for (const auto &[id, announcement] : servers)
            all.push_back(announcement);
    }
    return all;
}

} // namespace nutmegtide
