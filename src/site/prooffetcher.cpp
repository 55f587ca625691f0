#include "site/prooffetcher.h"

#include "site/eventloop.h"
#include "site/sitewire.h"

namespace nutmegtide {

namespace {

constexpr auto PullInterval = 250ms;
constexpr auto CallTimeout = 400ms;

} // namespace

ProofFetcher::ProofFetcher(PeerClients &peers, ProofCache &cache, Leader leader)
    : m_peers(peers)
    , m_cache(cache)
    , m_leader(std::move(leader))
{ }

ProofFetcher::~ProofFetcher()
{
    stop();
}

void ProofFetcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void ProofFetcher::stop()
{
    m_isStopping = true;
    m_signal.notify();
    if (m_thread.joinable())
        m_thread.join();
}

void ProofFetcher::run()
{
    while (!m_isStopping) {
        m_signal.restUntil(Clock::now() + PullInterval);
        const std::vector<ServiceName> services = m_cache.wanted(EventLoop::now());
        if (services.empty() || m_isStopping)
            continue;
        if (const auto leader = m_leader())
            pull(*leader, services);
    }
}

// A failure isn't handled: entry VMs then ask the primaries themselves, and the control log reports
// the loss of its leader.
void ProofFetcher::pull(const Endpoint &leader, const std::vector<ServiceName> &services)
{
    std::vector<std::string> names;
    for (const ServiceName &service : services)
        names.push_back(service.text());
    const TimePoint askedAt = EventLoop::now();
    try {
        const auto reply = m_peers.call(leader, CallTimeout, [&](wire::PeerClient &client) {
            std::vector<wire::AgedProof> result;
            client.agedProofs(result, m_peers.header(), names);
            return result;
        });
        for (const AgedProof &proof : fromWire(reply))
            m_cache.put(proof.service, askedAt - proof.age, proof.position);
    } catch (const Error &) {
        return;
    } catch (const wire::PeerRefusal &) {
        return;
    }
}

} // namespace nutmegtide
