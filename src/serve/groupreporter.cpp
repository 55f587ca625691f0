#include "serve/groupreporter.h"

#include "serve/announceapi.h"

#include <algorithm>

namespace nutmegtide {

namespace {

constexpr auto PollInterval = 10ms;
constexpr auto HomeCheckInterval = 200ms; // between looks at whether this VM is still home
constexpr auto ReportInterval = 1s;
constexpr auto SuspectedInterval = 200ms; // while a primary is suspected
constexpr auto AnswerTime = 500ms;
constexpr auto LostTime = 3s; // silence after which a server is on the time line as lost

wire::Position toWire(const LogPosition &position)
{
    wire::Position message;
    message.term = static_cast<std::int64_t>(position.term);
    message.index = static_cast<std::int64_t>(position.index);
    return message;
}

wire::ServerReport reportOf(const GroupServer &server, TimePoint now)
{
    const Announcement &said = server.said;
    wire::ServerReport report;
    report.server = said.server.text();
    report.address = toString(said.address);
    report.failureDomain = said.failureDomain.text();
    report.term = static_cast<std::int64_t>(said.term);
    report.isPrimary = said.role == ServerRole::Primary;
    report.last = toWire(said.last);
    report.durable = toWire(said.durable);
    report.state = static_cast<std::int32_t>(said.state);
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - server.heardAt);
    report.silentMilliseconds = silence.count();
    report.isRefusing = server.isRefusing;
    // An answer raises the term without voters, so older ones must not go with it.
    if (server.votersTerm == said.term) {
        for (const ServerId &voter : said.voters)
            report.voters.push_back(voter.text());
    }
    return report;
}

wire::GroupReport reportOf(const DatabaseName &database, const HomeGroup &group)
{
    wire::GroupReport report;
    report.database = database.text();
    report.isPrimarySuspected = group.isPrimarySuspected();
    for (const auto &[id, server] : group.servers())
        report.servers.push_back(reportOf(server, Clock::now()));
    return report;
}

} // namespace

GroupReporter::GroupReporter(const Identity &identity, const HomeGroups &groups,
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
    m_thread = std::thread([this] { run(); });
}

void GroupReporter::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    for (auto &[control, sender] : m_senders) {
        if (sender.joinable())
            sender.join();
    }
}

void GroupReporter::run()
{
    while (!m_isStopping) {
        for (const VmRecord &record : m_directory.all()) {
            if (record.isControl && m_senders.count(record.vm) == 0)
                m_senders[record.vm] = std::thread([this, vm = record.vm] { reportTo(vm); });
        }
        checkHomes();
        recordChanges();
        std::this_thread::sleep_for(PollInterval);
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
        if (std::find(homes.begin(), homes.end(), m_identity.vm) == homes.end())
            group.leave();
        const bool isHome = group.isHome();
        if (std::exchange(m_isHome[database], isHome) == isHome)
            continue;
        m_recorder.record(EventKind::HomeChanged,
                          {.database = database,
                           .term = group.term(),
                           .details = {{"home", isHome ? "yes" : "no"}}});
    }
}

void GroupReporter::recordChanges()
{
    for (const DatabaseName &database : m_groups.names()) {
        const HomeGroup &group = *m_groups.find(database);
        std::set<ServerId> &present = m_present[database];
        for (const auto &[id, server] : group.servers()) {
            const bool isLost = Clock::now() - server.heardAt > LostTime;
            if (isLost != (present.count(id) != 0))
                continue;
            const EventFields fields {.database = database,
                                      .term = server.said.term,
                                      .details = {{"server", id.text()}}};
            m_recorder.record(isLost ? EventKind::ServerLost : EventKind::ServerAnnounced, fields);
            if (isLost)
                present.erase(id);
            else
                present.insert(id);
        }
        const bool isSuspected = group.isPrimarySuspected();
        if (isSuspected && !m_suspected[database]) {
            m_recorder.record(EventKind::PrimarySuspected,
                              {.database = database, .term = group.term()});
        }
        m_suspected[database] = isSuspected;
    }
}

void GroupReporter::reportTo(const VmName &control)
{
    std::map<DatabaseName, Said> said;
    while (!m_isStopping) {
        std::vector<wire::GroupReport> reports;
        std::map<DatabaseName, Said> next;
        const TimePoint now = Clock::now();
        for (const DatabaseName &database : m_groups.names()) {
            const HomeGroup &group = *m_groups.find(database);
            const Said present {group.isPrimarySuspected(), group.term(), now};
            const auto before = said.find(database);
            const auto interval = present.isSuspected ? Duration(SuspectedInterval)
                                                      : Duration(ReportInterval);
            const bool isSame = before != said.end()
                    && before->second.isSuspected == present.isSuspected
                    && before->second.term == present.term;
            if (isSame && now - before->second.at < interval)
                continue;
            reports.push_back(reportOf(database, group));
            next[database] = present;
        }
        const auto record = m_directory.find(control);
        if (!reports.empty() && record && send(record->peers, reports)) {
            for (const auto &[database, present] : next)
                said[database] = present;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

bool GroupReporter::send(const Endpoint &control, const std::vector<wire::GroupReport> &reports)
{
    try {
        m_peers.call(control, AnswerTime, [&](wire::PeerClient &client) {
            wire::GroupReportReply reply;
            client.reportGroups(reply, m_peers.header(), reports);
            return reply;
        });
        return true;
    } catch (const PeerError &) {
        return false;
    } catch (const wire::PeerRefusal &) {
        return false;
    }
}

} // namespace nutmegtide
