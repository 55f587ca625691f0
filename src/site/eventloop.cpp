#include "site/eventloop.h"

#include "base/bootclock.h"
#include "nutmegtide/base/errors.h"

#include <algorithm>
#include <array>
#include <event2/event.h>
#include <fcntl.h>
#include <unistd.h>

namespace nutmegtide {

namespace {

constexpr auto LongestWait = 10s;

timeval timevalOf(Duration duration)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return {micros / 1'000'000, micros % 1'000'000};
}

} // namespace

EventLoop::EventLoop()
    : m_base(event_base_new())
{
    if (m_base == nullptr || pipe2(m_pipe, O_NONBLOCK | O_CLOEXEC) != 0)
        throw Error("cannot create the event loop");
    m_posted = event_new(m_base, m_pipe[0], EV_READ | EV_PERSIST, &EventLoop::onPosted, this);
    m_timer = event_new(m_base, -1, 0, &EventLoop::onTimer, this);
    event_add(m_posted, nullptr);
}

EventLoop::~EventLoop()
{
    // Tasks that never ran may hold sockets, which need the event base to be destroyed.
    m_tasks.clear();
    event_free(m_posted);
    event_free(m_timer);
    event_base_free(m_base);
    close(m_pipe[0]);
    close(m_pipe[1]);
}

TimePoint EventLoop::now()
{
    return bootTime();
}

void EventLoop::run()
{
    while (!m_isStopping) {
        runDue();
        if (m_afterEvents)
            m_afterEvents();
        armTimer();
        event_base_loop(m_base, EVLOOP_ONCE);
    }
}

void EventLoop::every(std::function<Duration()> interval, Task task)
{
    m_wakeAt = now();
    m_onWakeTime = [this, interval = std::move(interval), task = std::move(task)] {
        task();
        m_wakeAt = now() + interval();
    };
}

void EventLoop::armTimer()
{
    const TimePoint moment = now();
    const Duration wait = std::clamp(m_wakeAt - moment, Duration::zero(), Duration(LongestWait));
    const timeval timeout = timevalOf(wait + 200us);
    event_add(m_timer, &timeout);
}

void EventLoop::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > 1)
        return;
    const char byte = 1;
    // A failed write is ignored: if the pipe is full, the loop wakes up anyway.
    [[maybe_unused]] const ssize_t written = write(m_pipe[1], &byte, 1);
}

// A turn ends the events that were ready when it began, and a task that is posted from a task runs
// in a later turn.
void EventLoop::postAfter(int turns, Task task)
{
    if (turns == 0)
        return post(std::move(task));
    post([this, turns, task = std::move(task)]() mutable { postAfter(turns - 1, std::move(task)); });
}

void EventLoop::onPosted(int /*socket*/, short /*what*/, void *self)
{
    static_cast<EventLoop *>(self)->runTasks();
}

// Needs no action; the expired timer only ends the wait.
void EventLoop::onTimer(int /*socket*/, short /*what*/, void * /*self*/) { }

// Called between events instead of by the timer: when events follow each other fast enough, the
// timer is rearmed each time before it expires.
void EventLoop::runDue()
{
    if (m_onWakeTime && now() >= m_wakeAt)
        m_onWakeTime();
}

void EventLoop::runTasks()
{
    std::array<char, 64> bytes;
    while (read(m_pipe[0], bytes.data(), bytes.size()) > 0) { }
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (const Task &task : tasks)
        task();
}

} // namespace nutmegtide
