#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "serve/peerclient.h"
#include "serve/signal.h"
#include "site/openchangecache.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace nutmegtide {

// Fetches what entry VMs want to know from the leading control VM to this VM's caches, on a thread
// of its own: the proofs of services, and the open changes of primary. Ages count from the start of
// the request, so a slow call makes an answer look older, never younger.
class LeaderFetcher
{
public:
    // Returns the leader's listener for peers; nothing where this VM leads or no leader is known.
    using Leader = std::function<std::optional<Endpoint>()>;

    LeaderFetcher(PeerClients &peers, ProofCache &proofs, OpenChangeCache &changes, Leader leader);
    ~LeaderFetcher();
    LeaderFetcher(const LeaderFetcher &) = delete;
    LeaderFetcher &operator=(const LeaderFetcher &) = delete;

    void start();
    void stop();
    // Fetches without waiting for the next interval.
    void fetchNow() { m_signal.notify(); }

private:
    void run();
    void fetchProofs(const Endpoint &leader, const std::vector<ServiceName> &services);
    void fetchChanges(const Endpoint &leader);

    PeerClients &m_peers;
    ProofCache &m_proofs;
    OpenChangeCache &m_changes;
    const Leader m_leader;
    TimePoint m_proofsFetchedAt {}; // used by m_thread only, like the next one
    TimePoint m_changesFetchedAt {};
    Signal m_signal;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
