#include "site/leaderfetcher.h"

#include "site/eventloop.h"
#include "site/sitewire.h"

namespace nutmegtide {

namespace {

constexpr auto ProofInterval = 250ms;
constexpr auto ChangeInterval = 100ms; // while open changes are wanted
constexpr auto CallTimeout = 400ms;

} // namespace

LeaderFetcher::LeaderFetcher(PeerClients &peers, ProofCache &proofs, OpenChangeCache &changes,
                             Leader leader)
    : m_peers(peers)
    , m_proofs(proofs)
    , m_changes(changes)
    , m_leader(std::move(leader))
{ }

LeaderFetcher::~LeaderFetcher()
{
    stop();
}

void LeaderFetcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void LeaderFetcher::stop()
{
    m_isStopping = true;
    m_signal.notify();
    if (m_thread.joinable())
        m_thread.join();
}

void LeaderFetcher::run()
{
    while (!m_isStopping) {
        const bool areChangesWanted = m_changes.isDue(EventLoop::now());
        m_signal.restUntil(
                Clock::now()
                + (areChangesWanted ? Duration(ChangeInterval) : Duration(ProofInterval)));
        const TimePoint now = EventLoop::now();
        const bool areProofsDue = now - m_proofsFetchedAt >= ProofInterval;
        const std::vector<ServiceName> services = areProofsDue ? m_proofs.wanted(now)
                                                               : std::vector<ServiceName>();
        const bool areChangesDue = m_changes.isDue(now)
                && now - m_changesFetchedAt >= ChangeInterval;
        if (m_isStopping || (services.empty() && !areChangesDue))
            continue;
        const auto leader = m_leader();
        if (!leader)
            continue;
        if (areChangesDue)
            fetchChanges(*leader);
        if (!services.empty())
            fetchProofs(*leader, services);
    }
}

// A failure isn't handled: entry VMs then ask the primaries themselves, and the control log reports
// the loss of its leader.
void LeaderFetcher::fetchProofs(const Endpoint &leader, const std::vector<ServiceName> &services)
{
    std::vector<std::string> names;
    for (const ServiceName &service : services)
        names.push_back(service.text());
    const TimePoint askedAt = EventLoop::now();
    m_proofsFetchedAt = askedAt;
    try {
        const auto reply = m_peers.call(leader, CallTimeout, [&](wire::PeerClient &client) {
            std::vector<wire::AgedProof> result;
            client.agedProofs(result, m_peers.header(), names);
            return result;
        });
        for (const AgedProof &proof : fromWire(reply))
            m_proofs.put(proof.service, askedAt - proof.age, proof.position);
    } catch (const Error &) {
        return;
    } catch (const wire::PeerRefusal &) {
        return;
    }
}

// A failure isn't handled: the connections of entry VMs then wait to be vouched for.
void LeaderFetcher::fetchChanges(const Endpoint &leader)
{
    const TimePoint askedAt = EventLoop::now();
    m_changesFetchedAt = askedAt;
    try {
        const auto reply = m_peers.call(leader, CallTimeout, [&](wire::PeerClient &client) {
            wire::OpenChanges result;
            client.openChanges(result, m_peers.header());
            return result;
        });
        m_changes.put(fromWire(reply, askedAt));
    } catch (const UnknownCallError &) {
        m_changes.noteUntold(askedAt);
    } catch (const Error &) {
        return;
    } catch (const wire::PeerRefusal &) {
        return;
    }
}

} // namespace nutmegtide
