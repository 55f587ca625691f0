#include "serve/membership.h"

namespace nutmegtide {

namespace {

constexpr auto RoundInterval = 200ms;
constexpr auto AnswerTime = 500ms;

wire::MemberUpdate toWire(const VmRecord &record)
{
    wire::MemberUpdate update;
    update.vm = record.vm.text();
    update.failureDomain = record.failureDomain.text();
    update.peerEndpoint = toString(record.peers);
    update.callerEndpoint = toString(record.callers);
    update.incarnation = static_cast<std::int64_t>(record.incarnation);
    update.state = wire::MemberState::ALIVE;
    update.isControl = record.isControl;
    update.isDraining = record.isDraining;
    update.revision = static_cast<std::int64_t>(record.revision);
    return update;
}

VmRecord fromWire(const wire::MemberUpdate &update)
{
    VmRecord record;
    record.vm = VmName(update.vm);
    record.failureDomain = FailureDomain(update.failureDomain);
    record.peers = parseEndpoint(update.peerEndpoint);
    record.callers = parseEndpoint(update.callerEndpoint);
    record.incarnation = static_cast<Incarnation>(update.incarnation);
    record.isControl = update.isControl;
    record.isDraining = update.isDraining;
    record.revision = static_cast<Revision>(update.revision);
    return record;
}

} // namespace

Membership::Membership(const Identity &identity, const NodeSettings &settings, Directory &directory,
                       PeerClients &peers)
    : m_identity(identity)
    , m_settings(settings)
    , m_directory(directory)
    , m_peers(peers)
{ }

Membership::~Membership()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Membership::start(const VmRecord &self)
{
    m_directory.put(self);
    m_thread = std::thread([this] { run(); });
}

void Membership::setDraining()
{
    auto self = m_directory.find(m_identity.vm);
    if (!self)
        return;
    self->isDraining = true;
    m_directory.put(*self);
}

void Membership::run()
{
    while (!m_isStopping) {
        for (const Endpoint &seed : m_settings.seeds) {
            if (seed != m_settings.listen.peers)
                askSeed(seed);
        }
        std::this_thread::sleep_for(RoundInterval);
    }
}

void Membership::askSeed(const Endpoint &seed)
{
    wire::Gossip message;
    message.wantsAll = true;
    if (const auto self = m_directory.find(m_identity.vm))
        message.updates.push_back(toWire(*self));
    try {
        const auto reply = m_peers.call(seed, AnswerTime, [&](wire::PeerClient &client) {
            wire::GossipReply answer;
            client.gossip(answer, m_peers.header(), message);
            return answer;
        });
        take(reply.updates);
    } catch (const PeerError &) {
        return;
    } catch (const wire::PeerRefusal &) {
        return;
    }
}

wire::GossipReply Membership::answer(const wire::Gossip &message)
{
    take(message.updates);
    wire::GossipReply reply;
    reply.isAlive = true;
    for (const VmRecord &record : m_directory.all())
        reply.updates.push_back(toWire(record));
    return reply;
}

void Membership::take(const std::vector<wire::MemberUpdate> &updates)
{
    for (const wire::MemberUpdate &update : updates) {
        const VmRecord record = fromWire(update);
        const auto known = m_directory.find(record.vm);
        const bool isNewer = !known || known->incarnation < record.incarnation
                || (known->incarnation == record.incarnation && record.isDraining);
        if (isNewer && record.vm != m_identity.vm)
            m_directory.put(record);
    }
}

} // namespace nutmegtide
