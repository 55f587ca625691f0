#pragma once

#include "nutmegtide/base/ids.h"
#include "serve/backendclient.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace nutmegtide {

// Control's own connections to backend servers: one thread and one connection a
// server, opened at its first job, so that a dead server blocks no other.
class ServerWorkers
{
public:
    // May throw LinkError and RefusedByServer; both end the job without effect.
    using Job = std::function<void(BackendConnection &connection)>;

    ServerWorkers() = default;
    ~ServerWorkers();
    ServerWorkers(const ServerWorkers &) = delete;
    ServerWorkers &operator=(const ServerWorkers &) = delete;

    // Runs the job after the server's earlier ones. A waiting job of the same slot is replaced.
    void post(const ServerId &server, const Endpoint &address, std::size_t slot, Job job);
    // Ends all threads; later jobs are dropped.
    void stop();

private:
    struct Waiting
    {
        std::size_t slot;
        Job job;
    };
    struct Worker
    {
        Endpoint address;
        std::deque<Waiting> waiting;
        std::condition_variable wake;
        std::thread thread;
    };

    void run(Worker &worker);

    std::mutex m_mutex;
    std::map<ServerId, std::unique_ptr<Worker>> m_workers;
    bool m_isStopping = false;
};

} // namespace nutmegtide
