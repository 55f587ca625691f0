#include "nutmegtide/events/eventfile.h"

#include <filesystem>
#include <system_error>

namespace nutmegtide {

EventFile::EventFile(std::string path, std::uint64_t limit)
    : m_path(std::move(path))
    , m_limit(limit)
{
    open();
}

void EventFile::append(const Event &event)
{
    const std::string line = toJson(event) + '\n';
    if (m_size > 0 && m_size + line.size() > m_limit)
        rotate();
    m_stream.clear();
    m_stream << line << std::flush;
    if (!m_stream)
        throw EventFileError("cannot write to the event file " + m_path);
    m_size += line.size();
}

void EventFile::open()
{
    m_stream.open(m_path, std::ios::app | std::ios::binary);
    if (!m_stream)
        throw EventFileError("cannot open the event file " + m_path);
    std::error_code failure;
    const auto size = std::filesystem::file_size(m_path, failure);
    m_size = failure ? 0 : size;
}

void EventFile::rotate()
{
    m_stream.close();
    std::error_code failure;
    std::filesystem::rename(m_path, m_path + ".1", failure);
    open();
    if (failure)
        throw EventFileError("cannot rename the event file " + m_path + ": " + failure.message());
}

} // namespace nutmegtide
