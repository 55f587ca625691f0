#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/types.h>

namespace nutmegtide::test {

// Returns a field of the process's status that is given in KiB, for example "VmRSS:"; 0 without it.
inline std::size_t statusKib(pid_t process, const std::string &field)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word) {
        std::size_t kib = 0;
        if (word == field && file >> kib)
            return kib;
    }
    return 0;
}

constexpr std::size_t BytesPerKib = 1'024;

// Returns the resident size of the process in bytes.
inline std::size_t residentBytes(pid_t process)
{
    return statusKib(process, "VmRSS:") * BytesPerKib;
}

// Returns the largest resident size that the process has had so far, in bytes.
inline std::size_t peakResidentBytes(pid_t process)
{
    return statusKib(process, "VmHWM:") * BytesPerKib;
}

// Returns the number of descriptors that the process has open.
inline std::size_t openDescriptors(pid_t process)
{
    const std::filesystem::directory_iterator first("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(first), end(first)));
}

} // namespace nutmegtide::test
