#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "serve/peerclient.h"
#include "serve/signal.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace nutmegtide {

// Fetches the proofs of wanted services from the leading control VM to this VM's cache, on a thread
// of its own. A proof's age counts from the start of the request, so a slow call makes the proof
// look older, never younger.
class ProofFetcher
{
public:
    // Returns the leader's listener for peers; nothing where this VM leads or no leader is known.
    using Leader = std::function<std::optional<Endpoint>()>;

    ProofFetcher(PeerClients &peers, ProofCache &cache, Leader leader);
    ~ProofFetcher();
    ProofFetcher(const ProofFetcher &) = delete;
    ProofFetcher &operator=(const ProofFetcher &) = delete;

    void start();
    void stop();

private:
    void run();
    void pull(const Endpoint &leader, const std::vector<ServiceName> &services);

    PeerClients &m_peers;
    ProofCache &m_cache;
    const Leader m_leader;
    Signal m_signal;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
