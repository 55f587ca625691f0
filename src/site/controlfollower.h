#pragma once

#include "nutmegtide/proxy/proofcache.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "nutmegtide/proxy/sessionproxy.h"
#include "serve/peerclient.h"
#include "serve/signal.h"
#include "site/controlvmselector.h"
#include "site/sitewire.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace nutmegtide {

// What a control VM told last.
struct ControlView
{
    Endpoint from; // its peers' listener
    std::optional<std::string> configuration; // newer than the one before
    Revision revision = 0;
    std::optional<std::vector<ServerRecord>> servers; // where they changed
    std::vector<ControlLocation> controls;
    std::optional<Endpoint> leader; // peers' listener
    int entryCount = 0; // entry VMs of the site, as far as is known
    std::vector<AgedProof> proofs;
    std::optional<ServerHomes> homes; // where they changed
    TimePoint askedAt; // when this was asked for; the ages of proofs count from here
};

// Follows the control VMs from a thread of its own: asks one at a time what changed, and another
// one where that one is silent or has lost touch itself.
//
//   ControlFollower follower(peers, choice, [&](const ControlView &view) { ... });
//   follower.start();
//   follower.complain(proxy.complaints(now));
class ControlFollower
{
public:
    // Called on the follower's thread for each answer of a control VM in touch.
    using OnView = std::function<void(const ControlView &)>;
    // Called on the follower's thread when no control VM, or again one, is in touch.
    using OnConnectivity = std::function<void(bool isConnected, const std::string &reason)>;

    ControlFollower(PeerClients &peers, ControlVmSelector selector, OnView onView, OnConnectivity onConnectivity);
    ~ControlFollower();
    ControlFollower(const ControlFollower &) = delete;
    ControlFollower &operator=(const ControlFollower &) = delete;

    void start();
    void stop();
    void setSeeds(const std::vector<Endpoint> &seeds);
    // When a control VM of another failure domain answered last, whatever it said.
    TimePoint heardOtherDomainAt() const;
    // What is told with the next call. A new complaint is told at once.
    void complain(std::vector<PrimaryComplaint> complaints);
    // The services of which proofs are asked for.
    void setAgedServices(std::vector<ServiceName> services);
    // This VM's listener for lanes, empty while it takes none.
    void setLanes(const std::string &lanes);
    // Asks more often while something must be learned before this VM can serve.
    void setFastPolling(bool useFastPolling);
    // Asks without waiting for the next turn.
    void pollNow() { m_signal.notify(); }
    // Asks nobody while another way tells what changed.
    void setPaused(bool isPaused);
    // The id of this VM's data folder, where it stands by as a control VM.
    void setFolder(const std::string &folder);

private:
    void run();
    bool ask();
    wire::FollowRequest request() const;
    bool applyReply(const Endpoint &from, const wire::FollowReply &reply, TimePoint askedAt);
    void report(bool isConnected, const std::string &reason);

    PeerClients &m_peers;
    const OnView m_onView;
    const OnConnectivity m_onConnectivity;
    Signal m_signal;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isPaused = false;
    std::atomic<bool> m_useFastPolling = true;
    mutable std::mutex m_mutex;
    ControlVmSelector m_selector; // guarded by m_mutex, like all below
    TimePoint m_heardOtherDomainAt {};
    std::vector<PrimaryComplaint> m_complaints;
    std::vector<ServiceName> m_agedServices;
    std::string m_lanes;
    std::int64_t m_homesVersion = 0;
    std::string m_folder;
    Revision m_revision = 0;
    std::map<Endpoint, std::int64_t> m_directoryVersions; // by answering VM
    std::optional<bool> m_isConnected; // as last reported
    std::thread m_thread;
};

} // namespace nutmegtide
