#pragma once

#include "nutmegtide/base/time.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace nutmegtide {

// Lets other threads ask for an answer that only the thread of an event loop can give, one question
// at a time. What the loop's thread refers to is shared, so that it outlives a thread that has
// stopped waiting.
//
//   LoopQuestion<int> question([&loop](auto task) { loop.post(std::move(task)); }, 1s);
//   const std::optional<int> count = question.ask([&proxy] { return proxy.count(); });
template <typename Answer>
class LoopQuestion
{
public:
    using Task = std::function<void()>;
    using Question = std::function<Answer()>;

    // `post` runs a task on the loop's thread; it may drop the task if the loop has stopped.
    LoopQuestion(std::function<void(Task)> post, Duration timeout)
        : m_post(std::move(post))
        , m_timeout(timeout)
    { }

    // Returns nothing while another question is under way, after the time limit and after close().
    // A question that wasn't answered in time stays under way until the loop has skipped it, so
    // that a stalled loop has at most one to skip. The question must not throw.
    std::optional<Answer> ask(Question question)
    {
        std::unique_lock lock(m_state->mutex);
        if (m_state->isUnderWay || m_state->isClosed)
            return std::nullopt;
        m_state->isUnderWay = true;
        m_state->isAbandoned = false;
        lock.unlock();
        m_post([state = m_state, question = std::move(question)] { answer(*state, question); });
        lock.lock();
        m_state->changed.wait_for(lock, m_timeout,
                                  [this] { return m_state->answer || m_state->isClosed; });
        std::optional<Answer> answer = std::exchange(m_state->answer, std::nullopt);
        m_state->isUnderWay = !answer;
        m_state->isAbandoned = !answer;
        return answer;
    }
    // Ends the wait for an answer, now and later. Called when the loop has stopped.
    void close()
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->isClosed = true;
        m_state->changed.notify_all();
    }

private:
    struct State
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<Answer> answer;
        bool isUnderWay = false;
        bool isAbandoned = false;
        bool isClosed = false;
    };

    static void answer(State &state, const Question &question)
    {
        {
            const std::lock_guard lock(state.mutex);
            if (state.isAbandoned) {
                state.isUnderWay = false;
                return;
            }
        }
        Answer answer = question();
        const std::lock_guard lock(state.mutex);
        if (state.isAbandoned) {
            state.isUnderWay = false;
            return;
        }
        state.answer = std::move(answer);
        state.changed.notify_all();
    }

    const std::function<void(Task)> m_post;
    const Duration m_timeout;
    const std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace nutmegtide
