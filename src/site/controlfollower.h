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

// Changes of the directory in one answer. A larger directory is sent in several answers.
constexpr std::size_t MostDirectoryChanges = 256; // records

// What a control VM answered last.
struct ControlView
{
    Endpoint from; // its listener for peers
    std::optional<std::string> configuration; // set where it is newer than the previous one
    Revision revision = 0;
    std::optional<std::vector<ServerRecord>> servers; // set where they changed
    bool mayLackServers = false; // the next answers may hold further records of a large directory
    std::vector<ControlLocation> controls;
    std::optional<Endpoint> leader; // its listener for peers
    int entryCount = 0; // known entry VMs of the site
    std::vector<AgedProof> proofs;
    std::optional<ServerHomes> homes; // set where they changed
    // Set where they changed, by control VMs that tell them.
    std::optional<RecordedServers> recorded;
    bool knowsRecorded = false; // false from a control VM of an older version
    bool tellsChanges = false; // the same
    std::optional<OpenChanges> openChanges; // set where they were asked for and are known
    TimePoint askedAt; // when the request was sent; the ages of proofs count from here
};

// Polls the control VMs for changes on a thread of its own. It asks one control VM at a time, and
// switches to another where that one doesn't answer or is itself disconnected.
//
//   ControlFollower follower(peers, selector, [&](const ControlView &view) { ... });
//   follower.start();
//   follower.complain(proxy.complaints(now));
class ControlFollower
{
public:
    // Called on the follower's thread for each answer of a connected control VM.
    using OnView = std::function<void(const ControlView &)>;
    // Called on the follower's thread when the last connected control VM is lost, or one is
    // available again.
    using OnConnectivity = std::function<void(bool isConnected, const std::string &reason)>;

    ControlFollower(PeerClients &peers, ControlVmSelector selector, OnView onView,
                    OnConnectivity onConnectivity);
    ~ControlFollower();
    ControlFollower(const ControlFollower &) = delete;
    ControlFollower &operator=(const ControlFollower &) = delete;

    void start();
    void stop();
    void setSeeds(const std::vector<Endpoint> &seeds);
    // When a control VM of another failure domain last answered, whatever the answer was.
    TimePoint heardOtherDomainAt() const;
    // Sets the complaints to send with each request. A new complaint is sent at once.
    void complain(std::vector<PrimaryComplaint> complaints);
    // Sets the services whose proofs are requested.
    void setAgedServices(std::vector<ServiceName> services);
    // Sets whether the open changes of primary are requested. The first request is sent at once.
    void setAsksChanges(bool asksChanges);
    // Sets this VM's listener for lanes; empty while it accepts none.
    void setLanes(const std::string &lanes);
    // Polls more often while this VM still lacks something that it needs to serve.
    void setFastPolling(bool useFastPolling);
    // Polls without waiting for the next interval.
    void pollNow() { m_signal.notify(); }
    // Stops polling while this VM learns of changes in another way.
    void setPaused(bool isPaused);
    // Sets the id of this VM's data folder, where it is a control VM that isn't a member.
    void setFolder(const std::string &folder);

private:
    void run();
    bool ask();
    bool asksChanges() const;
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
    bool m_mayLackServers = false; // see ControlView; used on the follower's thread only
    mutable std::mutex m_mutex;
    ControlVmSelector m_selector; // guarded by m_mutex, like all below
    TimePoint m_heardOtherDomainAt {};
    std::vector<PrimaryComplaint> m_complaints;
    std::vector<ServiceName> m_agedServices;
    bool m_asksChanges = false;
    std::string m_lanes;
    std::int64_t m_homesVersion = 0;
    std::optional<std::int64_t> m_recordedVersion;
    std::string m_folder;
    Revision m_revision = 0;
    std::map<Endpoint, std::int64_t> m_directoryVersions; // by answering control VM
    std::optional<bool> m_isConnected; // as last reported
    std::thread m_thread;
};

} // namespace nutmegtide
