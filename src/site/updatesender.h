#pragma once

#include "nutmegtide/base/endpoint.h"
#include "serve/peerclient.h"
#include "serve/signal.h"
#include "site/updatefilter.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace nutmegtide {

// Sends updates to one control VM from a thread of its own, so that an unreachable VM delays no
// other. Of the queued server updates only the latest of each server is kept.
class UpdateSender
{
public:
    UpdateSender(Endpoint peer, PeerClients &peers, std::string folder);
    ~UpdateSender();
    UpdateSender(const UpdateSender &) = delete;
    UpdateSender &operator=(const UpdateSender &) = delete;

    // Queues changed servers.
    void put(const std::vector<wire::ServerRecord> &servers);
    // Passes all known servers; only those that the other VM doesn't have yet are queued.
    void putAll(const std::vector<wire::ServerRecord> &servers);
    // Sets the number of entry VMs that follow this control VM, and those that accept lanes. They
    // are sent with the next updates.
    void setFollowers(int followers, std::vector<wire::HomeVm> homes);
    // Queues complaints about primaries.
    void put(const std::vector<wire::PrimaryComplaint> &complaints);

private:
    void run();
    wire::SiteNews drainUpdates();
    // Queues what couldn't be delivered again, except where something newer is queued.
    void keep(const std::vector<wire::ServerRecord> &servers);

    const Endpoint m_peer;
    PeerClients &m_peers;
    const std::string m_folder;
    Signal m_signal;
    std::mutex m_mutex;
    std::map<std::string, wire::ServerRecord> m_servers;
    UpdateFilter m_filter;
    std::vector<wire::PrimaryComplaint> m_complaints;
    int m_followers = 0;
    std::vector<wire::HomeVm> m_homes;
    bool m_isWanted = false;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
