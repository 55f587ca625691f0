#pragma once

#include "base/taskworker.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace nutmegtide {

// Carries log lines to their writer from a thread of its own, so that a reader who has stopped
// reading holds up nobody. While the queue is full, lines are dropped and counted; the count is
// written before the next line.
//
//   LogQueue queue([](int level, const std::string &line) { ... });
//   queue.put(level, line);
//   queue.flush(500ms);
class LogQueue
{
public:
    // May block.
    using Write = std::function<void(int level, const std::string &line)>;

    static constexpr std::size_t MostLines = 2000; // that wait

    // What still waits at the end of the queue's life is dropped.
    explicit LogQueue(Write write)
        : m_write(std::move(write))
    { }

    // Never waits for the writer.
    void put(int level, std::string line);
    // Returns whether all lines were written within the time.
    bool flush(std::chrono::milliseconds limit);
    std::uint64_t dropped() const;

private:
    void write(int level, const std::string &line);

    const Write m_write;
    mutable std::mutex m_mutex;
    std::condition_variable m_written;
    std::size_t m_waiting = 0; // lines that the writer hasn't taken
    std::size_t m_unwritten = 0; // these, and the one that is being written
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0; // of those dropped
    TaskWorker m_worker; // ends before what its tasks use
};

} // namespace nutmegtide
