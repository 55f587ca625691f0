#pragma once

#include "nutmegtide/backend/messages.h"
#include "nutmegtide/base/errors.h"
#include "nutmegtide/base/time.h"
#include "serve/transfer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace nutmegtide {

// How far an exchange with a backend server got before it failed.
enum class LinkFault {
    Refused, // no connection: nothing was sent
    LostAndRefused, // sent, then the connection was closed, and the server refuses a new one
    NoConnectionFree, // the budget is used up: nothing was sent
    Lost, // sent, and no whole answer came
    BadAnswer, // the answer is short, malformed or belongs to another request
};

// A failed exchange with a backend server.
class LinkError : public Error
{
public:
    LinkError(LinkFault fault, const std::string &message)
        : Error(message)
        , m_fault(fault)
    { }

    LinkFault fault() const { return m_fault; }
    // The server takes no connections, so it is taken for dead at once.
    bool isRefusing() const
    {
        return m_fault == LinkFault::Refused || m_fault == LinkFault::LostAndRefused;
    }
    bool isUnsent() const
    {
        return m_fault == LinkFault::Refused || m_fault == LinkFault::NoConnectionFree;
    }

private:
    LinkFault m_fault;
};

// A backend server said no, before it executed anything unless the type is "rejected".
class RefusedByServer : public Error
{
public:
    RefusedByServer(BackendRefusal refusal, int status)
        : Error(refusal.type + ": " + refusal.message)
        , m_refusal(std::move(refusal))
        , m_status(status)
    { }

    const BackendRefusal &refusal() const { return m_refusal; }
    int status() const { return m_status; }

private:
    BackendRefusal m_refusal;
    int m_status;
};

// One connection to a backend server: an easy handle of libcurl that keeps its
// connection open between exchanges. After a fault the connection is closed,
// so a late answer can't be taken for that of another request.
class BackendConnection
{
public:
    // The home is named to the server; control, which holds no share, names none.
    explicit BackendConnection(Endpoint server, HomeRunId home = {});
    ~BackendConnection();
    BackendConnection(BackendConnection &&other) noexcept;
    BackendConnection &operator=(BackendConnection &&) = delete;

    const Endpoint &server() const { return m_server; }

    // All throw LinkError or RefusedByServer.
    ExecuteReply execute(const ExecuteRequest &request, std::chrono::milliseconds timeout,
                         const GiveUpCheck &isGivenUp = {});
    PositionReply position(Term term, LogPosition atLeast, std::chrono::milliseconds wait,
                           std::chrono::milliseconds timeout);
    RequestOutcome requestFate(const CallerId &caller, const RequestId &id,
                               std::chrono::milliseconds timeout);
    FenceReply fence(const FenceRequest &request, std::chrono::milliseconds timeout);
    PromoteReply promote(const PromoteRequest &request, std::chrono::milliseconds timeout);
    FollowReply follow(const FollowRequest &request, std::chrono::milliseconds timeout);

    // Closes the connection; the next exchange opens a new one.
    void close();

private:
    void open();
    std::string exchange(const std::string &path, const std::string *body,
                         std::chrono::milliseconds timeout, const GiveUpCheck &isGivenUp);
    template <typename Reply>
    Reply ask(const std::string &path, const Json *body, std::chrono::milliseconds timeout,
              const GiveUpCheck &isGivenUp = {});
    std::string escape(const std::string &text) const;

    Endpoint m_server;
    HomeRunId m_home;
    CURL *m_handle = nullptr;
    CURLM *m_transfer = nullptr; // holds the open socket between exchanges
};

// The connections of this process to one backend server, at most a stated number.
class BackendPool
{
public:
    // Lends a connection until the end of its life.
    class Lease
    {
    public:
        Lease(BackendPool &pool, BackendConnection connection)
            : m_pool(&pool)
            , m_connection(std::move(connection))
        { }
        Lease(Lease &&other) noexcept;
        Lease &operator=(Lease &&) = delete;
        ~Lease();

        BackendConnection &operator*() { return m_connection; }
        BackendConnection *operator->() { return &m_connection; }

    private:
        BackendPool *m_pool;
        BackendConnection m_connection;
    };

    BackendPool(Endpoint server, int most, HomeRunId home = {})
        : m_home(std::move(home))
        , m_server(std::move(server))
        , m_most(most)
    { }

    // Waits for a free connection. Throws LinkError with NoConnectionFree after the wait.
    Lease borrow(std::chrono::milliseconds wait);
    // Closes idle connections beyond it; those that are lent close when they come back.
    // Nothing is lent from the given time on, also if nobody calls this again.
    void setMost(int most, TimePoint voidAt = TimePoint::max());
    int most() const;
    // A server that moved keeps its pool; idle connections to the old address are closed.
    void setServer(const Endpoint &server);
    int inUse() const;
    int open() const;

private:
    void giveBack(BackendConnection connection);
    // These expect the mutex to be held.
    int mostNow() const { return Clock::now() < m_voidAt ? m_most : 0; }

    const HomeRunId m_home;
    mutable std::mutex m_mutex;
    Endpoint m_server;
    std::condition_variable m_freed;
    std::vector<BackendConnection> m_idle;
    int m_inUse = 0;
    int m_most;
    TimePoint m_voidAt = TimePoint::max();
};

} // namespace nutmegtide
