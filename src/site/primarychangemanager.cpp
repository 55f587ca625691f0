#include "site/primarychangemanager.h"

#include "base/log.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto TokenTimeout = 2500ms;
constexpr auto OrderTimeout = 1500ms; // longer than a promotion takes
constexpr auto RosterInterval = 1s;

bool hasSameContent(const ServerAnnouncement &left, ServerAnnouncement right)
{
    right.sequence = left.sequence;
    return left == right;
}

} // namespace

PrimaryChangeManager::PrimaryChangeManager(EventLoop &loop, const Identity &identity,
                                           ReplicatedLog &log, Promoter &promoter,
                                           const ServerRoster &roster, DepartedServers departed,
                                           OnGone onGone, OnPrimary onPrimary)
    : m_loop(loop)
    , m_identity(identity)
    , m_log(log)
    , m_promoter(promoter)
    , m_roster(roster)
    , m_departed(std::move(departed))
    , m_onGone(std::move(onGone))
    , m_onPrimary(std::move(onPrimary))
    , m_serverLinks(makeServerLinks(loop, "control", *this))
{ }

void PrimaryChangeManager::complain(const EntryComplaint &complaint)
{
    m_loop.post([this, complaint] { m_trigger.complain(complaint, EventLoop::now()); });
}

void PrimaryChangeManager::tick(const std::vector<ServerRecord> &servers, int entryCount,
                                TimePoint now)
{
    m_trigger.setEntryCount(entryCount);
    const bool isLeading = m_log.isLeader();
    if (!isLeading && m_isLeading)
        abandonAll();
    if (isLeading && !m_isLeading) {
        m_trigger.startLeading(m_listensSince);
        m_leadingSince = now;
    }
    m_isLeading = isLeading;
    checkLinks(now);
    if (!isLeading)
        return;
    startWantedChanges(servers, now);
    updateMembers(servers, now);
    for (auto &[service, group] : m_groups) {
        if (!group.change)
            continue;
        perform(service, group.change->tick(now));
        afterStep(service);
    }
}

void PrimaryChangeManager::updateMembers(const std::vector<ServerRecord> &present, TimePoint now)
{
    for (const ServerRecord &record : present) {
        const ServerAnnouncement &announcement = record.announcement;
        Group &group = m_groups[announcement.service];
        if (!group.change || m_vacatedAddresses.count(announcement.server) != 0)
            continue;
        const ChangeServer member {announcement.server, announcement.isLeaving};
        perform(announcement.service, group.change->onJoined(member, now));
    }
    for (auto vacated = m_vacatedAddresses.begin(); vacated != m_vacatedAddresses.end();) {
        const auto &[gone, last] = *vacated;
        const auto successor = std::find_if(present.begin(), present.end(),
                                            [&gone = gone, &last = last](const auto &record) {
                                                return record.announcement.address == last.address
                                                        && record.announcement.server != gone;
                                            });
        if (successor == present.end()) {
            ++vacated;
            continue;
        }
        // One of another service has only the address, not the log.
        const bool hasLog = successor->announcement.service == last.service;
        if (hasLog)
            m_succeeded.insert(gone);
        m_rosterDueAt = now;
        m_onGone(gone);
        const auto &change = m_groups[last.service].change;
        if (change && hasLog)
            change->onSuccessorKnown(gone);
        else if (change)
            perform(last.service, change->onDeparted(gone, now));
        vacated = m_vacatedAddresses.erase(vacated);
    }
}

void PrimaryChangeManager::startWantedChanges(const std::vector<ServerRecord> &present,
                                              TimePoint now)
{
    std::map<ServiceName, std::vector<ServerRecord>> services;
    m_announcements.clear();
    for (const ServerRecord &record : present) {
        services[record.announcement.service].push_back(record);
        m_announcements[record.announcement.server] = record.announcement;
    }
    followDepartures(services, now);
    updateRoster(services, now);
    maintainLinks(now);
    for (const auto &[service, servers] : services) {
        if (m_groups[service].change)
            continue;
        const RosterView roster = rosterOf(service);
        if (const auto neededChange = m_trigger.neededChange(service, servers, roster, now))
            start(service, *neededChange, now);
    }
}

// Adds servers when they are first heard of. Those that announced their departure are listed as
// departed, and removed once they are covered.
void PrimaryChangeManager::updateRoster(
        const std::map<ServiceName, std::vector<ServerRecord>> &services, TimePoint now)
{
    if (now < m_rosterDueAt)
        return;
    m_rosterDueAt = now + RosterInterval;
    const std::set<ServerId> departed = m_departed();
    for (const auto &[service, servers] : services) {
        const ServerRoster::Servers before = m_roster.announcementsOf(service);
        ServerRoster::Servers after = before;
        for (const ServerRecord &record : servers) {
            ServerAnnouncement announcement = record.announcement;
            const auto known = before.find(announcement.server);
            // A repeated announcement changes nothing.
            if (known != before.end() && hasSameContent(known->second, announcement))
                continue;
            after[announcement.server] = announcement;
        }
        const RosterView roster = rosterOf(service);
        std::erase_if(after, [&](const auto &item) {
            return departed.count(item.first) != 0 && roster.departed.count(item.first) == 0;
        });
        if (after == before && roster.departed == m_roster.departedOf(service))
            continue;
        if (!m_rosterWorker)
            m_rosterWorker = std::make_unique<TaskWorker>();
        m_rosterWorker->post([this, service = service, after, listed = roster.departed] {
            try {
                m_log.propose({CommandKind::Group, ServerRoster::encode(service, after, listed)},
                              TokenTimeout);
            } catch (const Error &fault) {
                // It is proposed again as long as the roster differs.
                m_loop.post([this, service, what = std::string(fault.what())] {
                    log("roster_refused", {{"service", service.text()}, {"reason", what}});
                });
            }
        });
    }
}

void PrimaryChangeManager::start(const ServiceName &service, const NeededChange &neededChange,
                                 TimePoint now)
{
    Group &group = m_groups[service];
    group.change = std::make_unique<SemiSyncChange>(neededChange.reason, neededChange.servers,
                                                    neededChange.from);
    // Orders of an earlier leader were given before this one became leader.
    group.change->setOpenOrders(m_roster.openOrders(service),
                                std::max(group.orderedAt, m_leadingSince));
    group.startedAt = now;
    group.loggedReason.clear();
    log("primary_change_started",
        {{"service", service.text()},
         {"reason", neededChange.reason == ChangeReason::Lost ? "lost" : "moved"},
         {"from", neededChange.from.text()},
         {"servers", std::to_string(neededChange.servers.size())},
         {"why", neededChange.why}});
    perform(service, group.change->start(now));
    afterStep(service);
}

void PrimaryChangeManager::perform(const ServiceName &service, const SemiSyncChangeActions &actions)
{
    for (const SemiSyncChangeAction &action : actions)
        std::visit([this, &service](const auto &kind) { perform(service, kind); }, action);
}

void PrimaryChangeManager::perform(const ServiceName &service, const QueryStatus &action)
{
    ask(service, action.server, ServerCommandKind::Status, 0);
}

void PrimaryChangeManager::perform(const ServiceName &service, const HoldServer &action)
{
    ask(service, action.server, ServerCommandKind::HoldReplication, action.term);
}

void PrimaryChangeManager::perform(const ServiceName &service, const DemoteServer &action)
{
    ask(service, action.server, ServerCommandKind::Demote, action.term);
}

void PrimaryChangeManager::perform(const ServiceName &service, const ResumeServer &action)
{
    ask(service, action.server, ServerCommandKind::ResumeReplication, 0);
}

void PrimaryChangeManager::perform(const ServiceName &service, const ReserveToken &action)
{
    Group &group = m_groups[service];
    if (!group.worker)
        group.worker = std::make_unique<TaskWorker>();
    group.worker->post([this, service, server = action.server] {
        std::optional<std::uint64_t> token;
        try {
            // The index of the log entry is the token: no two entries have the same index,
            // whichever VM leads.
            token = m_log.propose({CommandKind::Group, ServerRoster::encodeOrder(service, server)},
                                  TokenTimeout);
        } catch (const Error &fault) {
            m_loop.post([this, service, what = std::string(fault.what())] {
                log("token_refused", {{"service", service.text()}, {"reason", what}});
            });
        }
        m_loop.post([this, service, token] {
            const auto found = m_groups.find(service);
            if (found == m_groups.end() || !found->second.change)
                return;
            SemiSyncChange &change = *found->second.change;
            perform(service,
                    token ? change.onToken(*token, EventLoop::now())
                          : change.onTokenFailed(EventLoop::now()));
            afterStep(service);
        });
    });
}

void PrimaryChangeManager::perform(const ServiceName &service, const OrderPromotion &action)
{
    log("promotion_ordered",
        {{"service", service.text()},
         {"server", action.server.text()},
         {"token", std::to_string(action.token)}});
    warnOfDepartures(service, action.server);
    m_groups[service].orderedAt = EventLoop::now();
    m_groups[service].worker->post([this, service, action] {
        const PromotionOutcome outcome = m_promoter.promote(service, action.server, action.token,
                                                            OrderTimeout);
        m_loop.post([this, service, action, outcome] {
            log("promotion_answered",
                {{"service", service.text()},
                 {"server", action.server.text()},
                 {"token", std::to_string(action.token)},
                 {"outcome", std::to_string(static_cast<int>(outcome))}});
            const auto found = m_groups.find(service);
            if (found == m_groups.end() || !found->second.change)
                return;
            perform(service,
                    found->second.change->onPromotionAnswered(action.token, outcome,
                                                              EventLoop::now()));
            afterStep(service);
        });
    });
}

// Logs what the change waits for, and ends the change once it is over.
void PrimaryChangeManager::afterStep(const ServiceName &service)
{
    Group &group = m_groups[service];
    if (!group.change)
        return;
    const TimePoint now = EventLoop::now();
    if (!group.change->isOver()) {
        const std::string why = std::string(group.change->stepName()) + ": " + group.change->why();
        if (group.loggedReason == why || group.change->stepName() != "waiting")
            return;
        group.loggedReason = why;
        log("primary_change_waits", {{"service", service.text()}, {"why", group.change->why()}});
        return;
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - group.startedAt);
    log("primary_change_ended",
        {{"service", service.text()},
         {"primary", group.change->primary().text()},
         {"took_ms", std::to_string(took.count())},
         {"why", group.change->why()}});
    if (!group.change->primary().isEmpty())
        m_onPrimary(service, group.change->primary(), group.change->primaryTerm());
    if (!group.change->hasOpenOrders() && !m_roster.openOrders(service).empty())
        closeOrders(service);
    m_trigger.onChangeEnded(service, group.change->primary(), now);
    group.change.reset();
}

void PrimaryChangeManager::closeOrders(const ServiceName &service)
{
    m_groups[service].worker->post([this, service] {
        try {
            m_log.propose({CommandKind::Group, ServerRoster::encodeOrdersClosed(service)},
                          TokenTimeout);
        } catch (const Error &fault) {
            // The orders still count as open, which is the safe assumption.
            m_loop.post([this, service, what = std::string(fault.what())] {
                log("orders_not_closed", {{"service", service.text()}, {"reason", what}});
            });
        }
    });
}

// Another control VM leads now and continues unfinished changes.
void PrimaryChangeManager::abandonAll()
{
    for (auto &[service, group] : m_groups) {
        if (group.change)
            log("primary_change_abandoned", {{"service", service.text()}});
        group.change.reset();
        group.departures = {};
    }
    m_vacatedAddresses.clear();
    m_succeeded.clear();
}

void PrimaryChangeManager::log(const std::string &event, const std::vector<LogField> &fields) const
{
    logEvent(LogLevel::Info, event, {m_identity.vm, m_identity.failureDomain, "control"}, fields);
}

} // namespace nutmegtide
