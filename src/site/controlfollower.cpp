#include "site/controlfollower.h"

#include "site/eventloop.h"
#include "site/textcompression.h"

namespace nutmegtide {

namespace {

constexpr auto AskInterval = 300ms;
constexpr auto FastPollInterval = 100ms; // during fast polling, or after a failure
constexpr CallTimeouts UsualTimeouts {400ms, 400ms};
constexpr CallTimeouts FastPollTimeouts {100ms, 400ms}; // during fast polling

ControlConnectivity connectivityOf(const wire::FollowReply &reply)
{
    if (!reply.isCurrent)
        return ControlConnectivity::Disconnected;
    return reply.isMember ? ControlConnectivity::Member : ControlConnectivity::Follower;
}

} // namespace

ControlFollower::ControlFollower(PeerClients &peers, ControlVmSelector selector, OnView onView,
                                 OnConnectivity onConnectivity)
    : m_peers(peers)
    , m_onView(std::move(onView))
    , m_onConnectivity(std::move(onConnectivity))
    , m_selector(std::move(selector))
{ }

ControlFollower::~ControlFollower()
{
    stop();
}

void ControlFollower::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlFollower::stop()
{
    m_isStopping = true;
    m_signal.notify();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlFollower::setSeeds(const std::vector<Endpoint> &seeds)
{
    const std::lock_guard lock(m_mutex);
    m_selector.setSeeds(seeds);
}

void ControlFollower::setFolder(const std::string &folder)
{
    const std::lock_guard lock(m_mutex);
    m_folder = folder;
}

void ControlFollower::setAgedServices(std::vector<ServiceName> services)
{
    const std::lock_guard lock(m_mutex);
    m_agedServices = std::move(services);
}

void ControlFollower::setAsksChanges(bool asksChanges)
{
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        isNew = asksChanges && !m_asksChanges;
        m_asksChanges = asksChanges;
    }
    if (isNew)
        m_signal.notify();
}

void ControlFollower::setLanes(const std::string &lanes)
{
    {
        const std::lock_guard lock(m_mutex);
        m_lanes = lanes;
    }
    m_signal.notify();
}

void ControlFollower::setFastPolling(bool useFastPolling)
{
    m_useFastPolling = useFastPolling;
}

void ControlFollower::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
}

void ControlFollower::complain(std::vector<PrimaryComplaint> complaints)
{
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        isNew = complaints.size() > m_complaints.size();
        m_complaints = std::move(complaints);
    }
    if (isNew)
        m_signal.notify();
}

TimePoint ControlFollower::heardOtherDomainAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_heardOtherDomainAt;
}

void ControlFollower::run()
{
    while (!m_isStopping) {
        // The first answer after a pause is reported again.
        if (m_isPaused)
            m_isConnected.reset();
        const bool isAnswered = m_isPaused || ask();
        const bool isUrgent = !isAnswered || m_useFastPolling || m_mayLackServers || asksChanges();
        m_signal.restUntil(Clock::now() + (isUrgent ? FastPollInterval : AskInterval));
    }
}

bool ControlFollower::asksChanges() const
{
    const std::lock_guard lock(m_mutex);
    return m_asksChanges;
}

wire::FollowRequest ControlFollower::request() const
{
    wire::FollowRequest request;
    request.revision = static_cast<std::int64_t>(m_revision);
    request.folder = m_folder;
    request.lanes = m_lanes;
    request.homesVersion = m_homesVersion;
    if (m_recordedVersion)
        request.__set_recordedVersion(*m_recordedVersion);
    if (m_asksChanges)
        request.__set_asksChanges(true);
    for (const ServiceName &service : m_agedServices)
        request.agedServices.push_back(service.text());
    for (const PrimaryComplaint &complaint : m_complaints) {
        wire::PrimaryComplaint wireComplaint;
        wireComplaint.serviceName = complaint.service.text();
        wireComplaint.server = complaint.server.text();
        wireComplaint.sinceMilliseconds = complaint.since.count();
        request.complaints.push_back(wireComplaint);
    }
    return request;
}

// Returns whether a connected control VM answered.
bool ControlFollower::ask()
{
    std::optional<Endpoint> control;
    wire::FollowRequest asked;
    {
        const std::lock_guard lock(m_mutex);
        control = m_selector.next(EventLoop::now());
        if (!control)
            return false;
        asked = request();
        asked.directoryVersion = m_directoryVersions[*control];
    }
    std::string reason = "it has no connection to the control leader";
    // During the start all control VMs may have just started, so the same one is retried soon.
    // Later a quick retry would only alternate between control VMs.
    ControlFailure failure = m_useFastPolling ? ControlFailure::NotReady : ControlFailure::Silent;
    const TimePoint askedAt = EventLoop::now();
    const CallTimeouts &timeouts = m_useFastPolling ? FastPollTimeouts : UsualTimeouts;
    try {
        const auto reply = m_peers.call(*control, timeouts, [&](wire::PeerClient &client) {
            wire::FollowReply result;
            client.follow(result, m_peers.header(), asked);
            return result;
        });
        if (applyReply(*control, reply, askedAt)) {
            report(true, toString(*control));
            return true;
        }
    } catch (const PeerError &fault) {
        reason = fault.what();
        failure = ControlFailure::Silent;
    } catch (const wire::PeerRefusal &refusal) {
        reason = refusal.message;
    } catch (const Error &fault) {
        reason = fault.what();
    }
    const std::lock_guard lock(m_mutex);
    m_selector.failed(*control, failure, EventLoop::now());
    report(false, toString(*control) + ": " + reason);
    return false;
}

// Returns whether the answer is trusted.
bool ControlFollower::applyReply(const Endpoint &from, const wire::FollowReply &reply,
                                 TimePoint askedAt)
{
    ControlView view;
    view.from = from;
    view.askedAt = askedAt;
    view.proofs = fromWire(reply.proofs);
    std::vector<ControlLocation> controls;
    for (const wire::ControlVm &control : reply.controls)
        controls.push_back({parseEndpoint(control.peers), FailureDomain(control.failureDomain)});
    view.controls = controls;
    view.entryCount = reply.entryCount;
    if (!reply.leader.empty())
        view.leader = parseEndpoint(reply.leader);
    if (reply.__isset.configuration) {
        view.revision = static_cast<Revision>(reply.configuration.revision);
        view.configuration = reply.configuration.isCompressed ? decompress(reply.configuration.text)
                                                              : reply.configuration.text;
    }
    view.mayLackServers = reply.__isset.servers && reply.servers.size() >= MostDirectoryChanges;
    if (reply.__isset.servers) {
        ReceivedServers received = fromWire(reply.servers, askedAt);
        logRefusedServers(received, toString(from));
        view.servers = std::move(received.records);
    }
    if (reply.__isset.homes)
        view.homes = fromWire(reply.homes);
    view.recorded = recordedServersOf(reply);
    view.knowsRecorded = reply.__isset.recordedVersion;
    view.tellsChanges = reply.tellsChanges;
    if (reply.__isset.openChanges)
        view.openChanges = fromWire(reply.openChanges, askedAt);
    bool isTrusted = false;
    {
        const std::lock_guard lock(m_mutex);
        m_selector.learn(controls);
        isTrusted = m_selector.isTrusted(connectivityOf(reply));
        if (isTrusted)
            m_directoryVersions[from] = reply.directoryVersion;
        if (!m_selector.isOwnDomain(from))
            m_heardOtherDomainAt = EventLoop::now();
        if (isTrusted && view.configuration && view.revision > m_revision)
            m_revision = view.revision;
        if (isTrusted && view.homes)
            m_homesVersion = reply.homesVersion;
        if (isTrusted && view.recorded)
            m_recordedVersion = view.recorded->version;
        if (isTrusted && !view.knowsRecorded)
            m_recordedVersion.reset();
        if (isTrusted)
            m_selector.succeeded(from);
        m_mayLackServers = view.mayLackServers;
    }
    // A control VM that is itself disconnected may have outdated information.
    if (isTrusted)
        m_onView(view);
    return isTrusted;
}

void ControlFollower::report(bool isConnected, const std::string &reason)
{
    if (m_isConnected == isConnected)
        return;
    m_isConnected = isConnected;
    m_onConnectivity(isConnected, reason);
}

} // namespace nutmegtide
