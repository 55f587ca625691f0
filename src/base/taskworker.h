#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace nutmegtide {

// Runs tasks that block, one after the other, on a thread of its own.
class TaskWorker
{
public:
    using Task = std::function<void()>;

    TaskWorker()
        : m_thread([this] { run(); })
    { }
    ~TaskWorker()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_one();
        m_thread.join();
    }
    TaskWorker(const TaskWorker &) = delete;
    TaskWorker &operator=(const TaskWorker &) = delete;

    void post(Task task)
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
        m_changed.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_changed.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
            if (m_isStopping)
                return;
            const Task task = std::move(m_tasks.front());
            m_tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace nutmegtide
