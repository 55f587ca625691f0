#pragma once

#include "nutmegtide/fleet/connectionbudget.h"

#include <mutex>

namespace nutmegtide::standin {

// The server's ConnectionBudget, for the threads that announce and that serve. A
// server that divides nothing leaves it to the homes.
class SharedBudget
{
public:
    SharedBudget(int connections, bool isDividing)
        : m_isDividing(isDividing)
        , m_budget(connections)
    { }

    bool isDividing() const { return m_isDividing; }
    ShareGrant request(const ShareRequest &request, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        return m_budget.request(request, now);
    }
    void noteOpened(const HomeRunId &home)
    {
        const std::lock_guard lock(m_mutex);
        m_budget.noteOpened(home);
    }
    void noteClosed(const HomeRunId &home)
    {
        const std::lock_guard lock(m_mutex);
        m_budget.noteClosed(home);
    }

private:
    const bool m_isDividing;
    std::mutex m_mutex;
    ConnectionBudget m_budget;
};

} // namespace nutmegtide::standin
