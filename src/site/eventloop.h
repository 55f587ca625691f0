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

// Runs one thread that waits for sockets, for tasks posted by other threads, and for one timer.
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

    // Returns after stop() was called.
    void run();
    void stop() { m_isStopping = true; }
    // Runs a task on the loop's thread. Thread-safe.
    void post(Task task);
    // Runs a task on the loop's thread after so many turns of the loop, so that what had arrived on
    // its sockets is handled first. Thread-safe.
    void postAfter(int turns, Task task);
    // Destroys an object after the current event, because a socket can't be destroyed inside its
    // own handler.
    template <typename Object>
    void destroyLater(std::unique_ptr<Object> object)
    {
        post([kept = std::make_shared<std::unique_ptr<Object>>(std::move(object))] {
            kept->reset();
        });
    }
    // Sets the task that runs at the time given to wakeAt().
    void onWakeTime(Task task) { m_onWakeTime = std::move(task); }
    // Sets the task that runs before each wait.
    void afterEvents(Task task) { m_afterEvents = std::move(task); }
    void wakeAt(TimePoint moment) { m_wakeAt = moment; }
    // Runs a task periodically, even when events arrive without a pause. Replaces onWakeTime() and
    // wakeAt().
    void every(std::function<Duration()> interval, Task task);
    // Returns bootTime().
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
