#pragma once

#include "nutmegtide/base/time.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace nutmegtide {

// One thread that waits for sockets, tasks of other threads and one moment.
//
//   EventLoop loop;
//   loop.onWakeTime([&] { proxy.tick(loop.now()); });
//   loop.afterEvents([&] { loop.wakeAt(proxy.wakeAt()); });
//   loop.run();
class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Returns when stop() was called.
    void run();
    void stop() { m_isStopping = true; }
    // Runs a task on the loop's thread. Thread-safe.
    void post(Task task);
    // Destroys an object after the present event: a socket can't be destroyed inside its own
    // handler.
    template <typename Object>
    void destroyLater(std::unique_ptr<Object> object)
    {
        post([kept = std::make_shared<std::unique_ptr<Object>>(std::move(object))] {
            kept->reset();
        });
    }
    // Called at the moment given to wakeAt().
    void onWakeTime(Task task) { m_onWakeTime = std::move(task); }
    // Called before each wait.
    void afterEvents(Task task) { m_afterEvents = std::move(task); }
    void wakeAt(TimePoint moment) { m_wakeAt = moment; }
    // Runs a task again and again, the interval apart, however many events come in between. Takes
    // the place of onWakeTime() and wakeAt().
    void every(std::function<Duration()> interval, Task task);
    // Monotonic time that goes on while the VM is suspended, unlike Clock::now(): what was
    // believed before a suspension is old after it.
    static TimePoint now();
    event_base *base() const { return m_base; }

private:
    static void onPosted(int socket, short what, void *self);
    static void onTimer(int socket, short what, void *self);
    void runTasks();
    void armTimer();
    void runDue();

    event_base *m_base = nullptr;
    event *m_posted = nullptr;
    event *m_timer = nullptr;
    int m_pipe[2] = {-1, -1};
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    Task m_onWakeTime;
    Task m_afterEvents;
    TimePoint m_wakeAt = TimePoint::max();
    std::atomic<bool> m_isStopping = false;
};

} // namespace nutmegtide
