#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace nutmegtide {

// A folder of its own for one test; it is removed with all that is in it.
//
//   TemporaryFolder folder;
//   folder.write("10.toml", "[reads]\n");
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "nutmegtide-XXXXXX").string();
        m_path = mkdtemp(name.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return m_path; }

    void write(const std::string &name, const std::string &content) const
    {
        std::ofstream(m_path + '/' + name, std::ios::binary) << content;
    }

private:
    std::string m_path;
};

} // namespace nutmegtide
