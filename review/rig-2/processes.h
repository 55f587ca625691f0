#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rig {

// A child process, which ends with this object.
class Process
{
public:
    Process(const std::string &program, const std::vector<std::string> &arguments,
            std::string logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void sendSignal(int signal) const;
    // Returns how the process ended, for instance "signal 6"; empty while it runs.
    std::string ending();
    bool isRunning() { return ending().empty(); }
    void waitForEnd();
    // Returns the last bytes that the process logged.
    std::string logEnd() const;
    pid_t id() const { return m_id; }

private:
    std::string m_logFile;
    pid_t m_id = -1;
    std::string m_ending;
};

// Returns the resident memory of a process in bytes; 0 if it doesn't run.
std::size_t memoryOf(pid_t process);

} // namespace rig
