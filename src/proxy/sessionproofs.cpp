// Part of SessionProxy that gets proofs of position from primaries.
#include "nutmegtide/proxy/sessionproxy.h"

namespace nutmegtide {

namespace {

constexpr auto ProofMaxWait = 100ms; // for a proof at the home of the primary
// Proofs of a service are requested for so long after a read of bounded staleness.
constexpr auto AgedReadTime = 5s;
// Proofs are requested before the first read of up to so many services, since each request for
// proofs names them all.
constexpr std::size_t MostProvedAhead = 64;

} // namespace

void SessionProxy::takeProof(const ServiceName &service, TimePoint askedAt,
                             const LogPosition &position, TimePoint now)
{
    m_proofs[service].proofs.add(askedAt, position);
    routeProved(service, now);
}

void SessionProxy::findBalancedServices()
{
    m_balanced = m_routes->balancedServices(m_patientObjective);
    m_pool.setBalancedServices(m_balanced);
    m_agedBalanced.clear();
    for (const auto &[database, route] : m_routes->routes) {
        if (route.consistency != Consistency::Latest && m_balanced.count(route.service) != 0)
            m_agedBalanced.insert(route.service);
    }
}

std::vector<ServiceName> SessionProxy::agedServices(TimePoint now) const
{
    // A balanced service's proofs are wanted before its first read, which could use no replica
    // otherwise: a proof that is asked for then names a position that replicas don't have yet.
    std::set<ServiceName> services;
    if (m_agedBalanced.size() <= MostProvedAhead)
        services = m_agedBalanced;
    for (const auto &[service, proof] : m_proofs) {
        if (proof.agedReadAt && now - *proof.agedReadAt < AgedReadTime)
            services.insert(service);
    }
    return {services.begin(), services.end()};
}

// Requests a proof, unless one is already requested. It serves every waiting read that arrived
// before it was sent.
void SessionProxy::askProof(const ServiceName &service, TimePoint now)
{
    ProofState &proof = m_proofs[service];
    if (proof.isAsked)
        return;
    const auto primary = m_pool.primary(service, now);
    if (!primary)
        return proofFailed(service, now);
    proof.isAsked = true;
    proof.connection = 0;
    acquire({0, service}, *primary, now);
}

void SessionProxy::sendProof(const ServiceName &service, ConnectionKey connection, TimePoint now)
{
    ProofState &proof = m_proofs[service];
    proof.connection = connection;
    proof.sentAt = now;
    ServerConnection &held = *m_pool.connection(connection);
    held.expected.push_back(Expectation::Proof);
    held.expected.push_back(Expectation::Rollback);
    sendCommands(connection, proofCommands(), {0, ProofMaxWait}, now);
}

void SessionProxy::onProof(const ServiceName &service, const ServerReply &reply, TimePoint now)
{
    ProofState &proof = m_proofs[service];
    ServerConnection &held = *m_pool.connection(proof.connection);
    held.borrower.reset(); // the connection becomes free with the reply to the rollback
    proof.isAsked = false;
    if (reply.fault) {
        if (*reply.fault == StatementFault::ReadOnly)
            m_pool.noteNotPrimary(held.server);
        return proofFailed(service, now);
    }
    m_pool.find(held.server)->failingSince.reset();
    proof.proofs.add(proof.sentAt, reply.position.value_or(LogPosition {}));
    routeProved(service, now);
}

// Routes the reads that wait for a proof. Those that arrived after the proof was requested request
// the next one.
void SessionProxy::routeProved(const ServiceName &service, TimePoint now)
{
    const std::set<SessionKey> waiting = std::exchange(m_proofs[service].waiting, {});
    for (const SessionKey key : waiting)
        route(key, now);
}

void SessionProxy::proofFailed(const ServiceName &service, TimePoint now)
{
    ProofState &proof = m_proofs[service];
    proof.isAsked = false;
    const std::set<SessionKey> waiting = std::exchange(proof.waiting, {});
    for (const SessionKey key : waiting)
        retryLater(key, "no primary proves that it leads", now);
}

} // namespace nutmegtide
