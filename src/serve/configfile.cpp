#include "serve/configfile.h"

#include "nutmegtide/base/text.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <xxhash.h>

namespace nutmegtide {

namespace {

using Json = nlohmann::json;

constexpr const char *FileName = "/config.json";
constexpr mode_t FileMode = 0640;

[[noreturn]] void throwErrno(const std::string &what)
{
    throw ConfigFileError(what + ": " + std::strerror(errno));
}

// A file descriptor that is closed at the end of its scope.
class Descriptor
{
public:
    Descriptor(const std::string &path, int flags)
        : m_descriptor(open(path.c_str(), flags | O_CLOEXEC, FileMode))
    {
        if (m_descriptor < 0)
            throwErrno(path);
    }
    ~Descriptor() { close(m_descriptor); }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    void write(const std::string &text) const
    {
        std::size_t written = 0;
        while (written < text.size()) {
            const ssize_t count = ::write(m_descriptor, text.data() + written,
                                          text.size() - written);
            if (count < 0 && errno != EINTR)
                throwErrno("write");
            written += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        }
    }
    void sync() const
    {
        if (fsync(m_descriptor) != 0)
            throwErrno("fsync");
    }

private:
    int m_descriptor;
};

std::uint64_t checksumOf(const ConfigRevision &revision)
{
    const std::string &toml = revision.toml;
    return XXH64(toml.data(), toml.size(), revision.revision);
}

} // namespace

ConfigFile::ConfigFile(const std::string &dataDir)
    : m_folder(dataDir)
    , m_path(dataDir + FileName)
{ }

ConfigRevision ConfigFile::read() const
{
    if (m_folder.empty() || !std::filesystem::exists(m_path))
        return {};
    std::ifstream file(m_path);
    const Json json = Json::parse(file, nullptr, false);
    try {
        const ConfigRevision revision {json.at("revision").get<Revision>(),
                                       json.at("toml").get<std::string>(),
                                       ChangeId(json.at("change_id").get<std::string>())};
        if (json.at("checksum").get<std::uint64_t>() != checksumOf(revision))
            throw ConfigFileError(m_path + ": wrong checksum");
        return revision;
    } catch (const Json::exception &fault) {
        throw ConfigFileError(m_path + ": " + fault.what());
    }
}

void ConfigFile::write(const ConfigRevision &revision) const
{
    if (m_folder.empty())
        return;
    const Json json {{"revision", revision.revision},
                     {"change_id", revision.changeId.text()},
                     {"toml", revision.toml},
                     {"checksum", checksumOf(revision)}};
    const std::string temporary = m_path + ".new";
    {
        const Descriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        file.write(encodeJsonLossy(json));
        file.sync();
    }
    if (rename(temporary.c_str(), m_path.c_str()) != 0)
        throwErrno(m_path);
    Descriptor(m_folder, O_RDONLY | O_DIRECTORY).sync();
}

} // namespace nutmegtide
