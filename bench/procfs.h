#pragma once

#include "process/support/processfootprint.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/types.h>
#include <unistd.h>

namespace nutmegtide {

// Processor time of a process, user and system together.
using ProcessTime = std::chrono::duration<double, std::micro>;

// Returns the processor time that a process has used so far.
inline ProcessTime processTime(pid_t process)
{
    constexpr int FieldsBeforeUserTime = 11; // after the program's name, see proc(5)
    constexpr double MicrosecondsPerSecond = 1e6;
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < FieldsBeforeUserTime; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return ProcessTime((user + system) / ticks * MicrosecondsPerSecond);
}

// Returns the resident memory of a process in KiB.
inline long residentKib(pid_t process)
{
    return static_cast<long>(test::statusKib(process, "VmRSS:"));
}

} // namespace nutmegtide
