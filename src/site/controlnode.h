#pragma once

#include "base/log.h"
#include "nutmegtide/control/controlmemberplanner.h"
#include "nutmegtide/proxy/serverregistry.h"
#include "nutmegtide/settings/nodesettings.h"
#include "nutmegtide/site/adapters.h"
#include "serve/controllog.h"
#include "serve/ledgermachine.h"
#include "serve/peerhandlers.h"
#include "serve/peerserver.h"
#include "site/controlfollower.h"
#include "site/homedirectory.h"
#include "site/leaderfetcher.h"
#include "site/openchangecache.h"
#include "site/primarychangemanager.h"
#include "site/proofcollector.h"
#include "site/siteidentity.h"
#include "site/sitelog.h"
#include "site/updatesender.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace nutmegtide {

// A control VM of a site. The members of the control log store the configuration in it; the other
// control VMs are standbys and follow a member. All of them accept the servers' announcements,
// exchange them, and tell the entry VMs what changed.
class ControlNode : private ControlRequests
{
public:
    // Throws ListenError and LogStorageError.
    explicit ControlNode(const NodeSettings &settings);
    ~ControlNode() override;
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    void reload(const NodeSettings &settings);

private:
    static constexpr int SetAsideLines = 2; // per second, of announcements that don't count

    // Requests of servers and operators.
    void announce(const ServerAnnouncement &announcement) override;
    void depart(const ServerId &server) override;
    SubmitAnswer submit(const RouteTable &routes, const std::string &text) override;
    ReadAnswer readNewest() override;

    // Requests of other processes.
    wire::FollowReply answerFollow(const wire::Header &from, const wire::FollowRequest &request);
    void logSetAside(const ServerAnnouncement &announcement);
    // Returns null where this VM can't tell them.
    std::shared_ptr<const RecordedServers> knownRecordedServers(bool isCurrent);
    std::vector<wire::AgedProof> answerProofs(const std::vector<std::string> &services);
    // Returns nullopt unless this VM leads and can tell the changes.
    std::optional<OpenChanges> ownOpenChanges() const;
    // Throws wire::PeerRefusal where this VM can't tell them.
    wire::OpenChanges tellOpenChanges() const;
    void putOpenChanges(const wire::FollowRequest &request, wire::FollowReply &reply);
    void receiveUpdates(const wire::Header &from, const wire::SiteNews &news);
    void receiveComplaints(const std::vector<wire::PrimaryComplaint> &complaints);

    // An entry VM that polls this control VM.
    struct Follower
    {
        TimePoint askedAt;
        std::optional<HomeCandidate> home; // set where it accepts lanes
        // Of a large directory: when unchanged records were repeated, and the last one of these.
        TimePoint repeatedAt {};
        ServerId repeatedUpTo;
    };
    // What another control VM reported about the entry VMs that poll it.
    struct FollowerCount
    {
        int count = 0;
        TimePoint receivedAt;
        std::vector<HomeCandidate> homes;
    };

    // Returns the next records that the follower may lack. Expects the lock to be held.
    ServerRegistry::Changes updatesFor(const wire::FollowRequest &request, Follower &follower);
    void applyView(const ControlView &view);
    // Merges the records of another control VM or of the control log, and logs each server that
    // this VM hadn't heard of. Requires m_mutex to be held.
    void learn(const std::vector<ServerRecord> &records, const std::string &source);
    // Imports the servers of the control log for which nothing newer is known.
    void importRoster();
    void onLedgerChanged();
    // Names the services of the newest configuration to the registry.
    void readServices();
    void setConfiguration(Revision revision, const std::string &text);
    void broadcast(const ServerRecord &record);
    // ownFollowers(), ownHomes() and entryCount() require m_mutex to be held.
    int ownFollowers() const;
    std::vector<HomeCandidate> ownHomes() const;
    int entryCount() const;
    void registerControlVm(const Endpoint &peers, const FailureDomain &domain,
                           const std::string &folder);
    VmName leaderName() const;
    // Returns the leader's listener for peers, where another VM leads.
    std::optional<Endpoint> otherLeader() const;
    bool isMember() const;
    bool hearsLeader() const;
    bool isConnected() const;
    std::optional<Endpoint> controlPortOf(const VmName &vm) const;
    ReadAnswer refuseRead() const;

    // Maintains the members, the peers and the registry on a thread of its own.
    void maintain();
    bool isStarting() const;
    void maintainMembers();
    void maintainPeers();
    void maintainHomes();
    // Returns the shortest time between two lists for all entry VMs. Expects the lock to be held.
    Duration listInterval() const;
    void startChanges();
    // Performs the leader's duties for primaries: changes, and proofs that they still lead.
    void tickChanges();
    Duration leaderTick() const;
    PrimaryChangeManager::Departures departedServers() const;
    void confirmPrimary(const ServiceName &service, const ServerId &server, Term term);
    void log(LogLevel level, const std::string &event, const std::vector<LogField> &fields) const;

    const std::string m_nodeName; // as in the settings
    const NodeSettings m_settings; // with the listener for peers as the VM's name
    const Identity m_identity;
    Recorder m_recorder;
    PeerClients m_peers;
    Directory m_directory;
    LedgerMachine m_ledger;
    ServerRoster m_roster;
    ControlLog m_log;
    ControlFollower m_follower;
    PeerHandlers m_handlers;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<ControlPort> m_port;

    mutable std::mutex m_mutex;
    ServerRegistry m_registry;
    LogRateLimiter m_setAsideLog {SetAsideLines};
    // Added to the registry's version. Other runs of this process have other bases, and their
    // ranges don't overlap.
    const std::int64_t m_versionBase = std::int64_t(std::random_device()() & 0x7fff'ffffU) << 32U;
    ControlMemberPlanner m_memberPlanner;
    std::map<Endpoint, FailureDomain> m_seedDomains; // all control VMs heard since the start
    std::map<Endpoint, TimePoint> m_heardAt;
    std::map<std::string, Follower> m_followers; // by name of the entry VM
    HomeDirectory m_homes;
    std::vector<HomeCandidate> m_homeCandidates; // the input of m_homes
    std::optional<std::uint64_t> m_homesRegistryVersion; // version of the registry behind m_homes
    TimePoint m_homesAssignedAt {};
    std::vector<HomeCandidate> m_sentHomes; // own ones, as last sent to the other control VMs
    std::map<Endpoint, FollowerCount> m_otherFollowers; // by other control VM
    Revision m_revision = 0;
    std::string m_configuration; // of m_revision, as the operator sent it
    std::string m_compressed; // m_configuration, compressed
    Revision m_servicesRevision = 0; // whose services the registry knows
    TimePoint m_servicesReadAt {};
    bool m_isFollowerConnected = false;
    std::optional<Endpoint> m_followedLeader;
    std::shared_ptr<const RecordedServers> m_followedRecorded; // as a member told them
    std::shared_ptr<const RecordedServers> m_ownRecorded; // from m_roster's m_ownRecordedVersion
    std::optional<std::uint64_t> m_ownRecordedVersion; // unset where the services changed since
    TimePoint m_ownRecordedAt {}; // when it was made
    std::uint64_t m_importedRosterVersion = 0; // of m_roster, as merged last
    TimePoint m_rosterImportedAt {};
    std::map<Endpoint, std::unique_ptr<UpdateSender>> m_updateSenders;

    ProofCache m_proofs;
    OpenChangeCache m_openChanges; // where another VM leads
    LeaderFetcher m_leaderFetcher;

    EventLoop m_loop;
    std::unique_ptr<ProofCollector> m_proofCollector; // lives on the loop's thread
    std::unique_ptr<Promoter> m_promoter; // null where the settings name no platform
    std::unique_ptr<PrimaryChangeManager> m_changes; // null where m_promoter is
    std::thread m_loopThread;

    const TimePoint m_startedAt = EventLoop::now();
    bool m_hasRoster = false; // used only by m_thread
    Signal m_signal;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
