#include "serve/node.h"

#include "base/log.h"
#include "serve/httplimitlog.h"
#include "serve/peerservice.h"
#include "serve/wireconvert.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace nutmegtide {

namespace {

constexpr int OperatorThreads = 4;
constexpr std::size_t EventRingSize = 20'000; // events
constexpr std::uint64_t LargestEventFile = 16ULL * 1024 * 1024; // bytes
constexpr auto DrainPollInterval = 20ms;
// The balancer needs this long to see a failing health check and to look elsewhere.
constexpr auto BalancerGrace = 1s;

Identity makeIdentity(const NodeSettings &settings)
{
    const auto sinceEpoch = WallClock::now().time_since_epoch();
    const auto incarnation = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
    return {settings.fleet, settings.name, settings.failureDomain,
            static_cast<Incarnation>(incarnation.count())};
}

} // namespace

Node::Node(const NodeSettings &settings)
    : m_settings(settings)
    , m_identity(makeIdentity(settings))
    , m_recorder({m_identity.vm, m_identity.failureDomain, m_identity.incarnation}, EventRingSize)
    , m_peers([this] { return header(); }, m_settings.peerRoutes)
    , m_groups(m_identity.homeRun(), m_fleetSettings)
    , m_transactions(m_identity)
    , m_home(m_groups, m_transactions, m_fleetSettings, m_identity.failureDomain)
    , m_meteredHome(m_home)
    , m_entry(m_identity, m_directory, m_fleetSettings, m_peers, m_meteredHome, m_home)
    , m_observedEntry(m_entry, m_metrics, m_recorder)
    , m_meteredEntry(m_observedEntry)
    , m_membership(m_settings, m_fleetSettings, m_directory, m_peers, m_recorder)
    , m_config(m_identity, m_settings, m_fleetSettings, m_directory, m_peers, m_recorder)
    , m_callerApi(m_identity, m_fleetSettings, m_meteredEntry, m_entry)
    , m_announceApi(m_identity, m_directory, m_fleetSettings, m_groups)
    , m_timelineRole(m_identity, m_recorder, m_directory, m_peers)
    , m_statusRole(m_identity, m_fleetSettings, m_directory, m_groups, m_transactions)
    , m_groupReporter(m_identity, m_groups, m_directory, m_fleetSettings, m_peers, m_recorder)
    , m_changeRole(m_identity, m_fleetSettings, m_directory, m_recorder)
{
    attachEventFile();
    makeControlLog();
    fillPeerHandlers();
    fillOperatorRoutes();
    m_config.fill(m_peerHandlers, m_operatorRoutes);
    openListeners();
    VmRecord self;
    self.vm = m_identity.vm;
    self.failureDomain = m_identity.failureDomain;
    self.peers = m_peerServer->bound();
    self.callers = m_callerServer->bound();
    self.incarnation = m_identity.incarnation;
    self.isControl = m_controlLog != nullptr;
    m_membership.start(self);
    startControlLog();
    m_groupReporter.start();
    m_config.start();
    writePortFile();
    m_recorder.record(EventKind::NodeStarted);
}

void Node::attachEventFile()
{
    if (m_settings.dataDir.empty())
        return;
    std::filesystem::create_directories(m_settings.dataDir);
    m_recorder.attachFile(
            std::make_unique<EventFile>(m_settings.dataDir + "/events.jsonl", LargestEventFile));
}

void Node::makeControlLog()
{
    const auto &names = m_settings.control;
    const bool isNamed = std::find(names.begin(), names.end(), m_identity.vm) != names.end();
    if (!isNamed || m_settings.dataDir.empty())
        return;
    m_controlLog = std::make_unique<ControlLog>(m_settings, m_directory, m_peers, m_recorder);
    m_controlLog->registerMachine(CommandKind::Group, m_changeRole.ledger());
    m_controlLog->registerMachine(CommandKind::Config, m_config.ledger());
    m_controlLog->registerMachine(CommandKind::Power, m_powerLedger);
    m_config.attach(*m_controlLog);
    m_controlApi = std::make_unique<ControlApi>(*m_controlLog);
}

// A VM whose log can't be trusted stays out of control and goes on as a proxy.
void Node::startControlLog()
{
    if (!m_controlLog)
        return;
    try {
        m_controlLog->start();
        m_changeRole.start(*m_controlLog);
        startPower();
    } catch (const LogStorageError &fault) {
        logEvent(LogLevel::Error, "control_log_refused", {m_identity.vm},
                 {{"reason", fault.what()}});
    }
}

void Node::startPower()
{
    if (!m_settings.platform)
        return;
    m_powerRole = std::make_unique<PowerRole>(m_fleetSettings, m_recorder, m_charts, *m_controlLog,
                                              m_powerLedger, *m_settings.platform,
                                              [this] { return m_changeRole.demands(); });
    m_powerRole->start();
}

void Node::openListeners()
{
    const HeaderSource headerSource = [this] { return header(); };
    auto service = std::make_shared<PeerService>(m_identity, m_recorder, headerSource,
                                                 m_peerHandlers);
    PeerServer::Options peerOptions;
    peerOptions.limits = peerLimits(m_settings.connections);
    peerOptions.onLimited = peerLimitLog({m_identity.vm, m_identity.failureDomain, "proxy"});
    m_peerServer = std::make_unique<PeerServer>(m_settings.listen.peers, peerOptions,
                                                std::move(service));
    const HttpServer::Options callerOptions {m_settings.callerThreads,
                                             m_fleetSettings.current()->limits.largestBody};
    const LogContext context {m_identity.vm, m_identity.failureDomain, "proxy"};
    const auto connections = makeHttpConnections(m_settings.connections, context, &m_metrics);
    m_callerServer = std::make_unique<HttpServer>(
            m_settings.listen.callers, callerOptions,
            [this](const HttpRequest &request) { return handleCaller(request); }, connections);
    m_operatorServer = std::make_unique<HttpServer>(
            m_settings.listen.operators,
            HttpServer::Options {OperatorThreads, callerOptions.largestBody},
            [this](const HttpRequest &request) { return dispatch(m_operatorRoutes, request); },
            connections);
}

void Node::fillPeerHandlers()
{
    m_timelineRole.addTo(m_peerHandlers);
    m_peerHandlers.execute = [this](const Statement &statement) {
        return m_meteredHome.run(statement);
    };
    m_peerHandlers.requestFate = [this](const DatabaseName &database, const CallerId &caller,
                                        const RequestId &id) {
        return toWire(m_home.find(database, caller, id));
    };
    m_peerHandlers.gossip = [this](const wire::Header &, const wire::Gossip &message) {
        return m_membership.answer(message);
    };
    if (m_controlLog) {
        m_peerHandlers.raft = [this](const std::vector<wire::RaftMessage> &messages) {
            m_controlLog->receive(messages);
        };
        m_peerHandlers.reportGroups = [this](const wire::Header &from,
                                             const std::vector<wire::GroupReport> &reports) {
            return m_changeRole.report(from, reports);
        };
    }
}

void Node::fillOperatorRoutes()
{
    m_timelineRole.addTo(m_operatorRoutes);
    m_statusRole.addTo(m_operatorRoutes);
    if (m_controlApi) {
        m_controlApi->addTo(m_operatorRoutes);
        m_statusRole.addSection("control", [this] { return m_controlApi->status(); });
    }
    m_operatorRoutes.push_back({"POST", "/v1/drain", [](const HttpRequest &) {
                                    // The same as a signal from outside: serve() drains and ends.
                                    kill(getpid(), SIGTERM);
                                    HttpResponse response;
                                    response.body = R"({"state":"draining"})";
                                    return response;
                                }});
    m_operatorRoutes.push_back(
            {"GET", "/healthz", [this](const HttpRequest &) { return health(); }});
    m_operatorRoutes.push_back({"GET", "/metrics", [this](const HttpRequest &) {
                                    HttpResponse response;
                                    response.contentType = "text/plain; version=0.0.4";
                                    response.body = m_metrics.text();
                                    return response;
                                }});
}

Node::~Node()
{
    m_groupReporter.stop();
    m_membership.leave();
    m_callerServer->stop();
    m_operatorServer->stop();
    m_peerServer->stop();
    m_powerRole.reset();
    m_changeRole.stop();
    if (m_controlLog)
        m_controlLog->stop();
    m_config.stop();
    m_recorder.record(EventKind::NodeStopped);
}

void Node::writePortFile() const
{
    if (m_settings.portFile.empty())
        return;
    const Json ports {{"callers", toString(m_callerServer->bound())},
                      {"operators", toString(m_operatorServer->bound())},
                      {"peers", toString(m_peerServer->bound())}};
    const std::string temporary = m_settings.portFile + ".new";
    std::ofstream(temporary) << ports.dump() << '\n';
    std::filesystem::rename(temporary, m_settings.portFile);
}

wire::Header Node::header()
{
    return headerOf(m_identity, m_recorder);
}

HttpResponse Node::health() const
{
    HttpResponse response;
    if (m_isDraining) {
        response.status = 503;
        response.body = R"({"state":"draining"})";
    } else if (!m_config.isCaughtUp()) {
        response.status = 503;
        response.body = R"({"state":"starting"})";
    } else {
        response.body = R"({"state":"serving"})";
    }
    return response;
}

HttpResponse Node::handleCaller(const HttpRequest &request)
{
    if (request.path == "/healthz")
        return health();
    if (request.path == "/v1/announce" && request.method == "POST")
        return m_announceApi.announce(request);
    if (auto response = m_callerApi.handle(request))
        return *response;
    HttpResponse response = errorResponse({StatementFailure::BadRequest, Ran::No,
                                           "no such path: " + request.path},
                                          {});
    response.status = 404;
    return response;
}

void Node::drain()
{
    m_isDraining = true;
    m_recorder.record(EventKind::NodeDraining);
    m_membership.setDraining();
    m_callerServer->closeAfterAnswer();
    const TimePoint start = Clock::now();
    const TimePoint latest = start + m_settings.drainTimeout;
    while (Clock::now() < latest) {
        const TimePoint quietSince = Clock::now() - BalancerGrace;
        const bool isQuiet = m_meteredEntry.isQuietSince(quietSince)
                && m_meteredHome.isQuietSince(quietSince) && m_transactions.open() == 0;
        if (isQuiet && quietSince > start)
            return;
        std::this_thread::sleep_for(DrainPollInterval);
    }
}

} // namespace nutmegtide
