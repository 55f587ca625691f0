#pragma once

#include "base/log.h"
#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/site/linklimits.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thrift/transport/TNonblockingServerSocket.h>

namespace nutmegtide {

// Follows the connections of a peer server and ends those that LinkLimits names: it shuts their
// sockets down, and the server then closes them. Lives on the server's thread.
class PeerConnections
{
public:
    // Called to log that a connection was ended for a limit.
    using OnLimited = std::function<void(const std::string &reason)>;

    PeerConnections(const LinkLimitSettings &limits, OnLimited onLimited);

    // Adds a connected socket and returns its key.
    LinkKey add(int socket);
    void remove(LinkKey connection);
    // Bytes of frames were read, each after its length in four bytes.
    void received(LinkKey connection, const std::uint8_t *bytes, std::size_t count);
    // The answer to the frame that was received last is being sent.
    void answered(LinkKey connection);

private:
    struct Connection
    {
        int socket = -1;
        std::size_t headBytes = 0; // of the length that have been received
        std::size_t length = 0; // of the frame's body, as far as its bytes have been received
        std::size_t received = 0; // bytes of the body
    };

    void shutDown(const std::vector<LinkKey> &connections, const std::string &reason);

    LinkLimits m_limits;
    const OnLimited m_onLimited;
    std::map<LinkKey, Connection> m_connections;
    LinkKey m_last = 0;
};

// The listening socket of a peer server, whose connections are followed. While the process has no
// descriptor left, it closes each new connection.
class PeerListener : public apache::thrift::transport::TNonblockingServerSocket
{
public:
    PeerListener(const Endpoint &at, std::shared_ptr<PeerConnections> connections);
    ~PeerListener() override;

protected:
    std::shared_ptr<apache::thrift::transport::TSocket> acceptImpl() override;
    std::shared_ptr<apache::thrift::transport::TSocket> createSocket(int client) override;

private:
    void refuseOneIfExhausted();

    const std::shared_ptr<PeerConnections> m_connections;
    int m_spare; // descriptor that is given up to refuse a connection; -1 while there is none
};

// Returns the limits of a process's peer server.
LinkLimitSettings peerLimits(const ConnectionSettings &settings);

// Returns a function that logs each connection that a limit ended, a few lines a second.
PeerConnections::OnLimited peerLimitLog(const LogContext &context);

} // namespace nutmegtide
