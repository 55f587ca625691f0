#pragma once

#include "nutmegtide/statement/statement.h"

#include <atomic>

namespace nutmegtide {

// Passes statements on and knows whether any is running and when the last one
// ended, so that a drain can tell when nobody uses this process any more.
class MeteredRunner : public StatementRunner
{
public:
    explicit MeteredRunner(StatementRunner &inner)
        : m_inner(inner)
        , m_lastUse(Clock::now())
    { }

    StatementResult run(const Statement &statement) override
    {
        const Use use(*this);
        return m_inner.run(statement);
    }

    int active() const { return m_active; }
    bool isQuietSince(TimePoint moment) const { return m_active == 0 && m_lastUse.load() < moment; }

private:
    class Use
    {
    public:
        explicit Use(MeteredRunner &runner)
            : m_runner(runner)
        {
            ++m_runner.m_active;
        }
        ~Use()
        {
            m_runner.m_lastUse = Clock::now();
            --m_runner.m_active;
        }
        Use(const Use &) = delete;
        Use &operator=(const Use &) = delete;

    private:
        MeteredRunner &m_runner;
    };

    StatementRunner &m_inner;
    std::atomic<int> m_active = 0;
    std::atomic<TimePoint> m_lastUse;
};

} // namespace nutmegtide
