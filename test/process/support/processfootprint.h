#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/types.h>

namespace nutmegtide::test {

// Returns the largest resident size that the process has had so far, in bytes.
inline std::size_t peakResidentBytes(pid_t process)
{
    constexpr std::size_t KibiByte = 1'024;
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word) {
        std::size_t kib = 0;
        if (word == "VmHWM:" && file >> kib)
            return kib * KibiByte;
    }
    return 0;
}

// Returns the number of descriptors that the process has open.
inline std::size_t openDescriptors(pid_t process)
{
    const std::filesystem::directory_iterator first("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(first), end(first)));
}

} // namespace nutmegtide::test
