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

// Carries news to one control VM from a thread of its own, so that a dead VM holds up no other.
// Of what waits, only the latest of each server and each complainer is kept.
class UpdateSender
{
public:
    UpdateSender(Endpoint peer, PeerClients &peers, std::string folder);
    ~UpdateSender();
    UpdateSender(const UpdateSender &) = delete;
    UpdateSender &operator=(const UpdateSender &) = delete;

    // News of servers.
    void put(const std::vector<wire::ServerRecord> &servers);
    // All servers that are known, of which the other VM is told what it doesn't know yet.
    void putAll(const std::vector<wire::ServerRecord> &servers);
    // The entry VMs that follow this control VM, and those of them that take lanes; told with the
    // next news.
    void setFollowers(int followers, std::vector<wire::HomeVm> homes);
    void put(const std::vector<wire::PrimaryComplaint> &complaints);

private:
    void run();
    wire::SiteNews drainUpdates();
    void markLost();

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
