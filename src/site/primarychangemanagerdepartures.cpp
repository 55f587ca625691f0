// What PrimaryChangeManager does about recorded servers that have departed.
#include "site/changelogfields.h"
#include "site/primarychangemanager.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto DepartedInterval = 100ms; // between questions to a departed server that answers

} // namespace

// Returns the recorded servers without those that have departed and are covered.
RosterView PrimaryChangeManager::rosterOf(const ServiceName &service) const
{
    RosterView roster;
    roster.servers = m_roster.serversOf(service);
    roster.hasOpenOrders = !m_roster.openOrders(service).empty();
    const auto found = m_groups.find(service);
    if (found == m_groups.end())
        return roster;
    const DepartureTracker &departures = found->second.departures;
    std::erase_if(roster.servers, [&](const ServerId &server) {
        return departures.covered().count(server) != 0 || m_succeeded.count(server) != 0;
    });
    for (const auto &[server, notedAt] : departures.uncovered())
        roster.departed.insert(server);
    return roster;
}

// One that answers still receives commits, or its departure was held up and it has started again.
PrimaryChangeManager::Departures PrimaryChangeManager::withoutAnswering(Departures departed) const
{
    for (const auto &[key, link] : m_links) {
        if (link.isOpen)
            departed.erase(link.server);
    }
    return departed;
}

void PrimaryChangeManager::askDeparted(const Departures &departed, TimePoint now)
{
    std::vector<std::pair<ServiceName, ServerId>> answering;
    for (const auto &[key, link] : m_links) {
        const bool isDue = link.isOpen && now - link.activeAt >= DepartedInterval;
        if (isDue && departed.count(link.server) != 0)
            answering.emplace_back(link.service, link.server);
    }
    for (const auto &[service, server] : answering)
        askForDeparture(service, server, now);
}

void PrimaryChangeManager::followDepartures(
        const std::map<ServiceName, std::vector<ServerRecord>> &services, TimePoint now)
{
    const Departures noted = m_departed();
    askDeparted(noted, now);
    const Departures departed = withoutAnswering(noted);
    for (const auto &[service, servers] : services)
        followDepartures(service, servers, departed, now);
}

void PrimaryChangeManager::followDepartures(const ServiceName &service,
                                            const std::vector<ServerRecord> &servers,
                                            const Departures &allDeparted, TimePoint now)
{
    const std::set<ServerId> recorded = m_roster.serversOf(service);
    std::set<ServerId> present;
    std::set<ServerId> departed;
    for (const ServerRecord &record : servers) {
        if (recorded.count(record.announcement.server) != 0)
            present.insert(record.announcement.server);
    }
    for (const ServerId &server : recorded) {
        if (allDeparted.count(server) != 0 && m_succeeded.count(server) == 0)
            departed.insert(server);
    }
    Group &group = m_groups[service];
    const std::map<ServerId, TimePoint> before = group.departures.uncovered();
    group.departures.setServers(present, departed, now);
    // A copy, since the change's actions may cover one.
    const std::map<ServerId, TimePoint> uncovered = group.departures.uncovered();
    for (const auto &[server, notedAt] : uncovered) {
        if (before.count(server) == 0)
            log("departure_noted", {{"service", service.text()}, {"server", server.text()}});
        if (group.change)
            perform(service, group.change->onDeparted(server, now));
    }
    for (const QueryStatus &query : group.departures.tick(now))
        askForDeparture(service, query.server, now);
}

void PrimaryChangeManager::askForDeparture(const ServiceName &service, const ServerId &server,
                                           TimePoint now)
{
    const Group &group = m_groups[service];
    const auto known = group.links.find(server);
    if (known == group.links.end())
        return;
    Link &link = m_links.at(known->second);
    const bool isAsked = !link.sent.empty();
    if (!link.isOpen || isAsked)
        return;
    ServerCommand command;
    command.kind = ServerCommandKind::Status;
    sendOn(known->second, link, command, now);
}

void PrimaryChangeManager::noteStatus(const ServiceName &service, const ServerId &server,
                                      const ServerReplicationStatus &status, TimePoint askedAt)
{
    Group &group = m_groups[service];
    const TimePoint now = EventLoop::now();
    for (const CoveredDeparture &covered : group.departures.onStatus(server, status, askedAt, now)) {
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(covered.took);
        log("departure_covered",
            {{"service", service.text()},
             {"server", covered.server.text()},
             {"primary", covered.primary.text()},
             {"replica", covered.replica.text()},
             {"position", textOf(covered.position)},
             {"received", textOf(status.received)},
             {"took_ms", std::to_string(took.count())}});
        m_rosterDueAt = now;
        if (group.change)
            group.change->onCovered(covered.server);
    }
}

void PrimaryChangeManager::warnOfDepartures(const ServiceName &service,
                                            const ServerId &promoted) const
{
    const auto found = m_groups.find(service);
    if (found == m_groups.end() || !found->second.change)
        return;
    std::string servers;
    for (const ServerId &server : found->second.change->uncoveredDepartures())
        servers += (servers.empty() ? "" : ",") + server.text();
    if (servers.empty())
        return;
    logEvent(LogLevel::Warning, "promotion_without_departed",
             {m_identity.vm, m_identity.failureDomain, "control"},
             {{"service", service.text()},
              {"server", promoted.text()},
              {"departed", servers},
              {"why", "no server that could return has what they received"}});
}

} // namespace nutmegtide
