#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace rig {

// The record of a run: what was sent, answered and run, each line with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    { }

    void add(const std::string &line)
    {
        const std::chrono::duration<double> age = std::chrono::steady_clock::now() - m_start;
        const std::lock_guard lock(m_mutex);
        m_file << std::to_string(age.count()) << ' ' << line << std::endl;
    }

private:
    const std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace rig
