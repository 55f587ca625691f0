#include "serve/groupreporter.h"

#include "serve/announceapi.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto AnswerTime = 500ms;
constexpr auto HomeCheckInterval = 1s; // between looks at whether this VM is still home
constexpr auto LongestRest = 1s; // settings that change the sight come without a message
constexpr auto SuspectedRest = 100ms; // a suspected primary that is heard again changes no message

wire::Position toWire(const LogPosition &position)
{
    wire::Position message;
    message.term = static_cast<std::int64_t>(position.term);
    message.index = static_cast<std::int64_t>(position.index);
    return message;
}

wire::ServerReport reportOf(const GroupServer &server, TimePoint now)
{
    const Announcement &announcement = server.announcement;
    wire::ServerReport report;
    report.server = announcement.server.text();
    report.address = toString(announcement.address);
    report.failureDomain = announcement.failureDomain.text();
    report.term = static_cast<std::int64_t>(announcement.term);
    report.isPrimary = announcement.role == ServerRole::Primary;
    report.last = toWire(announcement.last);
    report.durable = toWire(announcement.durable);
    report.state = static_cast<std::int32_t>(announcement.state);
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - server.heardAt);
    report.silentMilliseconds = silence.count();
    report.isRefusing = server.isRefusing;
    // An answer raises the term without voters, so older ones must not go with it.
    if (server.votersTerm == announcement.term) {
        for (const ServerId &voter : announcement.voters)
            report.voters.push_back(voter.text());
    }
    return report;
}

wire::GroupReport reportOf(const DatabaseName &database, const HomeGroup &group)
{
    wire::GroupReport report;
    report.database = database.text();
    report.isPrimarySuspected = group.sight().isSuspected;
    for (const auto &[id, server] : group.servers())
        report.servers.push_back(reportOf(server, Clock::now()));
    return report;
}

} // namespace

GroupReporter::GroupReporter(const Identity &identity, HomeGroups &groups,
                             const Directory &directory, const SettingsSource &settings,
                             PeerClients &peers, Recorder &recorder)
    : m_identity(identity)
    , m_groups(groups)
    , m_directory(directory)
    , m_settings(settings)
    , m_peers(peers)
    , m_recorder(recorder)
{ }

GroupReporter::~GroupReporter()
{
    stop();
}

void GroupReporter::start()
{
    m_watcher = std::thread([this] { watch(); });
    m_sender = std::thread([this] { report(); });
}

void GroupReporter::stop()
{
    m_isStopping = true;
    m_groups.sights().notify();
    m_sightsChanged.notify();
    for (std::thread *thread : {&m_watcher, &m_sender}) {
        if (thread->joinable())
            thread->join();
    }
}

// ---- watching ----

void GroupReporter::watch()
{
    while (!m_isStopping) {
        checkHomes();
        m_groups.sights().restUntil(takeSights());
    }
}

void GroupReporter::checkHomes()
{
    const TimePoint now = Clock::now();
    if (now - m_homesCheckedAt < HomeCheckInterval)
        return;
    m_homesCheckedAt = now;
    for (const DatabaseName &database : m_groups.allNames()) {
        HomeGroup &group = *m_groups.find(database);
        const auto homes = m_directory.homesOf(database,
                                               placementRule(*m_settings.current(), database));
        // A VM that became home and ceased to be it since the last look is on the time line with both.
        recordHome(database, group);
        if (std::find(homes.begin(), homes.end(), m_identity.vm) == homes.end())
            group.leave();
        recordHome(database, group);
    }
}

void GroupReporter::recordHome(const DatabaseName &database, const HomeGroup &group)
{
    const bool isHome = group.isHome();
    if (std::exchange(m_isHome[database], isHome) == isHome)
        return;
    m_recorder.record(EventKind::HomeChanged,
                      {.database = database,
                       .term = group.term(),
                       .details = {{"home", isHome ? "yes" : "no"}}});
}

TimePoint GroupReporter::takeSights()
{
    const TimePoint now = Clock::now();
    TimePoint due = now + LongestRest;
    ReportSchedule::Sights sights;
    for (const DatabaseName &database : m_groups.names()) {
        const HomeGroup &group = *m_groups.find(database);
        const GroupStatus sight = group.sight();
        due = std::min(
                {due, group.statusChangesAt(), sight.isSuspected ? now + SuspectedRest : due});
        recordChanges(database, sight);
        sights[database] = sight;
    }
    const std::lock_guard lock(m_mutex);
    if (sights != m_sights)
        m_sightsChanged.notify();
    m_sights = std::move(sights);
    return due;
}

void GroupReporter::recordChanges(const DatabaseName &database, const GroupStatus &sight)
{
    std::set<ServerId> &present = m_present[database];
    for (const auto &[id, server] : sight.servers) {
        if (server.isLost != (present.count(id) != 0))
            continue;
        const EventFields fields {.database = database,
                                  .term = server.term,
                                  .details = {{"server", id.text()}}};
        m_recorder.record(server.isLost ? EventKind::ServerLost : EventKind::ServerAnnounced,
                          fields);
        if (server.isLost)
            present.erase(id);
        else
            present.insert(id);
    }
    if (sight.isSuspected && !m_suspected[database])
        m_recorder.record(EventKind::PrimarySuspected, {.database = database, .term = sight.term});
    m_suspected[database] = sight.isSuspected;
}

// ---- reporting ----

void GroupReporter::report()
{
    ReportSchedule schedule;
    while (!m_isStopping) {
        const ReportSchedule::Sights sights = currentSights();
        const auto call = schedule.next(controls(), sights, Clock::now());
        if (!call) {
            m_sightsChanged.restUntil(schedule.dueAt(Clock::now()));
            continue;
        }
        if (const auto answer = send(*call))
            schedule.onAnswer(*call, sights, *answer, Clock::now());
        else
            schedule.onFailure(Clock::now());
    }
}

ReportSchedule::Sights GroupReporter::currentSights() const
{
    const std::lock_guard lock(m_mutex);
    return m_sights;
}

std::vector<VmName> GroupReporter::controls() const
{
    std::vector<VmName> controls;
    for (const VmRecord &record : m_directory.all()) {
        if (record.isControl)
            controls.push_back(record.vm);
    }
    return controls;
}

std::optional<ReportAnswer> GroupReporter::send(const ReportCall &call)
{
    const auto control = m_directory.find(call.control);
    if (!control)
        return std::nullopt;
    std::vector<wire::GroupReport> reports;
    for (const DatabaseName &database : call.databases)
        reports.push_back(reportOf(database, *m_groups.find(database)));
    try {
        const auto reply = m_peers.call(control->peers, AnswerTime, [&](wire::PeerClient &client) {
            wire::GroupReportReply answer;
            client.reportGroups(answer, m_peers.header(), reports);
            return answer;
        });
        return ReportAnswer {reply.isLeader, VmName(reply.leader),
                             static_cast<std::size_t>(reply.knownGroups)};
    } catch (const PeerError &) {
        return std::nullopt;
    } catch (const wire::PeerRefusal &) {
        return std::nullopt;
    }
}

} // namespace nutmegtide
