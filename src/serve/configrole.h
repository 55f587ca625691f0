#pragma once

#include "nutmegtide/fleet/configfollower.h"
#include "nutmegtide/settings/nodesettings.h"
#include "serve/configfile.h"
#include "serve/configsubmitter.h"
#include "serve/peerhandlers.h"
#include "serve/routes.h"
#include "serve/settingssource.h"

#include <condition_variable>
#include <future>
#include <thread>

namespace nutmegtide {

// Keeps the accepted configuration in force in this process: a thread carries out what the
// ConfigFollower decides on pushes, answers and time. On a control VM it also applies and
// decides submissions.
//
//   ConfigRole config(identity, settings, fleetSettings, directory, peers, recorder);
//   config.attach(controlLog); // on a control VM, with config.ledger() as its state machine
//   config.fill(peerHandlers, operatorRoutes);
//   config.start();
class ConfigRole
{
public:
    ConfigRole(const Identity &identity, const NodeSettings &settings, SettingsSource &inForce,
               Directory &directory, PeerClients &peers, Recorder &recorder);
    ~ConfigRole();
    ConfigRole(const ConfigRole &) = delete;
    ConfigRole &operator=(const ConfigRole &) = delete;

    // The state machine for CommandKind::Config.
    StateMachine &ledger() { return m_ledger; }
    // To be called before start(). The log must outlive the thread: see stop().
    void attach(ReplicatedLog &log);
    void fill(PeerHandlers &handlers, std::vector<HttpRoute> &routes);
    void start();
    void stop();

    // False after a start until it is known which revision is to be in force.
    bool isCaughtUp() const;

private:
    void run();
    void takeLedger();
    void publish();
    void enqueue(ConfigActions actions);
    void perform(const ConfigActions &actions);
    void perform(const PersistConfig &action);
    void perform(const ApplyConfig &action);
    void perform(const ReportUnreadableConfig &action);
    void perform(const PushConfig &action);
    void perform(const RequestConfig &action);
    void push(const PushConfig &action);
    void ask(const RequestConfig &action);
    void startCall(std::function<void()> call);
    void forgetFinishedCalls();
    std::vector<ConfigPeer> otherVms() const;
    HttpResponse answerGet() const;
    HttpResponse answerPost(const HttpRequest &request);
    void wake();

    const Identity &m_identity;
    SettingsSource &m_inForce;
    Directory &m_directory;
    PeerClients &m_peers;
    Recorder &m_recorder;
    const ConfigFile m_file;
    LedgerMachine m_ledger;
    ConfigSubmitter m_submitter;
    ReplicatedLog *m_log = nullptr; // none where this VM doesn't run control

    mutable std::mutex m_mutex; // guards what follows
    std::condition_variable m_changed;
    ConfigFollower m_follower;
    ConfigActions m_pending;
    bool m_isAwake = false; // there is something to do before the next tick
    bool m_isStopping = false;

    // Of the thread alone.
    std::vector<std::future<void>> m_calls;
    bool m_wasLeader = false;
    Revision m_published = 0;
    std::thread m_thread;
};

} // namespace nutmegtide
