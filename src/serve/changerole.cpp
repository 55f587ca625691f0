#include "serve/changerole.h"

#include "serve/announceapi.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto RoundInterval = 20ms; // the longest wait for a due decision of an open change
constexpr auto IdleInterval = 500ms; // without one, only reports bring decisions
constexpr auto AnswerTime = 1s; // of one exchange with a backend server
constexpr auto BarrierWait = 100ms; // of one long poll for the barrier
constexpr auto ProposalTime = 3s;
constexpr std::size_t FollowSlot = std::variant_size_v<ChangeAction>; // beyond those of a change

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

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
void takePresence(std::map<ServerId, VoterSighting> &presence, const wire::ServerReport &server,
                  TimePoint now)
{
    const ServerId id(server.server);
    const TimePoint heardAt = now - std::chrono::milliseconds(server.silentMilliseconds);
    VoterSighting &known = presence[id];
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
    return m_homeReports.countOf(home);
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
        ServerSighting &sighting = group.sightings[id];
        if (term < sighting.term)
            continue; // another home has heard of it since
        group.addresses[id] = parseEndpoint(server.address);
        const ServerRole role = server.isPrimary ? ServerRole::Primary : ServerRole::Replica;
        sighting = {id, term, role, fromWire(server.durable)};
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
        group.suspicion.noteChange(now);
        group.repair.noteChange(now);
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
    std::vector<VoterSighting> sightings;
    for (const auto &[server, sighting] : group.presence)
        sightings.push_back(sighting);
    return group.repair.voters(record, wanted, sightings, now);
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

void ChangeRole::careForFollowers(const DatabaseName &database, Group &group,
                                  const GroupRecord &record, TimePoint now)
{
    const auto primary = group.addresses.find(record.primary);
    if (primary == group.addresses.end())
        return;
    std::vector<ServerSighting> sightings;
    for (const auto &[server, sighting] : group.sightings)
        sightings.push_back(sighting);
    for (const ServerId &server : group.care.straying(record, sightings, now)) {
        const FollowRequest request {record.term, primary->second, record.voters};
        post(database, server, FollowSlot,
             [request](BackendConnection &connection) { connection.follow(request, AnswerTime); });
    }
}

// ---- actions ----

void ChangeRole::perform(const DatabaseName &database, const ChangeActions &actions)
{
    for (const ChangeAction &action : actions)
        performOne(database, action);
}

template <typename Answer>
void ChangeRole::feed(const DatabaseName &database, const Answer &answer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_groups.find(database);
    if (found == m_groups.end() || !found->second.change || m_isStopping)
        return;
    perform(database, answer(*found->second.change));
    m_changed.notify_all();
}

template <typename Exchange>
ServerWorkers::Job ChangeRole::guarded(const DatabaseName &database, Term term, Exchange exchange)
{
    return [this, database, term, exchange](BackendConnection &connection) {
        try {
            exchange(connection);
        } catch (const RefusedByServer &refused) {
            const Term own = refused.refusal().term;
            feed(database, [&](PrimaryChange &change) {
                return change.onStaleTerm(term, own, Clock::now());
            });
        }
    };
}

void ChangeRole::performOne(const DatabaseName &database, const ChangeAction &action)
{
    const std::size_t slot = action.index();
    std::visit(Overloaded {
                       [&](const ProbeServer &probe) {
                           post(database, probe.server, slot,
                                guarded(database, 0, [=, this](BackendConnection &connection) {
                                    const auto reply = connection.position(0, {}, 0ms, AnswerTime);
                                    feed(database, [&](PrimaryChange &change) {
                                        return change.onProbed(probe.server, reply, Clock::now());
                                    });
                                }));
                       },
                       [&](const FenceServer &fence) {
                           post(database, fence.server, slot,
                                guarded(database, fence.term,
                                        [=, this](BackendConnection &connection) {
                                            const auto reply = connection.fence({fence.term},
                                                                                AnswerTime);
                                            feed(database, [&](PrimaryChange &change) {
                                                return change.onFenced(fence.server, reply,
                                                                       Clock::now());
                                            });
                                        }));
                       },
                       [&](const PromoteServer &promote) {
                           post(database, promote.server, slot,
                                guarded(database, promote.term,
                                        [=, this](BackendConnection &connection) {
                                            const auto reply = connection.promote({promote.term,
                                                                                   promote.voters},
                                                                                  AnswerTime);
                                            feed(database, [&](PrimaryChange &change) {
                                                return change.onPromoted(promote.server, reply,
                                                                         Clock::now());
                                            });
                                        }));
                       },
                       [&](const FollowServer &follow) {
                           const Endpoint primary = m_groups.at(database).addresses[follow.primary];
                           const FollowRequest request {follow.term, primary, follow.voters};
                           post(database, follow.server, slot,
                                guarded(database, follow.term, [=](BackendConnection &connection) {
                                    connection.follow(request, AnswerTime);
                                }));
                       },
                       [&](const WatchBarrier &watch) {
                           // A position is waited past, so the entry before the barrier is named.
                           const LogPosition before {watch.barrier.term, watch.barrier.index - 1};
                           post(database, watch.server, slot,
                                guarded(database, 0, [=, this](BackendConnection &connection) {
                                    const auto reply = connection.position(watch.term, before,
                                                                           BarrierWait,
                                                                           BarrierWait + AnswerTime);
                                    feed(database, [&](PrimaryChange &change) {
                                        return change.onPosition(watch.server, reply, Clock::now());
                                    });
                                }));
                       },
                       [&](const ProposeGroup &proposal) { enqueue(proposal.command); },
                       [&](const RecordChange &event) { record(database, event); },
               },
               action);
}

void ChangeRole::post(const DatabaseName &database, const ServerId &server, std::size_t slot,
                      const ServerWorkers::Job &job)
{
    const auto &addresses = m_groups.at(database).addresses;
    const auto address = addresses.find(server);
    if (address != addresses.end())
        m_workers.post(server, address->second, slot, job);
}

void ChangeRole::record(const DatabaseName &database, const RecordChange &event)
{
    EventFields fields;
    fields.database = database;
    fields.term = event.term;
    if (!event.server.isEmpty())
        fields.details["server"] = event.server.text();
    if (!event.why.empty())
        fields.details["why"] = event.why;
    EventId &cause = m_groups.at(database).cause;
    cause = m_recorder.record(event.kind, fields, cause);
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
        try {
            m_log.load()->propose({CommandKind::Group, encode(command)}, ProposalTime);
            isCommitted = true;
        } catch (const NotLeaderError &) {
            isCommitted = false;
        } catch (const ProposalUnknownError &) {
            isCommitted = false;
        }
        const auto known = m_ledger.find(command.database);
        feed(command.database, [&](PrimaryChange &change) {
            return isCommitted && known ? change.onCommitted(command, *known, Clock::now())
                                        : change.onProposalFailed(command, Clock::now());
        });
        lock.lock();
        m_groups.at(command.database).isProposing = false;
        if (isCommitted && command.kind == GroupCommandKind::Adopt)
            record(command.database,
                   {EventKind::PrimaryPublished, command.term, command.primary, ""});
        m_changed.notify_all();
    }
}

} // namespace nutmegtide
