#include "serve/statusrole.h"

#include "serve/announceapi.h"

namespace nutmegtide {

namespace {

Json toJson(LogPosition position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.index);
}

// A server that calls itself primary in an older term no longer is one.
const char *roleName(const ServerSnapshot &server, const GroupSnapshot &group)
{
    if (server.role == ServerRole::Replica)
        return "replica";
    return group.primary == server.id ? "primary" : "old";
}

Json toMilliseconds(const std::optional<Duration> &time)
{
    if (!time)
        return nullptr;
    return std::chrono::ceil<std::chrono::milliseconds>(*time).count();
}

const char *stateName(ServerState state)
{
    switch (state) {
    case ServerState::Joining:
        return "joining";
    case ServerState::Ready:
        return "ready";
    case ServerState::Leaving:
        break;
    }
    return "leaving";
}

} // namespace

void StatusRole::addTo(std::vector<HttpRoute> &routes)
{
    routes.push_back({"GET", "/v1/status", [this](const HttpRequest &) {
                          HttpResponse response;
                          response.body = status().dump();
                          return response;
                      }});
}

void StatusRole::addSection(const std::string &key, Section section)
{
    m_sections[key] = std::move(section);
}

Json StatusRole::status() const
{
    Json problems = Json::array();
    Json json {{"vm", m_identity.vm.text()},
               {"failure_domain", m_identity.failureDomain.text()},
               {"fleet", m_identity.fleet.text()},
               {"incarnation", m_identity.incarnation},
               {"revision", m_settings.revision()},
               {"open_transactions", m_transactions.open()}};
    json["members"] = members(problems);
    json["groups"] = groups(problems);
    for (const auto &[key, section] : m_sections)
        json[key] = section();
    json["problems"] = std::move(problems);
    return json;
}

Json StatusRole::members(Json &problems) const
{
    Json members = Json::object();
    for (const VmRecord &record : m_directory.all()) {
        members[record.vm.text()] = {{"failure_domain", record.failureDomain.text()},
                                     {"callers", toString(record.callers)},
                                     {"peers", toString(record.peers)},
                                     {"control", record.isControl},
                                     {"draining", record.isDraining},
                                     {"revision", record.revision}};
        if (record.isDraining)
            problems.push_back("VM " + record.vm.text() + " is draining");
        if (record.revision < m_settings.revision()) {
            problems.push_back("VM " + record.vm.text() + " has revision "
                               + std::to_string(record.revision) + " in force, not "
                               + std::to_string(m_settings.revision()));
        }
    }
    return members;
}

Json StatusRole::groups(Json &problems) const
{
    Json groups = Json::object();
    for (const DatabaseName &database : m_groups.names()) {
        if (const HomeGroup *found = m_groups.find(database))
            groups[database.text()] = group(database, *found, problems);
    }
    return groups;
}

Json StatusRole::group(const DatabaseName &database, const HomeGroup &group, Json &problems) const
{
    const GroupSnapshot snapshot = group.snapshot();
    const std::string name = "database " + database.text();
    Json servers = Json::object();
    for (const ServerSnapshot &server : snapshot.servers) {
        servers[server.id.text()] = {{"failure_domain", server.failureDomain.text()},
                                     {"role", roleName(server, snapshot)},
                                     {"state", stateName(server.state)},
                                     {"applied", toJson(server.applied)},
                                     {"proved_age_ms", toMilliseconds(server.provedAge)},
                                     {"in_flight", server.inFlight},
                                     {"slots", server.limit},
                                     {"statement_connections",
                                      group.capacityOf(server.id).connections},
                                     {"suspect", server.isSuspect}};
        if (server.isSuspect)
            problems.push_back(name + ": backend server " + server.id.text() + " is silent");
        if (server.state == ServerState::Leaving)
            problems.push_back(name + ": backend server " + server.id.text() + " is leaving");
    }
    if (!snapshot.primary)
        problems.push_back(name + " has no primary in term " + std::to_string(snapshot.term));
    Json homes = Json::array();
    for (const VmName &home :
         m_directory.homesOf(database, placementRule(*m_settings.current(), database)))
        homes.push_back(home.text());
    return {{"term", snapshot.term},
            {"primary", snapshot.primary ? Json(snapshot.primary->text()) : Json(nullptr)},
            {"leadership_confirmed", snapshot.isLeadershipConfirmed},
            {"homes", std::move(homes)},
            {"servers", std::move(servers)}};
}

} // namespace nutmegtide
