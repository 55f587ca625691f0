#include "serve/configrole.h"

#include "base/log.h"
#include "nutmegtide/base/text.h"
#include "serve/configwire.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmegtide {

namespace {

constexpr auto TickInterval = 50ms;
constexpr auto PushTimeout = 1s;
constexpr auto AnswerTimeout = 500ms;
constexpr const char *Path = "/v1/config";

// A majority of the control VMs, as far as it can be found beside this one.
ConfigFollower::Options followerOptions(const NodeSettings &settings)
{
    const std::size_t majority = settings.control.size() / 2 + 1;
    const auto others = std::count_if(settings.control.begin(), settings.control.end(),
                                      [&](const VmName &vm) { return vm != settings.name; });
    ConfigFollower::Options options;
    options.requiredAnswers = std::min(majority, static_cast<std::size_t>(others));
    return options;
}

// A damaged file counts as none: the other VMs hold the revision, too.
ConfigRevision readOrNone(const ConfigFile &file)
{
    try {
        return file.read();
    } catch (const ConfigFileError &error) {
        logEvent(LogLevel::Error, "config_file_damaged", {}, {{"reason", error.what()}});
        return {};
    }
}

} // namespace

ConfigRole::ConfigRole(const Identity &identity, const NodeSettings &settings,
                       SettingsSource &inForce, Directory &directory, PeerClients &peers,
                       Recorder &recorder)
    : m_identity(identity)
    , m_inForce(inForce)
    , m_directory(directory)
    , m_peers(peers)
    , m_recorder(recorder)
    , m_file(settings.dataDir)
    , m_ledger([this] { wake(); })
    , m_submitter(identity, directory, peers, recorder, m_ledger)
    , m_follower(followerOptions(settings), readOrNone(m_file), Clock::now(), identity.incarnation)
{ }

ConfigRole::~ConfigRole()
{
    stop();
}

void ConfigRole::attach(ReplicatedLog &log)
{
    m_log = &log;
    m_submitter.attach(log);
}

void ConfigRole::fill(PeerHandlers &handlers, std::vector<HttpRoute> &routes)
{
    handlers.submitConfig = [this](const wire::ConfigSubmission &submission) {
        return toWire(m_submitter.decideHere(fromWire(submission)));
    };
    handlers.pushConfig = [this](const wire::ConfigPush &push) {
        const std::lock_guard lock(m_mutex);
        enqueue(m_follower.onPush(fromWire(push.revision), onwardOf(push)));
    };
    handlers.fetchConfig = [this](Revision after) {
        const std::lock_guard lock(m_mutex);
        return toPage(m_follower.pageAfter(after), m_follower.latest().revision);
    };
    routes.push_back({"GET", Path, [this](const HttpRequest &) { return answerGet(); }});
    routes.push_back(
            {"POST", Path, [this](const HttpRequest &request) { return answerPost(request); }});
}

void ConfigRole::start()
{
    m_thread = std::thread([this] { run(); });
}

void ConfigRole::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    m_calls.clear(); // waits for their ends
}

bool ConfigRole::isCaughtUp() const
{
    const std::lock_guard lock(m_mutex);
    return m_follower.isCaughtUp() && m_inForce.revision() >= m_follower.inForce();
}

void ConfigRole::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_isAwake = false;
        ConfigActions actions = std::exchange(m_pending, {});
        lock.unlock();
        perform(actions);
        takeLedger();
        publish();
        forgetFinishedCalls();
        const std::vector<ConfigPeer> peers = otherVms();
        lock.lock();
        enqueue(m_follower.tick(Clock::now(), peers));
        m_changed.wait_for(lock, TickInterval, [this] { return m_isAwake || m_isStopping; });
    }
}

void ConfigRole::takeLedger()
{
    const ConfigRevision latest = m_ledger.latest();
    const std::lock_guard lock(m_mutex);
    enqueue(m_follower.onAccepted(latest));
}

// A new leader publishes as well: the old one may have died before its pushes.
void ConfigRole::publish()
{
    const bool isLeader = m_log != nullptr && m_log->isLeader();
    const Revision accepted = m_ledger.revision();
    if (isLeader && (!m_wasLeader || accepted > m_published)) {
        const std::vector<ConfigPeer> peers = otherVms();
        const std::lock_guard lock(m_mutex);
        enqueue(m_follower.publish(peers));
        m_published = m_follower.latest().revision;
    }
    m_wasLeader = isLeader;
}

// The caller holds the mutex.
void ConfigRole::enqueue(ConfigActions actions)
{
    if (actions.empty())
        return;
    std::move(actions.begin(), actions.end(), std::back_inserter(m_pending));
    m_isAwake = true;
    m_changed.notify_all();
}

void ConfigRole::wake()
{
    const std::lock_guard lock(m_mutex);
    m_isAwake = true;
    m_changed.notify_all();
}

void ConfigRole::perform(const ConfigActions &actions)
{
    for (const ConfigAction &action : actions)
        std::visit([this](const auto &alternative) { perform(alternative); }, action);
}

void ConfigRole::perform(const PersistConfig &action)
{
    try {
        m_file.write(action.revision);
    } catch (const ConfigFileError &error) {
        logEvent(LogLevel::Error, "config_not_written", {m_identity.vm},
                 {{"revision", std::to_string(action.revision.revision)}, {"reason", error.what()}});
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_follower.onPersisted(action.revision.revision);
}

void ConfigRole::perform(const ApplyConfig &action)
{
    if (!m_inForce.replace(action.revision, action.settings))
        return;
    m_directory.setRevision(m_identity.vm, action.revision);
    EventFields fields;
    fields.details["revision"] = std::to_string(action.revision);
    m_recorder.record(EventKind::ConfigInForce, fields);
}

void ConfigRole::perform(const ReportUnreadableConfig &action)
{
    logEvent(LogLevel::Error, "config_unreadable", {m_identity.vm},
             {{"revision", std::to_string(action.revision)}, {"reason", action.fault}});
}

void ConfigRole::perform(const PushConfig &action)
{
    startCall([this, action] { push(action); });
}

void ConfigRole::perform(const RequestConfig &action)
{
    startCall([this, action] { ask(action); });
}

void ConfigRole::push(const PushConfig &action)
{
    try {
        const auto peer = m_directory.find(action.receiver);
        if (!peer)
            throw PeerError(action.receiver.text() + " isn't known here", false);
        m_peers.call(peer->peers, PushTimeout, [&](wire::PeerClient &client) {
            client.pushConfig(m_peers.header(), toWire(action));
        });
        return;
    } catch (const PeerError &) {
        // The follower decides below what a push without an answer means.
    } catch (const wire::PeerRefusal &) {
        // The same.
    }
    const std::lock_guard lock(m_mutex);
    enqueue(m_follower.onPushFailed(action));
}

void ConfigRole::ask(const RequestConfig &action)
{
    const auto peer = m_directory.find(action.peer);
    if (!peer)
        return;
    try {
        const auto page = m_peers.call(peer->peers, AnswerTimeout, [&](wire::PeerClient &client) {
            wire::ConfigPage answer;
            client.fetchConfig(answer, m_peers.header(), static_cast<std::int64_t>(action.after));
            return answer;
        });
        const std::lock_guard lock(m_mutex);
        enqueue(m_follower.onPage(action.peer, fromWire(page)));
    } catch (const PeerError &) {
        // The next round asks another peer.
    } catch (const wire::PeerRefusal &) {
        // The same.
    }
}

// A call may wait for a dead peer, which must delay neither the disk nor the other calls.
void ConfigRole::startCall(std::function<void()> call)
{
    m_calls.push_back(std::async(std::launch::async, std::move(call)));
}

void ConfigRole::forgetFinishedCalls()
{
    const auto isFinished = [](const std::future<void> &call) {
        return call.wait_for(0ms) == std::future_status::ready;
    };
    m_calls.erase(std::remove_if(m_calls.begin(), m_calls.end(), isFinished), m_calls.end());
}

std::vector<ConfigPeer> ConfigRole::otherVms() const
{
    std::vector<ConfigPeer> peers;
    for (const VmRecord &record : m_directory.all()) {
        if (record.vm != m_identity.vm)
            peers.push_back({record.vm, record.failureDomain, record.isControl});
    }
    return peers;
}

HttpResponse ConfigRole::answerGet() const
{
    nlohmann::json json;
    {
        const std::lock_guard lock(m_mutex);
        const ConfigRevision &latest = m_follower.latest();
        json = {{"revision", latest.revision},
                {"toml", latest.toml},
                {"change_id", latest.changeId.text()},
                // The follower decides before the revision is written and put in force.
                {"in_force", m_inForce.revision()}};
    }
    HttpResponse response;
    response.body = encodeJsonLossy(json);
    return response;
}

HttpResponse ConfigRole::answerPost(const HttpRequest &request)
{
    try {
        return toHttp(m_submitter.submit(submissionFromJson(request.body)));
    } catch (const MessageError &error) {
        return toHttp({ConfigOutcome::Invalid, 0, {}, error.what()});
    }
}

} // namespace nutmegtide
