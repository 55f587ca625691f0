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
    bool isControl = false; // it is a control VM
};

// Asks the caller to write the revision to disk and then to call ConfigFollower::onPersisted().
struct PersistConfig
{
    ConfigRevision revision;
};

// Asks the caller to run with these settings, which come from the given revision.
struct ApplyConfig
{
    Revision revision = 0;
    FleetSettings settings;
};

// Reports that this process can't parse settings that the control VMs accepted; the settings in
// force stay. `fault` is the parser's message.
struct ReportUnreadableConfig
{
    Revision revision = 0;
    std::string fault;
};

// Asks the caller to send the revision, and to call ConfigFollower::onPushFailed() if no answer
// comes.
struct PushConfig
{
    VmName receiver;
    ConfigRevision revision;
    std::vector<VmName> onward; // the receiver forwards the revision to these VMs
};

// Asks the caller to request revisions above `after` from the peer, and to pass the answer to
// ConfigFollower::onPage().
struct RequestConfig
{
    VmName peer;
    Revision after = 0;
};

using ConfigAction =
        std::variant<PersistConfig, ApplyConfig, ReportUnreadableConfig, PushConfig, RequestConfig>;
using ConfigActions = std::vector<ConfigAction>;

// Keeps one process at the latest accepted configuration and never goes back to a lower revision.
//
// A revision arrives by push along the fan-out tree. Once a second the process also asks one
// random peer, which makes up for lost pushes. Every revision holds the whole configuration, so a
// process that was offline needs only the latest one.
//
// After a start no configuration is put in force until enough control VMs have answered or the
// catch-up time has passed: an outdated disk or a single lagging control VM would otherwise take
// the process back to a lower revision.
//
// The methods return actions for the caller to carry out:
//
//   ConfigFollower follower(options, readFromDisk, now, seed);
//   run(follower.tick(now, peers)); // at least every 100 ms
//   run(follower.onPush(revision, onward));
class ConfigFollower
{
public:
    struct Options
    {
        std::size_t requiredAnswers = 0; // from distinct control VMs, to end the catch-up
        std::chrono::milliseconds catchUpTime {2'000}; // the catch-up ends after this in any case
        std::chrono::milliseconds catchUpInterval {250}; // between requests to the same VM
        std::chrono::milliseconds digestInterval {1'000}; // mean time between requests to a peer
    };

    ConfigFollower(const Options &options, ConfigRevision persisted, TimePoint now,
                   std::uint64_t seed);

    // Takes a pushed revision and forwards the latest one to the VMs in `onward`.
    ConfigActions onPush(const ConfigRevision &revision, const std::vector<VmName> &onward);
    // Takes a peer's answer to RequestConfig; revision 0 means that it has nothing newer.
    ConfigActions onPage(const VmName &peer, const ConfigRevision &latest);
    // Takes a revision that the local control log has applied.
    ConfigActions onAccepted(const ConfigRevision &revision);
    // Notes that the revision is on disk. Until then tick() repeats PersistConfig.
    void onPersisted(Revision revision);
    // Sends the part of the tree below the failed receiver to the first VM of that part. The
    // receiver itself gets the revision by its own periodic request.
    ConfigActions onPushFailed(const PushConfig &push) const;
    // Starts a fan-out of the latest revision to all peers. Called on the control leader.
    ConfigActions publish(const std::vector<ConfigPeer> &peers) const;
    // Ends the catch-up when its time is over, retries failed writes and sends due requests.
    ConfigActions tick(TimePoint now, const std::vector<ConfigPeer> &peers);

    // Whether the catch-up after the start has ended.
    bool isCaughtUp() const { return m_isCaughtUp; }
    // The highest revision that this process knows to be accepted.
    const ConfigRevision &latest() const { return m_latest; }
    // The revision whose settings are in force, 0 for none.
    Revision inForce() const { return m_inForce; }
    // Returns the latest revision if it is above `after`, otherwise revision 0.
    ConfigRevision pageAfter(Revision after) const;

private:
    void adopt(const ConfigRevision &revision, ConfigActions &actions);
    void applyLatest(ConfigActions &actions);
    ConfigActions forward(const std::vector<VmName> &onward) const;
    void finishCatchUp(ConfigActions &actions);
    void requestFromControlVms(TimePoint now, const std::vector<ConfigPeer> &peers,
                               ConfigActions &actions);
    void requestFromRandomPeer(TimePoint now, const std::vector<ConfigPeer> &peers,
                               ConfigActions &actions);

    const Options m_options;
    const TimePoint m_catchUpEnd;
    std::mt19937_64 m_random;
    ConfigRevision m_latest;
    Revision m_persisted = 0;
    Revision m_inForce = 0;
    Revision m_highestParsed = 0; // the highest revision parsed so far, with or without success
    bool m_isCaughtUp = false;
    std::set<VmName> m_answered; // control VMs that answered during the catch-up
    TimePoint m_nextRequestAt;
    TimePoint m_nextPersistAt;
};

} // namespace nutmegtide
