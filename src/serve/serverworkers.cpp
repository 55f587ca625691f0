#include "serve/serverworkers.h"

#include <algorithm>

namespace nutmegtide {

ServerWorkers::~ServerWorkers()
{
    stop();
}

void ServerWorkers::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        for (const auto &[server, worker] : m_workers)
            worker->wake.notify_all();
    }
    for (const auto &[server, worker] : m_workers) {
        if (worker->thread.joinable())
            worker->thread.join();
    }
}

void ServerWorkers::post(const ServerId &server, const Endpoint &address, std::size_t slot, Job job)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopping)
        return;
    std::unique_ptr<Worker> &worker = m_workers[server];
    if (!worker) {
        worker = std::make_unique<Worker>();
        worker->thread = std::thread([this, &own = *worker] { run(own); });
    }
    worker->address = address;
    const auto same = std::find_if(worker->waiting.begin(), worker->waiting.end(),
                                   [slot](const Waiting &waiting) { return waiting.slot == slot; });
    if (same != worker->waiting.end())
        same->job = std::move(job);
    else
        worker->waiting.push_back({slot, std::move(job)});
    worker->wake.notify_all();
}

void ServerWorkers::run(Worker &worker)
{
    std::unique_ptr<BackendConnection> connection;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (worker.waiting.empty()) {
            worker.wake.wait(lock);
            continue;
        }
        const Job job = std::move(worker.waiting.front().job);
        worker.waiting.pop_front();
        const Endpoint address = worker.address;
        lock.unlock();
        if (!connection || connection->server() != address)
            connection = std::make_unique<BackendConnection>(address);
        try {
            job(*connection);
        } catch (const LinkError &) {
            connection.reset(); // the change sends again as long as it wants the answer
        } catch (const RefusedByServer &) {
            connection.reset();
        }
        lock.lock();
    }
}

} // namespace nutmegtide
