#pragma once

#include "nutmegtide/base/time.h"
#include "nutmegtide/control/configledger.h"
#include "nutmegtide/fleet/fanout.h"
#include "nutmegtide/settings/fleetsettings.h"

#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace nutmegtide {

// Another VM that this process may ask for the configuration or push it to.
struct ConfigPeer
{
    VmName vm;
    FailureDomain failureDomain;
    bool isControl = false;
};

// Write the revision to the disk, then call ConfigFollower::onPersisted().
struct PersistConfig
{
    ConfigRevision revision;
};

struct ApplyConfig
{
    Revision revision = 0;
    FleetSettings settings;
};

// This process can't read settings that control accepted, so it keeps those in force.
struct ReportUnreadableConfig
{
    Revision revision = 0;
    std::string fault;
};

// Send the revision; call ConfigFollower::onPushFailed() if no answer comes.
struct PushConfig
{
    VmName receiver;
    ConfigRevision revision;
    std::vector<VmName> onward; // the receiver passes the revision on to these
};

// Ask the peer for revisions above `after`, then call ConfigFollower::onPage().
struct RequestConfig
{
    VmName peer;
    Revision after = 0;
};

using ConfigAction = std::variant<PersistConfig, ApplyConfig, ReportUnreadableConfig,
                                  PushConfig, RequestConfig>;
using ConfigActions = std::vector<ConfigAction>;

// Keeps one process at the latest accepted configuration and never goes back to a lower one.
//
// A revision arrives by push along the fan-out tree; once a second the process also asks one
// random peer, which repairs lost pushes. Every revision is whole, so a process that was away
// needs only the latest.
//
// After a start nothing is put in force until enough control VMs have answered or the time to
// catch up is over: an old disk or a single control VM that lags would take the process back.
//
//   ConfigFollower follower(options, readFromDisk, now, seed);
//   run(follower.tick(now, peers)); // at least every 100 ms
//   run(follower.onPush(revision, onward));
class ConfigFollower
{
public:
    struct Options
    {
        std::size_t requiredAnswers = 0; // of control VMs, after a start
        std::chrono::milliseconds catchUpTime {2'000};
        std::chrono::milliseconds catchUpInterval {250}; // between questions to the same VM
        std::chrono::milliseconds digestInterval {1'000}; // on average
    };

    ConfigFollower(const Options &options, ConfigRevision persisted, TimePoint now,
                   std::uint64_t seed);

    ConfigActions onPush(const ConfigRevision &revision, const std::vector<VmName> &onward);
    // Takes the latest revision of an answer; revision 0 for "nothing above what you have".
    ConfigActions onPage(const VmName &peer, const ConfigRevision &latest);
    // Takes what the control log has applied here.
    ConfigActions onAccepted(const ConfigRevision &revision);
    void onPersisted(Revision revision);
    // Hands the lost part of the tree to its next member; the digest repairs the lost receiver.
    ConfigActions onPushFailed(const PushConfig &push) const;
    // Opens a fan-out of the latest revision to all peers; for the control leader.
    ConfigActions publish(const std::vector<ConfigPeer> &peers) const;
    ConfigActions tick(TimePoint now, const std::vector<ConfigPeer> &peers);

    bool isCaughtUp() const { return m_isCaughtUp; }
    // The highest revision that this process knows to be accepted.
    const ConfigRevision &latest() const { return m_latest; }
    Revision inForce() const { return m_inForce; }
    // Answers a peer that has everything up to `after`.
    ConfigRevision pageAfter(Revision after) const;

private:
    void adopt(const ConfigRevision &revision, ConfigActions &actions);
    void applyLatest(ConfigActions &actions);
    ConfigActions forward(const std::vector<VmName> &onward) const;
    void finishCatchUp(ConfigActions &actions);
    void requestFromControlVms(TimePoint now, const std::vector<ConfigPeer> &peers, ConfigActions &actions);
    void requestFromRandomPeer(TimePoint now, const std::vector<ConfigPeer> &peers, ConfigActions &actions);

    const Options m_options;
    const TimePoint m_catchUpEnd;
    std::mt19937_64 m_random;
    ConfigRevision m_latest;
    Revision m_persisted = 0;
    Revision m_inForce = 0;
    Revision m_highestParsed = 0; // the highest revision whose settings were read, with or without faults
    bool m_isCaughtUp = false;
    std::set<VmName> m_answered; // control VMs, while catching up
    TimePoint m_nextRequestAt;
    TimePoint m_nextPersistAt;
};

} // namespace nutmegtide
