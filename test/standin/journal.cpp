#include "journal.h"

#include "errors.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace nutmegtide::standin {

namespace {

constexpr int FileMode = 0644;

[[noreturn]] void throwFault(const std::string &what)
{
    throw StandinError(what + ": " + std::strerror(errno));
}

void syncFolder(const std::filesystem::path &folder)
{
    const int file = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0 || fsync(file) != 0)
        throwFault("can't sync " + folder.string());
    close(file);
}

} // namespace

Journal::Journal(const std::string &path)
{
    const std::filesystem::path folder = std::filesystem::absolute(path).parent_path();
    std::filesystem::create_directories(folder);
    std::ifstream in(path);
    off_t wholeBytes = 0;
    std::string line;
    while (std::getline(in, line) && !in.eof()) {
        Json record = Json::parse(line, nullptr, false);
        if (record.is_discarded())
            break;
        m_records.push_back(std::move(record));
        wholeBytes += static_cast<off_t>(line.size()) + 1;
    }
    m_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (m_file < 0)
        throwFault("can't open " + path);
    if (ftruncate(m_file, wholeBytes) != 0 || fsync(m_file) != 0)
        throwFault("can't cut the torn tail of " + path);
    syncFolder(folder);
}

Journal::~Journal()
{
    close(m_file);
}

void Journal::append(const Json &record)
{
    const std::string line = record.dump() + '\n';
    if (write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throwFault("can't write the journal");
    if (fdatasync(m_file) != 0)
        throwFault("can't sync the journal");
}

} // namespace nutmegtide::standin
