#pragma once

#include "nutmegtide/events/recorder.h"
#include "nutmegtide/fleet/gossip.h"
#include "nutmegtide/settings/nodesettings.h"
#include "serve/directory.h"
#include "serve/peerclient.h"
#include "serve/settingssource.h"

#include <condition_variable>
#include <thread>

namespace nutmegtide {

// Runs the gossip of this process and keeps the directory of present VMs. Calls
// to peers are made by a few workers, so that a VM that doesn't answer delays
// neither the rounds nor the answers to others.
class Membership
{
public:
    Membership(const NodeSettings &settings, const SettingsSource &fleetSettings,
               Directory &directory, PeerClients &peers, Recorder &recorder);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    // Starts the rounds; self is what this process says of itself.
    void start(const VmRecord &self);
    void setDraining();
    // Ends the rounds and tells some members that this VM has left by plan.
    void leave();

    // Takes a peer's message and answers it. Throws MessageError or EndpointError.
    wire::GossipReply answer(const wire::Gossip &message);

private:
    void runRounds();
    void runCalls();
    // Returns nothing where no answer came.
    std::optional<GossipReply> exchange(const GossipCall &call);
    // Expects the lock to be held.
    void perform(const GossipActions &actions);
    void apply(const MemberChange &change);

    const NodeSettings &m_settings;
    const SettingsSource &m_fleetSettings;
    Directory &m_directory;
    PeerClients &m_peers;
    Recorder &m_recorder;

    std::mutex m_mutex;
    std::condition_variable m_wanted; // a call to make, or the end
    std::optional<Gossip> m_gossip; // nothing before the start
    std::deque<GossipCall> m_queue;
    std::map<VmName, EventId> m_suspicions; // latest event of each suspected VM
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace nutmegtide
