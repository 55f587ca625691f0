#pragma once

#include "nutmegtide/base/metrics.h"
#include "nutmegtide/events/recorder.h"
#include "nutmegtide/settings/nodesettings.h"
#include "serve/announceapi.h"
#include "serve/callerapi.h"
#include "serve/changerole.h"
#include "serve/configrole.h"
#include "serve/controlapi.h"
#include "serve/controllog.h"
#include "serve/directory.h"
#include "serve/entryrunner.h"
#include "serve/groupreporter.h"
#include "serve/homegroups.h"
#include "serve/homerunner.h"
#include "serve/httpserver.h"
#include "serve/identity.h"
#include "serve/membership.h"
#include "serve/meteredrunner.h"
#include "serve/observedrunner.h"
#include "serve/peerclient.h"
#include "serve/peerhandlers.h"
#include "serve/peerserver.h"
#include "serve/powerrole.h"
#include "serve/routes.h"
#include "serve/settingssource.h"
#include "serve/statusrole.h"
#include "serve/timelinerole.h"
#include "serve/transactions.h"

#include <atomic>

namespace nutmegtide {

// One running VM of the system: its listeners and the roles behind them.
class Node
{
public:
    // Throws ListenError.
    explicit Node(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Refuses the balancer's checks, goes on serving what still arrives, and
    // returns once no statement has come for a while or the drain timeout is over.
    void drain();

private:
    // Each role adds what it answers to these before the listeners open.
    void fillPeerHandlers();
    void fillOperatorRoutes();
    void openListeners();
    HttpResponse handleCaller(const HttpRequest &request);
    HttpResponse health() const;
    wire::Header header();
    void attachEventFile();
    // Makes the control log where the settings name this VM as a control VM.
    void makeControlLog();
    void startControlLog();
    void startPower();
    void writePortFile() const;

    const NodeSettings m_settings;
    const Identity m_identity;
    MetricRegistry m_metrics;
    Recorder m_recorder;
    SettingsSource m_fleetSettings;
    Directory m_directory;
    PeerClients m_peers;
    HomeGroups m_groups;
    Transactions m_transactions;
    HomeRunner m_home;
    MeteredRunner m_meteredHome;
    EntryRunner m_entry;
    ObservedRunner m_observedEntry;
    MeteredRunner m_meteredEntry;
    Membership m_membership;
    ConfigRole m_config;
    CallerApi m_callerApi;
    AnnounceApi m_announceApi;
    TimelineRole m_timelineRole;
    StatusRole m_statusRole;
    GroupReporter m_groupReporter;
    ChangeRole m_changeRole;
    std::unique_ptr<ControlLog> m_controlLog; // null where this VM runs no control
    const ChartLibrary m_charts = ChartLibrary::embedded();
    PowerLedger m_powerLedger;
    std::unique_ptr<PowerRole> m_powerRole; // null without control or without a platform
    std::unique_ptr<ControlApi> m_controlApi; // the same
    std::atomic<bool> m_isDraining = false;
    PeerHandlers m_peerHandlers;
    std::vector<HttpRoute> m_operatorRoutes;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
};

} // namespace nutmegtide
