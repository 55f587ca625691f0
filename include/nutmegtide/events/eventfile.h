#pragma once

#include "nutmegtide/events/event.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace nutmegtide {

// An event file that can't be opened, renamed or written.
class EventFileError : public Error
{
public:
    using Error::Error;
};

// Appends events to a file, one JSON object a line. At the size limit the file is
// renamed to PATH.1, which replaces an older one, so the disk holds at most twice the limit.
// Not thread-safe; Recorder guards it.
class EventFile
{
public:
    // `limit` is in bytes. Throws EventFileError.
    EventFile(std::string path, std::uint64_t limit);

    // Throws EventFileError.
    void append(const Event &event);

private:
    void open();
    void rotate();

    std::string m_path;
    std::uint64_t m_limit;
    std::uint64_t m_size = 0;
    std::ofstream m_stream;
};

} // namespace nutmegtide
