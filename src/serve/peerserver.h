#pragma once

#include "Peer.h"
#include "nutmegtide/base/endpoint.h"
#include "serve/peerconnections.h"

#include <memory>
#include <thread>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/server/TNonblockingServer.h>

namespace nutmegtide {

// The framed Thrift listener for other processes of the fleet. Idle peers cost
// no thread; calls run on a pool of workers.
class PeerServer
{
public:
    struct Options
    {
        int workers = 16;
        int largestFrame = 16'777'216; // bytes
        LinkLimitSettings limits = peerLimits({});
        PeerConnections::OnLimited onLimited = [](const std::string & /*reason*/) {};
    };

    // Throws ListenError.
    PeerServer(const Endpoint &endpoint, const Options &options,
               std::shared_ptr<wire::PeerIf> service);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    Endpoint bound() const { return m_bound; }
    // Takes no further call and returns once the calls that run have ended.
    void stop();

private:
    std::shared_ptr<apache::thrift::concurrency::ThreadManager> m_workers;
    std::unique_ptr<apache::thrift::server::TNonblockingServer> m_server;
    std::thread m_thread;
    Endpoint m_bound;
};

} // namespace nutmegtide
