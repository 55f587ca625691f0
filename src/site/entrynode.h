#pragma once

#include "nutmegtide/base/metrics.h"
#include "nutmegtide/proxy/sessionproxy.h"
#include "nutmegtide/settings/nodesettings.h"
#include "nutmegtide/site/adapters.h"
#include "serve/httpserver.h"
#include "site/controlfollower.h"
#include "site/eventloop.h"
#include "site/explainjson.h"
#include "site/homeport.h"
#include "site/lanelinks.h"
#include "site/loopquestion.h"
#include "site/siteidentity.h"
#include "site/sitelog.h"
#include "site/sitemetrics.h"

#include <atomic>
#include <memory>

namespace nutmegtide {

// An entry VM of a site. It connects the sessions of callers to backend servers, and polls the
// control VMs for the routes and the servers.
class EntryNode : private CallerEvents,
                  private ServerEvents,
                  private SessionProxyDelegate,
                  private CapBorrowerDelegate
{
public:
    // Throws ListenError.
    explicit EntryNode(const NodeSettings &settings);
    ~EntryNode() override;
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    // Serves until stop() has drained the sessions.
    void run();
    // Fails the load balancer's health checks, finishes what is in progress, and lets run()
    // return. Thread-safe.
    void stop();
    // Applies changed settings. Thread-safe.
    void reload(const NodeSettings &settings);

private:
    // How long the load balancer needs to notice a failing health check and stop sending callers.
    static constexpr Duration BalancerGrace = 2500ms;

    void sessionOpened(SessionKey session, const DatabaseName &database,
                       const KeyDigest &key) override;
    void statementReceived(SessionKey session, const SessionStatement &statement) override;
    void sessionClosed(SessionKey session, const std::string &reason) override;
    void callerLimited(SessionKey session, const std::string &reason) override;

    void connectionOpened(ConnectionKey connection) override;
    void connectionRefused(ConnectionKey connection, StatementFault fault) override;
    void replyReceived(ConnectionKey connection, const ServerReply &reply) override;
    void connectionLost(ConnectionKey connection, Loss loss) override;
    void connectionClosingSoon(ConnectionKey connection) override;

    void accept(SessionKey session) override;
    void answer(SessionKey session, const RequestId &request, const SessionAnswer &answer) override;
    void end(SessionKey session, std::optional<StatementFault> fault) override;
    void open(ConnectionKey connection, const ServerAnnouncement &server,
              const WorkspaceName &workspace) override;
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
              const Urgency &urgency) override;
    void close(ConnectionKey connection) override;
    void borrow(const WorkspaceName &workspace, int wanted) override;
    bool isReachable(const Endpoint &lender) override;
    void requestLoan(const Endpoint &lender, const WorkspaceName &workspace, LenderRole role,
                     int wanted, const std::vector<LoanHistory> &reports) override;
    void lent(const WorkspaceName &workspace, const CapLoan &loan) override;
    std::optional<ServerReplicationStatus> readStatus(const ServerReply &reply) override;
    void requestDecided(const RequestDecision &decision) override;
    void keyRefused(const KeyRefusal &refusal) override;
    void serverAssessed(const ServerAssessment &serverAssessment) override;

    void startHome();
    HomePort::OwnerView ownerOf(const WorkspaceName &workspace);
    void updateLenders();
    void applyRoutes(RouteTable table, const Endpoint &from);
    void applyView(const ControlView &view);
    void useServers(const Endpoint &from);
    void applyOpenChanges(const ControlView &view, TimePoint now);
    void askForOpenChanges();
    void afterEvents();
    void onWakeTime();
    void applyHomes(ServerHomes homes);
    void updateReadiness();
    void checkSuspicion(TimePoint now);
    void checkIsolation(TimePoint now);
    void refuseCallersIfCutOff(TimePoint now);
    HttpResponse answerHealth() const;
    HttpResponse answerOperators(const HttpRequest &request);
    using ExplainAnswer = std::variant<SiteExplanation, QuestionFault>;
    HttpResponse answerExplain(const HttpRequest &request);
    ExplainAnswer explain(const RouteQuestion &question) const;
    void logUnconfirmed(const RequestDecision &decision);
    void logLine(LogLevel level, const std::string &event, const std::vector<LogField> &fields);

    const NodeSettings m_settings;
    const Identity m_identity;
    MetricRegistry m_metrics;
    SiteMetrics m_counts {m_metrics};
    Recorder m_recorder;
    PeerClients m_peers;
    EventLoop m_loop;
    LogRateLimiter m_logLimiter;
    SessionProxy m_proxy;
    std::unique_ptr<CallerPort> m_callers;
    LaneLinks m_links;
    CapBorrower m_borrower;
    std::unique_ptr<HomePort> m_home; // null where this VM accepts no lanes
    ControlFollower m_follower;
    LoopQuestion<ExplainAnswer> m_explainQuestion;
    std::unique_ptr<HttpServer> m_health;
    std::unique_ptr<HttpServer> m_operators;
    Revision m_revision = 0; // of the active routes
    ServerRegistry m_registry;
    bool m_hasServerList = false;
    bool m_mayLackServers = false; // as the latest view says
    bool m_asksOpenChanges = false;
    std::optional<TimePoint> m_controlLostAt;
    std::optional<TimePoint> m_suspectedSince; // suspects that its failure domain is cut off
    std::optional<TimePoint> m_isolatedSince; // has confirmed that it is cut off
    bool m_isRefusingCallers = false;
    std::vector<PrimaryComplaint> m_complaints;
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_isSuspected = false;
    std::atomic<bool> m_isDraining = false;
    TimePoint m_drainStartedAt {};
};

} // namespace nutmegtide
