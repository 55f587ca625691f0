#pragma once

#include "Peer.h"
#include "nutmegtide/base/endpoint.h"
#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/time.h"
#include "serve/idlepool.h"

#include <functional>
#include <memory>
#include <mutex>
#include <thrift/TApplicationException.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace nutmegtide {

// A call to another process of the fleet that brought no answer.
class PeerError : public Error
{
public:
    PeerError(const std::string &message, bool wasSent)
        : Error(message)
        , m_wasSent(wasSent)
    { }

    // False where the connection could not be opened, so the peer saw nothing.
    bool wasSent() const { return m_wasSent; }

private:
    bool m_wasSent;
};

// The peer doesn't know the call: it is of an older version.
class UnknownCallError : public PeerError
{
public:
    using PeerError::PeerError;
};

// What a call may take. A machine that isn't up answers nothing, so a connection is given up sooner
// than an answer where another try helps more than waiting.
struct CallTimeouts
{
    std::chrono::milliseconds connect;
    std::chrono::milliseconds answer;
};

// Fills in the header of each call with the identity and the clock of this process.
using HeaderSource = std::function<wire::Header()>;

// One framed Thrift connection to a peer.
class PeerConnection
{
public:
    // Throws PeerError.
    PeerConnection(const Endpoint &peer, std::chrono::milliseconds connectTimeout);

    wire::PeerClient &client() { return *m_client; }
    void setTimeout(std::chrono::milliseconds timeout);
    // True once the peer has closed its side.
    bool isClosed() const;

private:
    std::shared_ptr<apache::thrift::transport::TSocket> m_socket;
    std::shared_ptr<apache::thrift::transport::TFramedTransport> m_transport;
    std::unique_ptr<wire::PeerClient> m_client;
};

// Connections to peers, borrowed for one call each. A connection whose call
// failed or came late is closed and not lent again; so is one that nobody uses for
// some minutes.
//
//   const auto reply = peers.call(endpoint, 500ms, [&](wire::PeerClient &client) {
//       wire::GossipReply reply;
//       client.gossip(reply, peers.header(), message);
//       return reply;
//   });
class PeerClients
{
public:
    // A peer whose address is in `routes` is called at the address that stands there.
    explicit PeerClients(HeaderSource headerSource, std::map<Endpoint, Endpoint> routes = {})
        : m_headerSource(std::move(headerSource))
        , m_routes(std::move(routes))
    { }

    wire::Header header() const { return m_headerSource(); }

    // Throws PeerError, or wire::PeerRefusal as the peer sent it.
    template <typename Call>
    auto call(const Endpoint &peer, const CallTimeouts &timeouts, Call &&call)
            -> decltype(call(std::declval<wire::PeerClient &>()));
    template <typename Call>
    auto call(const Endpoint &peer, std::chrono::milliseconds timeout, Call &&call)
            -> decltype(call(std::declval<wire::PeerClient &>()))
    {
        return this->call(peer, CallTimeouts {std::min(timeout, LongestConnect), timeout},
                          std::forward<Call>(call));
    }

private:
    static constexpr std::chrono::milliseconds LongestConnect {1000};

    std::unique_ptr<PeerConnection> borrow(const Endpoint &peer);
    std::unique_ptr<PeerConnection> open(const Endpoint &peer,
                                         std::chrono::milliseconds timeout) const;
    void giveBack(const Endpoint &peer, std::unique_ptr<PeerConnection> connection);

    const Endpoint &routeTo(const Endpoint &peer) const;

    HeaderSource m_headerSource;
    const std::map<Endpoint, Endpoint> m_routes;
    std::mutex m_mutex;
    IdlePool<Endpoint, PeerConnection> m_idle;
    TimePoint m_closedAt; // latest look for unused connections
};

template <typename Call>
auto PeerClients::call(const Endpoint &peer, const CallTimeouts &timeouts, Call &&call)
        -> decltype(call(std::declval<wire::PeerClient &>()))
{
    auto connection = borrow(peer);
    if (!connection)
        connection = open(peer, timeouts.connect);
    connection->setTimeout(timeouts.answer);
    try {
        if constexpr (std::is_void_v<decltype(call(connection->client()))>) {
            call(connection->client());
            giveBack(peer, std::move(connection));
        } else {
            auto reply = call(connection->client());
            giveBack(peer, std::move(connection));
            return reply;
        }
    } catch (const wire::PeerRefusal &) {
        giveBack(peer, std::move(connection));
        throw;
    } catch (const apache::thrift::TApplicationException &fault) {
        const std::string what = toString(peer) + ": " + fault.what();
        if (fault.getType() == apache::thrift::TApplicationException::UNKNOWN_METHOD)
            throw UnknownCallError(what, true);
        throw PeerError(what, true);
    } catch (const apache::thrift::TException &fault) {
        throw PeerError(toString(peer) + ": " + fault.what(), true);
    }
}

} // namespace nutmegtide
