#pragma once

#include "nutmegtide/control/logstorage.h"
#include "serve/directory.h"
#include "serve/peerclient.h"
#include "serve/raftqueue.h"

#include <condition_variable>
#include <functional>
#include <optional>
#include <thread>

namespace nutmegtide {

// What the delivery to a VM brought: nothing, or why it refuses this VM's data folder.
using FolderAnswer = std::function<void(const VmName &peer, std::optional<FolderMismatchError>)>;

// Sends control log messages to one VM from a thread of its own, so that a dead
// VM holds up no other. What can't be sent is dropped; the log sends it again.
class RaftSender
{
public:
    // `onAnswer` is called on the sender's thread, and outlives it.
    RaftSender(VmName peer, const Directory &directory, PeerClients &peers, FolderAnswer onAnswer);
    ~RaftSender();
    RaftSender(const RaftSender &) = delete;
    RaftSender &operator=(const RaftSender &) = delete;

    void send(RaftMessage message);

private:
    void run();
    void deliver(const std::vector<RaftMessage> &messages);

    const VmName m_peer;
    const Directory &m_directory;
    PeerClients &m_peers;
    const FolderAnswer m_onAnswer;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    RaftQueue m_queue;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
