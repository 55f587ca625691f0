#include "base/logqueue.h"

namespace nutmegtide {

void LogQueue::put(int level, std::string line)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting >= MostLines) {
            ++m_dropped;
            return;
        }
        ++m_waiting;
        ++m_unwritten;
    }
    m_worker.post([this, level, line = std::move(line)] { write(level, line); });
}

void LogQueue::write(int level, const std::string &line)
{
    std::uint64_t untold = 0;
    {
        const std::lock_guard lock(m_mutex);
        --m_waiting;
        untold = m_dropped - m_told;
        m_told = m_dropped;
    }
    if (untold > 0)
        m_write(level, "level=warning event=log_lines_dropped count=" + std::to_string(untold));
    m_write(level, line);
    const std::lock_guard lock(m_mutex);
    --m_unwritten;
    m_written.notify_all();
}

bool LogQueue::flush(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_written.wait_for(lock, limit, [this] { return m_unwritten == 0; });
}

std::uint64_t LogQueue::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace nutmegtide
