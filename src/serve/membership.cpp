#include "serve/membership.h"

#include "serve/gossipwire.h"

#include <random>

namespace nutmegtide {

namespace {

constexpr int Workers = 4;
constexpr std::size_t LongestQueue = 64; // calls; further ones count as unanswered

Member memberOf(const VmRecord &record)
{
    Member member;
    member.vm = record.vm;
    member.failureDomain = record.failureDomain;
    member.peers = record.peers;
    member.callers = record.callers;
    member.incarnation = record.incarnation;
    member.isControl = record.isControl;
    member.isDraining = record.isDraining;
    member.revision = record.revision;
    return member;
}

VmRecord recordOf(const Member &member)
{
    VmRecord record;
    record.vm = member.vm;
    record.failureDomain = member.failureDomain;
    record.peers = member.peers;
    record.callers = member.callers;
    record.incarnation = member.incarnation;
    record.isControl = member.isControl;
    record.isDraining = member.isDraining;
    record.revision = member.revision;
    return record;
}

std::chrono::milliseconds inMilliseconds(Duration time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

} // namespace

Membership::Membership(const NodeSettings &settings, const SettingsSource &fleetSettings,
                       Directory &directory, PeerClients &peers, Recorder &recorder)
    : m_settings(settings)
    , m_fleetSettings(fleetSettings)
    , m_directory(directory)
    , m_peers(peers)
    , m_recorder(recorder)
{ }

Membership::~Membership()
{
    leave();
}

void Membership::start(const VmRecord &self)
{
    const std::lock_guard lock(m_mutex);
    m_directory.put(self);
    m_gossip.emplace(GossipSettings(), memberOf(self), m_settings.seeds, std::random_device()());
    m_threads.emplace_back([this] { runRounds(); });
    for (int worker = 0; worker < Workers; ++worker)
        m_threads.emplace_back([this] { runCalls(); });
}

void Membership::setDraining()
{
    const std::lock_guard lock(m_mutex);
    m_gossip->setDraining();
    m_directory.put(recordOf(m_gossip->self()));
}

void Membership::leave()
{
    GossipActions notices;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return;
        m_isStopping = true;
        if (m_gossip)
            notices = m_gossip->leave();
    }
    m_wanted.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
    for (const GossipAction &notice : notices)
        exchange(std::get<GossipCall>(notice));
}

void Membership::runRounds()
{
    const Duration interval = GossipSettings().probeInterval;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_gossip->setRevision(m_fleetSettings.revision());
        const TimePoint started = Clock::now();
        perform(m_gossip->tick(started));
        m_wanted.wait_until(lock, started + interval, [this] { return m_isStopping; });
    }
}

void Membership::runCalls()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wanted.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        if (m_isStopping)
            return;
        const GossipCall call = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        const std::optional<GossipReply> reply = exchange(call);
        lock.lock();
        perform(reply ? m_gossip->onReply(call.id, *reply, Clock::now())
                      : m_gossip->onFailure(call.id, Clock::now()));
    }
}

std::optional<GossipReply> Membership::exchange(const GossipCall &call)
{
    try {
        const wire::Gossip message = toWire(call.message);
        return fromWire(
                m_peers.call(call.to, inMilliseconds(call.timeout), [&](wire::PeerClient &client) {
                    wire::GossipReply answer;
                    client.gossip(answer, m_peers.header(), message);
                    return answer;
                }));
    } catch (const Error &) {
        return std::nullopt;
    } catch (const wire::PeerRefusal &) {
        return std::nullopt;
    }
}

void Membership::perform(const GossipActions &actions)
{
    for (const GossipAction &action : actions) {
        if (const auto *change = std::get_if<MemberChange>(&action))
            apply(*change);
        const auto *call = std::get_if<GossipCall>(&action);
        if (call && m_queue.size() < LongestQueue)
            m_queue.push_back(*call);
        else if (call)
            perform(m_gossip->onFailure(call->id, Clock::now()));
    }
    m_wanted.notify_all();
}

void Membership::apply(const MemberChange &change)
{
    const Member &member = change.member;
    EventFields fields;
    fields.details = {{"member", member.vm.text()},
                      {"failure_domain", member.failureDomain.text()},
                      {"incarnation", std::to_string(member.incarnation)}};
    switch (change.kind) {
    case MemberChangeKind::Joined:
        m_suspicions.erase(member.vm);
        m_recorder.record(EventKind::MemberJoined, fields);
        break;
    case MemberChangeKind::Updated:
        m_suspicions.erase(member.vm);
        break;
    case MemberChangeKind::Suspected:
        m_suspicions[member.vm] = m_recorder.record(EventKind::MemberSuspected, fields);
        break;
    case MemberChangeKind::Died:
    case MemberChangeKind::Left:
        fields.details["state"] = change.kind == MemberChangeKind::Died ? "dead" : "left";
        m_recorder.record(EventKind::MemberDead, fields, m_suspicions[member.vm]);
        m_suspicions.erase(member.vm);
        break;
    }
    if (member.isPresent())
        m_directory.put(recordOf(member));
    else
        m_directory.remove(member.vm);
}

wire::GossipReply Membership::answer(const wire::Gossip &message)
{
    const GossipMessage taken = fromWire(message);
    std::unique_lock lock(m_mutex);
    if (!m_gossip)
        throw MessageError("membership has not started here");
    perform(m_gossip->onMessage(taken, Clock::now()));
    std::optional<GossipCall> probe;
    if (!taken.probeTarget.isEmpty())
        probe = m_gossip->relay(taken);
    std::optional<GossipReply> probed;
    if (probe) {
        lock.unlock();
        probed = exchange(*probe);
        lock.lock();
        perform(probed ? m_gossip->onReply(probe->id, *probed, Clock::now())
                       : m_gossip->onFailure(probe->id, Clock::now()));
    }
    GossipReply reply = m_gossip->answer(taken);
    reply.isAlive = taken.probeTarget.isEmpty() || probed.has_value();
    return toWire(reply);
}

} // namespace nutmegtide
