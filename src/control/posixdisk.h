#pragma once

#include "control/disk.h"

#include <map>

namespace nutmegtide {

// A folder of the file system. Locks the folder, so that no second process writes to it.
class PosixDisk : public Disk
{
public:
    // Creates the folder. Throws LogStorageError, also if another process holds the lock.
    explicit PosixDisk(std::string folder);
    ~PosixDisk() override;
    PosixDisk(const PosixDisk &) = delete;
    PosixDisk &operator=(const PosixDisk &) = delete;

    bool exists(const std::string &file) const override;
    std::string read(const std::string &file) const override;
    std::string read(const std::string &file, std::uint64_t offset,
                     std::size_t length) const override;
    std::uint64_t size(const std::string &file) const override;
    void append(const std::string &file, const std::string &bytes) override;
    void truncate(const std::string &file, std::uint64_t size) override;
    void sync(const std::string &file) override;
    void rename(const std::string &from, const std::string &to) override;
    void remove(const std::string &file) override;
    void syncFolder() override;

private:
    std::string path(const std::string &file) const { return m_folder + "/" + file; }
    int descriptorFor(const std::string &file);
    void close(const std::string &file);

    const std::string m_folder;
    int m_lock = -1;
    std::map<std::string, int> m_descriptors;
};

} // namespace nutmegtide
