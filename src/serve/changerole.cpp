#include "serve/changerole.h"

#include "serve/announceapi.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto RoundInterval = 20ms; // the longest wait for a due decision of an open change
constexpr auto IdleInterval = 500ms; // without one, only reports bring decisions
constexpr auto ProposalTime = 3s;
constexpr auto LateAdoption = 10s; // an adoption that is committed later isn't recorded

LogPosition fromWire(const wire::Position &position)
{
    return {static_cast<Term>(position.term), static_cast<std::uint64_t>(position.index)};
}

GroupCommand adoptionOf(const DatabaseName &database, const wire::ServerReport &primary)
{
    GroupCommand command;
    command.kind = GroupCommandKind::Adopt;
    command.database = database;
    command.term = static_cast<Term>(primary.term);
    command.primary = ServerId(primary.server);
    for (const std::string &voter : primary.voters)
        command.voters.emplace_back(voter);
    return command;
}

// A server counts as heard when any home has heard it.
void takePresence(std::map<ServerId, VoterObservation> &presence, const wire::ServerReport &server,
                  TimePoint now)
{
    const ServerId id(server.server);
    const TimePoint heardAt = now - std::chrono::milliseconds(server.silentMilliseconds);
    VoterObservation &known = presence[id];
    if (!known.server.isEmpty() && heardAt < known.heardAt)
        return;
    known = {id, static_cast<ServerState>(server.state), fromWire(server.durable), heardAt};
}

} // namespace

ChangeRole::ChangeRole(const Identity &identity, const SettingsSource &settings,
                       const Directory &directory, Recorder &recorder)
    : m_identity(identity)
    , m_settings(settings)
    , m_directory(directory)
    , m_recorder(recorder)
{ }

ChangeRole::~ChangeRole()
{
    stop();
}

void ChangeRole::start(ReplicatedLog &log)
{
    m_log = &log;
    m_thread = std::thread([this] { run(); });
    m_proposer = std::thread([this] { propose(); });
}

void ChangeRole::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
        m_proposed.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
    if (m_proposer.joinable())
        m_proposer.join();
    m_workers.stop();
}

SuspicionTimings ChangeRole::suspicionTimings() const
{
    SuspicionTimings timings;
    timings.shortestBetweenChanges = m_settings.current()->failover.shortestBetweenChanges;
    return timings;
}

// ---- reports ----

wire::GroupReportReply ChangeRole::report(const wire::Header &header,
                                          const std::vector<wire::GroupReport> &reports)
{
    wire::GroupReportReply reply;
    if (const ReplicatedLog *log = m_log) {
        reply.isLeader = log->isLeader();
        reply.leader = log->leader().text();
    }
    if (!reply.isLeader)
        return reply;
    reply.knownGroups = static_cast<std::int32_t>(takeCall(header, reports, Clock::now()));
    for (const wire::GroupReport &report : reports) {
        const DatabaseName database(report.database);
        if (const auto record = m_ledger.find(database))
            reply.records.push_back(toWire(database, *record));
    }
    return reply;
}

std::size_t ChangeRole::takeCall(const wire::Header &header,
                                 const std::vector<wire::GroupReport> &reports, TimePoint now)
{
    const VmName home(header.vm);
    const std::lock_guard lock(m_mutex);
    noteLeading(true, now);
    std::set<DatabaseName> named;
    for (const wire::GroupReport &report : reports) {
        take(home, report, now);
        named.emplace(report.database);
    }
    const auto incarnation = static_cast<Incarnation>(header.incarnation);
    for (const DatabaseName &database : m_homeReports.take(home, incarnation, named)) {
        Group &group = m_groups.at(database);
        group.suspicion.renew(home, now);
        group.isReported = true;
    }
    m_changed.notify_all();
    return m_homeReports.groupCount(home);
}

void ChangeRole::take(const VmName &home, const wire::GroupReport &report, TimePoint now)
{
    const DatabaseName database(report.database);
    Group &group = m_groups.try_emplace(database, suspicionTimings()).first->second;
    HomeOpinion opinion;
    opinion.isSuspected = report.isPrimarySuspected;
    for (const wire::ServerReport &server : report.servers) {
        const ServerId id(server.server);
        const Term term = static_cast<Term>(server.term);
        opinion.term = std::max(opinion.term, term);
        takePresence(group.presence, server, now);
        ServerObservation &observation = group.observations[id];
        if (term < observation.term)
            continue; // another home has heard of it since
        group.addresses[id] = parseEndpoint(server.address);
        const ServerRole role = server.isPrimary ? ServerRole::Primary : ServerRole::Replica;
        observation = {id, term, role, fromWire(server.durable)};
        if (server.isPrimary && !server.voters.empty())
            group.announced = adoptionOf(database, server);
    }
    group.queuedReads = report.queuedReads;
    group.suspicion.report(home, opinion, now);
    group.isReported = true;
}

std::vector<GroupDemand> ChangeRole::demands() const
{
    const auto settings = m_settings.current();
    const TimePoint now = Clock::now();
    std::vector<GroupDemand> demands;
    const std::lock_guard lock(m_mutex);
    for (const auto &[database, group] : m_groups) {
        const auto found = settings->databases.find(database);
        const int wanted = found == settings->databases.end() ? DatabaseSettings().voters
                                                              : found->second.voters;
        demands.push_back(demandOf(database, group.presence, wanted, group.queuedReads, now));
    }
    return demands;
}

// ---- decisions ----

void ChangeRole::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const bool isLeader = m_log.load()->isLeader();
        noteLeading(isLeader, Clock::now());
        for (auto &[database, group] : m_groups) {
            recordAdoption(database, group);
            const bool isReported = std::exchange(group.isReported, false);
            if (!isLeader)
                group.change.reset(); // the next leader takes it up from the ledger
            else if (isReported || group.change)
                step(database, group, Clock::now());
        }
        m_changed.wait_for(lock, isAnyChangeOpen() ? RoundInterval : IdleInterval);
    }
}

void ChangeRole::noteLeading(bool isLeader, TimePoint now)
{
    if (isLeader == m_leadingSince.has_value())
        return;
    m_homeReports.clear(); // another leader has heard what changed meanwhile
    m_leadingSince = isLeader ? std::optional(now) : std::nullopt;
}

bool ChangeRole::isAnyChangeOpen() const
{
    return std::any_of(m_groups.begin(), m_groups.end(),
                       [](const auto &entry) { return entry.second.change != nullptr; });
}

void ChangeRole::step(const DatabaseName &database, Group &group, TimePoint now)
{
    const auto record = m_ledger.find(database);
    if (!record) {
        if (group.announced && !group.isProposing) {
            group.isProposing = true;
            enqueue(*group.announced);
        }
        return;
    }
    group.suspicion.setTimings(suspicionTimings());
    if (group.change)
        stepChange(database, group, *record, now);
    else if (group.suspicion.isChangeDue(record->term, now) && isGathered(database, group, now))
        startChange(database, group, *record, record->primary, {}, now);
    else if (record->isChangePending() || !record->pendingVoters.empty())
        startChange(database, group, *record, std::nullopt, {}, now); // an earlier leader's
    else if (const auto voters = repairedVoters(database, group, *record, now))
        startChange(database, group, *record, std::nullopt, *voters, now);
    else
        careForFollowers(database, group, *record, now);
}

bool ChangeRole::isGathered(const DatabaseName &database, const Group &group, TimePoint now) const
{
    const auto homes = m_directory.homesOf(database, placementRule(*m_settings.current(), database));
    return group.suspicion.isGathered(homes, *m_leadingSince, now);
}

void ChangeRole::stepChange(const DatabaseName &database, Group &group, const GroupRecord &record,
                            TimePoint now)
{
    PrimaryChange &change = *group.change;
    if (change.request().suspect && group.suspicion.isRecovered(record.term, now))
        perform(database, change.withdraw(now));
    perform(database, change.tick(now));
    if (change.isPublished()) {
        group.suspicion.onChangePublished(now);
        group.repair.onChangePublished(now);
    }
    if (change.isOver())
        group.change.reset();
}

std::optional<std::vector<ServerId>> ChangeRole::repairedVoters(const DatabaseName &database,
                                                                const Group &group,
                                                                const GroupRecord &record,
                                                                TimePoint now) const
{
    const auto settings = m_settings.current();
    const auto found = settings->databases.find(database);
    const int wanted = found == settings->databases.end() ? DatabaseSettings().voters
                                                          : found->second.voters;
    std::vector<VoterObservation> observations;
    for (const auto &[server, observation] : group.presence)
        observations.push_back(observation);
    return group.repair.voters(record, wanted, observations, now);
}

void ChangeRole::startChange(const DatabaseName &database, Group &group, const GroupRecord &record,
                             std::optional<ServerId> suspect, const std::vector<ServerId> &voters,
                             TimePoint now)
{
    ChangeRequest request;
    request.database = database;
    request.owner = m_identity.vm.text() + '-' + std::to_string(m_identity.incarnation) + '-'
            + std::to_string(++m_changes);
    request.suspect = std::move(suspect);
    request.voters = voters;
    group.cause = EventId();
    if (request.suspect) {
        group.cause = m_recorder.record(EventKind::PrimarySuspected,
                                        {.database = database, .term = record.term});
    }
    group.change = std::make_unique<PrimaryChange>(m_charts.chart("primary_change"),
                                                   ChangeTimings(), std::move(request), record);
    perform(database, group.change->start(now));
}

// ---- proposals ----

void ChangeRole::enqueue(const GroupCommand &command)
{
    m_proposals.push_back(command);
    m_proposed.notify_all();
}

void ChangeRole::propose()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (m_proposals.empty()) {
            m_proposed.wait(lock);
            continue;
        }
        const GroupCommand command = m_proposals.front();
        m_proposals.pop_front();
        lock.unlock();
        bool isCommitted = false;
        bool isUnknown = false;
        try {
            m_log.load()->propose({CommandKind::Group, encode(command)}, ProposalTime);
            isCommitted = true;
        } catch (const ProposalUnknownError &) {
            isUnknown = true;
        } catch (const ProposalError &) {
            // It is never committed.
        }
        const auto known = m_ledger.find(command.database);
        feed(command.database, [&](PrimaryChange &change) {
            return isCommitted && known ? change.onCommitted(command, *known, Clock::now())
                                        : change.onProposalFailed(command, Clock::now());
        });
        lock.lock();
        Group &group = m_groups.at(command.database);
        group.isProposing = false;
        if (command.kind == GroupCommandKind::Adopt && (isCommitted || isUnknown)) {
            group.unrecorded = command;
            group.unrecordedSince = Clock::now();
            recordAdoption(command.database, group);
        }
        m_changed.notify_all();
    }
}

void ChangeRole::recordAdoption(const DatabaseName &database, Group &group)
{
    // After a long cut another leader may have recorded it, and a later change may be under way.
    if (Clock::now() - group.unrecordedSince > LateAdoption)
        group.unrecorded.reset();
    const auto known = group.unrecorded ? m_ledger.find(database) : std::nullopt;
    if (!known)
        return;
    const GroupCommand adoption = *std::exchange(group.unrecorded, std::nullopt);
    const bool isOurs = known->term == adoption.term && known->primary == adoption.primary;
    if (isOurs && !std::exchange(group.isAdoptionRecorded, true))
        record(database, {EventKind::PrimaryPublished, adoption.term, adoption.primary, ""});
}

} // namespace nutmegtide
