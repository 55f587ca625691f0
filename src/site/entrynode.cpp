#include "site/entrynode.h"

#include "base/descriptors.h"
#include "serve/httplimitlog.h"

#include <algorithm>
#include <random>

namespace nutmegtide {

namespace {

constexpr std::size_t EventBufferSize = 500; // events
constexpr int LinesPerSecond = 40; // for each log event
constexpr int HealthThreads = 2;
constexpr std::uint64_t LargestHealthBody = 1024; // bytes
constexpr std::chrono::milliseconds RequestTimeout {2000};
// Remaining open work is ended this long before the drain timeout, so that the process exits by
// itself.
constexpr auto DrainEndMargin = 900ms;
constexpr Duration ExplainTime = 1s; // for the event loop to answer an operator's question
constexpr int DrainTurns = 32; // of the loop, which takes 32 ready sockets or more in each
constexpr auto FlushMargin = 600ms; // the loop stops this long before the drain timeout
constexpr Duration StartTime = 2s; // for receiving the routes and processing held statements
// A leaving server gets no new work this long before its time ends, so that statements on their way
// to it can finish.
constexpr Duration LeaveMargin = 1s;
constexpr int LeaveMarginParts = 4; // the margin is at most 1/4 of a server's time to leave

HttpServer::Options healthOptions()
{
    return {HealthThreads, LargestHealthBody, RequestTimeout, true};
}

CapRule capRule(const CapSettings &caps)
{
    return {caps.window, caps.overage, static_cast<double>(caps.slack)};
}

// Returns how long a leaving server still gets new work.
Duration leaveTime(const NodeSettings &settings)
{
    const Duration allowed = settings.serverLeaveTime;
    if (allowed == Duration::zero())
        return Duration::max();
    return allowed - std::min(LeaveMargin, allowed / LeaveMarginParts);
}

} // namespace

EntryNode::EntryNode(const NodeSettings &settings)
    : m_settings(settings)
    , m_identity(siteIdentity(settings, settings.name.text()))
    , m_recorder({m_identity.vm, m_identity.failureDomain, 0}, EventBufferSize)
    , m_peers([this] { return headerOf(m_identity, m_recorder); })
    , m_logLimiter(LinesPerSecond)
    , m_proxy(*this, settings.failureDomain, std::random_device()())
    , m_links(
              m_loop, settings.name.text(), settings.failureDomain, *this,
              [this](const ServerId &server, ServerEvidence evidence) {
                  m_proxy.noteServerEvidence(server, evidence, EventLoop::now());
              },
              [this](const Endpoint &home, bool isReachable, const std::string &why) {
                  if (!isReachable)
                      m_borrower.lenderLost(home);
                  logLine(isReachable ? LogLevel::Info : LogLevel::Warning,
                          isReachable ? "home_reached" : "home_lost",
                          {{"home", toString(home)}, {"reason", why}});
              })
    , m_borrower(*this, settings.failureDomain)
    , m_follower(
              m_peers, ControlVmSelector(settings.failureDomain, seedPeers(settings)),
              [this](const ControlView &view) { m_loop.post([this, view] { applyView(view); }); },
              [this](bool isConnected, const std::string &reason) {
                  m_loop.post([this, isConnected, reason] {
                      m_controlLostAt.reset();
                      if (!isConnected) {
                          m_controlLostAt = EventLoop::now();
                          m_links.suspectCutOff(*m_controlLostAt);
                      }
                      logLine(isConnected ? LogLevel::Info : LogLevel::Warning,
                              isConnected ? "control_regained" : "control_lost",
                              {{"reason", reason}});
                  });
              })
    , m_explainQuestion([this](EventLoop::Task task) { m_loop.post(std::move(task)); }, ExplainTime)
{
    m_links.setOnLoan([this](const Endpoint &lender, const WorkspaceName &workspace,
                             LenderRole role, const CapLoan &loan) {
        m_borrower.answered(lender, workspace, role, loan, EventLoop::now());
    });
    m_proxy.setLeaveTime(leaveTime(settings));
    m_proxy.setRevocationTime(settings.revocationTime);
    m_proxy.setPatientObjective(settings.balancing.patientObjective);
    m_borrower.setRule(capRule(settings.caps));
    m_proxy.setStarting(EventLoop::now() + StartTime);
    m_callers = makeCallerPort(m_loop, settings.listen.callers,
                               callerLimits(settings.connections, mostDescriptors()), *this);
    const auto connections = makeHttpConnections(settings.connections,
                                                 {m_identity.vm, m_identity.failureDomain, "entry"},
                                                 &m_metrics);
    m_health = std::make_unique<HttpServer>(
            settings.listen.health, healthOptions(),
            [this](const HttpRequest &) { return answerHealth(); }, connections);
    m_operators = std::make_unique<HttpServer>(
            settings.listen.operators, healthOptions(),
            [this](const HttpRequest &request) { return answerOperators(request); }, connections);
    m_loop.afterEvents([this] { afterEvents(); });
    m_loop.onWakeTime([this] { onWakeTime(); });
    startHome();
    m_follower.start();
    logLine(LogLevel::Info, "node_started", {});
}

EntryNode::~EntryNode()
{
    m_follower.stop();
    m_health->stop();
    m_operators->stop();
}

void EntryNode::startHome()
{
    const Endpoint &lanes = m_settings.listen.lanes;
    if (lanes.address.empty())
        return;
    m_home = std::make_unique<HomePort>(
            m_loop, lanes, m_settings.name.text(), m_settings.failureDomain,
            linkLimits(m_settings.connections, mostDescriptors()),
            [this](const std::string &event, const std::string &reason) {
                logLine(LogLevel::Warning, event, {{"reason", reason}});
            },
            [this](const WorkspaceName &workspace) { return ownerOf(workspace); });
    m_home->setLeaveTime(leaveTime(m_settings));
    m_home->setCapRule(capRule(m_settings.caps));
    m_follower.setLanes(toString(lanes));
}

void EntryNode::run()
{
    m_loop.run();
    m_explainQuestion.close();
    // Closes the listeners, since this process no longer answers.
    m_callers.reset();
    m_home.reset();
    logLine(LogLevel::Info, "node_stopped", {{"sessions", std::to_string(m_proxy.sessionCount())}});
}

void EntryNode::stop()
{
    m_isReady = false;
    m_isDraining = true;
    // Sessions without a statement are ended, so statements that have arrived are read first: after
    // a long turn, as when a large configuration is applied, many wait on their sockets.
    m_loop.postAfter(DrainTurns, [this] {
        m_drainStartedAt = EventLoop::now();
        logLine(LogLevel::Info, "node_draining",
                {{"sessions", std::to_string(m_proxy.sessionCount())}});
        m_follower.setLanes("");
        if (m_home)
            m_home->leave();
        m_proxy.drain(m_drainStartedAt);
    });
}

void EntryNode::reload(const NodeSettings &settings)
{
    m_follower.setSeeds(seedPeers(settings));
    m_loop.post([this] { logLine(LogLevel::Info, "settings_reloaded", {}); });
}

void EntryNode::applyView(const ControlView &view)
{
    const TimePoint now = EventLoop::now();
    if (view.configuration && view.revision > m_revision) {
        try {
            applyRoutes(readConfiguration(*view.configuration), view.from);
        } catch (const RouteTableError &fault) {
            logLine(LogLevel::Error, "routes_refused",
                    {{"revision", std::to_string(view.revision)}, {"reason", fault.what()}});
        }
    }
    m_proxy.setEntryCount(view.entryCount);
    m_borrower.setEntryCount(view.entryCount);
    for (const AgedProof &proof : view.proofs)
        m_proxy.takeProof(proof.service, view.askedAt - proof.age, proof.position, now);
    if (!view.knowsRecorded)
        m_proxy.forgetRecordedServers();
    if (view.recorded) {
        logLine(LogLevel::Info, "recorded_servers_known",
                {{"count", std::to_string(view.recorded->servers.size())},
                 {"from", toString(view.from)}});
        m_proxy.setRecordedServers(view.recorded->servers);
    }
    applyOpenChanges(view, now);
    if (view.homes)
        applyHomes(*view.homes);
    m_mayLackServers = view.mayLackServers;
    if (view.servers) {
        bool isChanged = !m_hasServerList;
        for (const ServerRecord &record : *view.servers)
            isChanged = m_registry.merge(record, now) || isChanged;
        m_hasServerList = true;
        if (isChanged)
            useServers(view.from);
    }
    updateReadiness();
}

void EntryNode::useServers(const Endpoint &from)
{
    const std::vector<ServerRecord> present = m_registry.present();
    m_proxy.setServers(present, EventLoop::now());
    m_links.setServers(present);
    updateLenders();
    if (m_home)
        m_home->setServers(present);
    logLine(LogLevel::Info, "servers_known",
            {{"count", std::to_string(present.size())}, {"from", toString(from)}});
}

void EntryNode::applyOpenChanges(const ControlView &view, TimePoint now)
{
    m_proxy.setChangesTold(view.tellsChanges);
    if (m_home)
        m_home->vouches().setTold(view.tellsChanges);
    if (!view.openChanges)
        return;
    m_proxy.takeOpenChanges(*view.openChanges, now);
    if (m_home)
        m_home->vouches().learn(*view.openChanges, now);
}

void EntryNode::askForOpenChanges()
{
    const TimePoint now = EventLoop::now();
    const bool asks = m_proxy.needsOpenChanges(now) || (m_home && m_home->vouches().isAwaited(now));
    if (asks == std::exchange(m_asksOpenChanges, asks))
        return;
    m_follower.setAsksChanges(asks);
    logLine(LogLevel::Info, asks ? "open_changes_asked" : "open_changes_known", {});
}

void EntryNode::applyRoutes(RouteTable table, const Endpoint &from)
{
    const auto shared = std::make_shared<const RouteTable>(std::move(table));
    const RouteTable &routes = *shared;
    m_revision = routes.revision;
    m_counts.setRevision(m_revision);
    m_proxy.setRoutes(shared, EventLoop::now());
    const std::uint64_t before = m_registry.version();
    m_registry.addServices(routes.serviceNames(), EventLoop::now());
    if (m_hasServerList && m_registry.version() != before)
        useServers(from);
    std::map<ServiceName, int> limits;
    for (const auto &[name, service] : routes.services)
        limits[name] = service.maxConnections;
    m_links.setUsesAllHomes(routes.workspaces.has_value());
    m_borrower.setWorkspaces(routes.workspaces);
    if (m_home) {
        m_home->setConnectionLimits(std::move(limits));
        m_home->vouches().setServices(routes.confirmedServices());
        m_home->setBalancedServices(routes.balancedServices(m_settings.balancing.patientObjective));
        m_home->setWorkspaces(routes.workspaces);
    }
    const std::size_t workspaces = routes.workspaces ? routes.workspaces->workspaces().size() : 0;
    logLine(LogLevel::Info, "routes_in_force",
            {{"revision", std::to_string(m_revision)},
             {"from", toString(from)},
             {"workspaces", std::to_string(workspaces)}});
}

void EntryNode::applyHomes(ServerHomes homes)
{
    if (m_home)
        m_home->setHomes(homes, m_settings.listen.lanes);
    m_links.setHomes(std::move(homes));
    updateLenders();
}

void EntryNode::updateLenders()
{
    m_borrower.setCandidates(m_links.lenderCandidates(), EventLoop::now());
    m_links.setUnlistedLenders(m_borrower.unlistedLenders());
}

void EntryNode::updateReadiness()
{
    if (m_isDraining || m_isReady || m_isolatedSince || m_revision == 0)
        return;
    if (m_mayLackServers || !m_proxy.knowsServers())
        return;
    m_isReady = true;
    m_follower.setFastPolling(false);
    logLine(LogLevel::Info, "node_ready", {{"revision", std::to_string(m_revision)}});
}

void EntryNode::afterEvents()
{
    const TimePoint now = EventLoop::now();
    checkSuspicion(now);
    checkIsolation(now);
    refuseCallersIfCutOff(now);
    // An isolated VM can't tell a lost primary from its own isolation.
    std::vector<PrimaryComplaint> complaints;
    if (!m_isolatedSince)
        complaints = m_proxy.complaints(now);
    if (!complaints.empty() || !m_complaints.empty()) {
        m_complaints = complaints;
        m_follower.complain(std::move(complaints));
    }
    askForOpenChanges();
    m_counts.setSessions(m_proxy.sessionCount());
    m_links.flush();
    TimePoint wake = std::min({m_proxy.wakeAt(), m_links.wakeAt(), m_borrower.wakeAt()});
    m_counts.setReads(m_proxy.readCounts());
    if (m_home) {
        m_home->setCutOff(m_isolatedSince || m_suspectedSince);
        m_home->flush();
        m_counts.setResent(m_home->resentCount());
        m_counts.setUninformedLoans(m_home->uninformedLoanCount());
        wake = std::min(wake, m_home->wakeAt());
    }
    if (m_isDraining || m_isolatedSince || m_suspectedSince)
        wake = std::min(wake, now + 100ms);
    m_loop.wakeAt(wake);
}

void EntryNode::onWakeTime()
{
    const TimePoint now = EventLoop::now();
    m_proxy.tick(now);
    m_callers->tick(now);
    m_follower.setAgedServices(m_proxy.agedServices(now));
    m_links.tick(now);
    m_borrower.tick(now);
    m_links.setUnlistedLenders(m_borrower.unlistedLenders());
    if (m_home)
        m_home->tick(now);
    // stop() sets the flag on another thread, some turns before the drain starts.
    if (!m_isDraining || m_drainStartedAt == TimePoint())
        return;
    const Duration draining = now - m_drainStartedAt;
    if (draining >= m_settings.drainTimeout / 2)
        m_proxy.abortOpen(now);
    if (draining >= BalancerGrace) {
        m_proxy.refuseSessions();
        m_proxy.endIdle(now);
    }
    if (draining + DrainEndMargin >= m_settings.drainTimeout)
        m_proxy.abandonAll(now);
    const bool isDone = draining >= BalancerGrace && m_proxy.sessionCount() == 0
            && (!m_home || !m_home->isInUse());
    if (isDone || draining + FlushMargin >= m_settings.drainTimeout)
        m_loop.stop();
}

HttpResponse EntryNode::answerHealth() const
{
    HttpResponse response;
    const bool isReady = m_isReady && !m_isSuspected;
    response.status = isReady ? 200 : 503;
    response.body = isReady ? R"({"state":"serving"})" : R"({"state":"not ready"})";
    return response;
}

} // namespace nutmegtide
