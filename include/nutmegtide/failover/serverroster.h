#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/control/replicatedlog.h"
#include "nutmegtide/proxy/serverregistry.h"

#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegtide {

// The servers that each service is known to have, with their latest announcements, as stored in the
// control log. If all control VMs restart, they know the servers at once; otherwise they would take
// the servers that they have heard so far for all of them, and fence too few. It also stores which
// promotions were ordered and may still be carried out. Payloads that can't be read are ignored.
// Thread-safe.
//
//   log.propose({CommandKind::Group, ServerRoster::encode(service, servers)}, timeout);
//   roster.serversOf(service);
class ServerRoster : public StateMachine
{
public:
    using Servers = std::map<ServerId, ServerAnnouncement>;

    // The functions that return a log entry throw MessageError for a name that isn't UTF-8.
    // Returns the log entry that replaces the servers of the service.
    // `departed` are those of them that have departed, but whose log may be needed.
    static std::string encode(const ServiceName &service, const Servers &servers,
                              const std::set<ServerId> &departed = {});
    // Returns the log entry for a promotion about to be ordered. Its index is the fencing token.
    static std::string encodeOrder(const ServiceName &service, const ServerId &server);
    // Returns the log entry which says that no earlier promotion order can be carried out any more.
    static std::string encodeOrdersClosed(const ServiceName &service);

    void apply(std::uint64_t index, const std::string &payload) override;
    std::string snapshot() const override;
    // Throws MessageError for a malformed snapshot and then keeps the present state.
    void restore(const std::string &snapshot) override;

    std::set<ServerId> serversOf(const ServiceName &service) const;
    Servers announcementsOf(const ServiceName &service) const;
    // Returns the servers of the service that have departed, but are still listed.
    std::set<ServerId> departedOf(const ServiceName &service) const;
    // Returns those of all services, each with the number of its recorded announcement.
    std::map<ServerId, std::uint64_t> departures() const;
    // Returns the servers whose promotion may still be carried out.
    std::set<ServerId> openOrders(const ServiceName &service) const;
    std::set<ServiceName> servicesWithOpenOrders() const;
    // Returns the present servers of these services, or of all.
    std::set<ServerId> presentServers(
            const std::optional<std::set<ServiceName>> &services = std::nullopt) const;
    // Returns the announcements of the servers of all services.
    std::vector<ServerAnnouncement> announcements() const;
    // Increases whenever the servers of a service are replaced.
    std::uint64_t version() const;

private:
    // Throws Json::exception or EndpointError.
    void apply(const nlohmann::json &json);

    mutable std::mutex m_mutex;
    std::uint64_t m_version = 0;
    std::map<ServiceName, Servers> m_services;
    std::map<ServiceName, std::set<ServerId>> m_departed;
    std::map<ServiceName, std::set<ServerId>> m_openOrders;
};

} // namespace nutmegtide
