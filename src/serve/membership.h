#pragma once

#include "nutmegtide/settings/nodesettings.h"
#include "serve/directory.h"
#include "serve/identity.h"
#include "serve/peerclient.h"

#include <atomic>
#include <thread>

namespace nutmegtide {

// Keeps the directory of VMs by asking the seeds for all they know.
class Membership
{
public:
    Membership(const Identity &identity, const NodeSettings &settings, Directory &directory,
               PeerClients &peers);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    // Starts the rounds; self is what this process says of itself.
    void start(const VmRecord &self);
    void setDraining();

    // Takes a peer's message and answers it.
    wire::GossipReply answer(const wire::Gossip &message);

private:
    void run();
    void askSeed(const Endpoint &seed);
    void take(const std::vector<wire::MemberUpdate> &updates);

    const Identity &m_identity;
    const NodeSettings &m_settings;
    Directory &m_directory;
    PeerClients &m_peers;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
