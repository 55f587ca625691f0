#include "site/loopquestion.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace nutmegtide;

namespace {

// Holds posted tasks until they are run, like a stalled loop.
struct StalledLoop
{
    std::vector<std::function<void()>> tasks;
    LoopQuestion<int> question {[this](auto task) { tasks.push_back(std::move(task)); }, 5ms};

    void run()
    {
        for (const auto &task : std::exchange(tasks, {}))
            task();
    }
};

} // namespace

// Guards against a question that stays under way after its answer.
TEST_CASE("a question is answered by the task that is posted")
{
    LoopQuestion<int> question([](const auto &task) { std::thread(task).detach(); }, 10s);
    CHECK(question.ask([] { return 7; }) == 7);
    CHECK(question.ask([] { return 8; }) == 8);
}

// Guards against questions that pile up at a stalled loop, and against one that is answered after
// its asker has gone.
TEST_CASE("a stalled loop has one question to skip, and answers again afterwards")
{
    StalledLoop loop;
    int answered = 0;
    CHECK_FALSE(loop.question.ask([&answered] { return ++answered; }));
    CHECK_FALSE(loop.question.ask([&answered] { return ++answered; }));
    CHECK(loop.tasks.size() == 1);
    loop.run();
    CHECK(answered == 0);
    CHECK_FALSE(loop.question.ask([&answered] { return ++answered; }));
    CHECK(loop.tasks.size() == 1);
}

// Guards against a stop that waits for questions which nobody answers any more.
TEST_CASE("closing ends the wait for an answer")
{
    LoopQuestion<int> question([](const auto & /*task*/) {}, 60s);
    std::thread asker([&question] { CHECK_FALSE(question.ask([] { return 7; })); });
    std::this_thread::sleep_for(5ms);
    question.close();
    asker.join();
    CHECK_FALSE(question.ask([] { return 7; }));
}
