#include "site/primarychangemanager.h"

#include "base/log.h"
#include "nutmegtide/failover/rosterplan.h"
#include "site/changelogfields.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto TokenTimeout = 2500ms;
constexpr auto OrderTimeout = 1500ms; // longer than a promotion takes
constexpr auto MaxSendDelay = 1s; // from the decision to order a promotion until it is sent
constexpr auto RosterInterval = 1s;

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
                                bool isLogCurrent, TimePoint now)
{
    m_trigger.setEntryCount(entryCount);
    // A new leader first applies the rosters and orders that earlier leaders committed.
    const bool isLeading = m_log.isLeader() && (m_isLeading || isLogCurrent);
    if (!isLeading && m_isLeading)
        abandonAll();
    if (isLeading && !m_isLeading) {
        m_trigger.startLeading(m_listensSince);
        m_leadingSince = now;
    }
    setLeading(isLeading);
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
        if (!group.change->covers(member.server))
            join(announcement.service, member, now);
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

void PrimaryChangeManager::join(const ServiceName &service, const ChangeServer &member,
                                TimePoint now)
{
    SemiSyncChange &change = *m_groups[service].change;
    const std::string step(change.stepName());
    const SemiSyncChangeActions actions = change.onJoined(member, now);
    log("server_joined_in_change",
        {{"service", service.text()},
         {"server", member.server.text()},
         {"step", step},
         {"next_step", std::string(change.stepName())},
         {"actions", describe(actions)}});
    perform(service, actions);
    afterStep(service);
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

bool PrimaryChangeManager::isPromotionOpen(const ServiceName &service) const
{
    const auto found = m_groups.find(service);
    const bool isChosen = found != m_groups.end() && found->second.change
            && found->second.change->hasChosen();
    return isChosen || !m_roster.openOrders(service).empty();
}

// One whose log its successor has leaves together with the entry of that one, which waits for open
// promotions.
std::set<ServerId> PrimaryChangeManager::leavingServers(const ServiceName &service,
                                                        const Departures &departed) const
{
    std::set<ServerId> leaving;
    for (const auto &[server, after] : departed)
        leaving.insert(server);
    const RosterView roster = rosterOf(service);
    const bool isOpen = isPromotionOpen(service);
    std::erase_if(leaving, [&](const ServerId &server) {
        return roster.departed.count(server) != 0 || (isOpen && m_succeeded.count(server) != 0);
    });
    return leaving;
}

// Adds servers when they are first heard of. Those that announced their departure are listed as
// departed, and removed once they are covered.
void PrimaryChangeManager::updateRoster(
        const std::map<ServiceName, std::vector<ServerRecord>> &services, TimePoint now)
{
    if (now < m_rosterDueAt)
        return;
    m_rosterDueAt = now + RosterInterval;
    const Departures departed = departedServers();
    for (const auto &[service, servers] : services) {
        const ServerRoster::Servers before = m_roster.announcementsOf(service);
        const std::set<ServerId> uncovered = rosterOf(service).departed;
        RosterState state {before, {}, leavingServers(service, departed), isPromotionOpen(service)};
        for (const ServerRecord &record : servers)
            state.present.push_back(record.announcement);
        ServerRoster::Servers after = RosterPlan(std::move(state)).next();
        // A control VM that starts again takes the departure as of this announcement.
        for (const ServerId &server : uncovered) {
            const auto departure = departed.find(server);
            if (departure != departed.end() && after.count(server) != 0)
                after[server].sequence = std::max(after[server].sequence, departure->second);
        }
        if (after == before && uncovered == m_roster.departedOf(service))
            continue;
        if (!m_rosterWorker)
            m_rosterWorker = std::make_unique<TaskWorker>();
        m_rosterWorker->post([this, service = service, after, uncovered] {
            try {
                m_log.propose({CommandKind::Group, ServerRoster::encode(service, after, uncovered)},
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
    group.isPublished = false;
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
    noteReliance(service);
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
    log("primary_change_fenced", fieldsOf(service, m_groups[service].change->fenceReport()));
    const std::uint64_t reservation = ++m_groups[service].reservations;
    workerOf(service).post([this, service, server = action.server, reservation] {
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
        m_loop.post([this, service, token, reservation] {
            const auto found = m_groups.find(service);
            // The entry of an earlier reservation may name another server.
            if (found == m_groups.end() || !found->second.change
                || found->second.reservations != reservation)
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
    const TimePoint orderedAt = m_groups[service].orderedAt;
    workerOf(service).post([this, service, action, orderedAt] {
        // Another VM may lead since the token was reserved, or since this one stood still.
        const bool isCurrent = m_log.isLeader() && EventLoop::now() - orderedAt < MaxSendDelay;
        const PromotionOutcome outcome = isCurrent
                ? m_promoter.promote(service, action.server, action.token, OrderTimeout)
                : PromotionOutcome::Refused;
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
    if (group.change->isOver() || group.change->isSettling())
        publish(service);
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
    if (!group.change->hasOpenOrders() && !m_roster.openOrders(service).empty())
        closeOrders(service);
    m_trigger.onChangeEnded(service, group.change->primary(), now);
    group.change.reset();
    noteReliance(service);
}

// Tells who leads as the result of the change, once for each change.
void PrimaryChangeManager::publish(const ServiceName &service)
{
    Group &group = m_groups[service];
    if (group.isPublished || group.change->primary().isEmpty())
        return;
    group.isPublished = true;
    m_onPrimary(service, group.change->primary(), group.change->primaryTerm());
}

// The first change of a new leader may end with orders of an earlier one open, and none of its own.
TaskWorker &PrimaryChangeManager::workerOf(const ServiceName &service)
{
    std::unique_ptr<TaskWorker> &worker = m_groups[service].worker;
    if (!worker)
        worker = std::make_unique<TaskWorker>();
    return *worker;
}

void PrimaryChangeManager::closeOrders(const ServiceName &service)
{
    workerOf(service).post([this, service] {
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
