#pragma once

#include "nutmegtide/control/logstorage.h"

#include <string>

namespace nutmegtide {

// The file operations on one folder that FileLogStorage needs, so that tests can substitute a disk
// that loses unsynced data. All throw LogStorageError, and DiskFullError if there is no room.
class Disk
{
public:
    virtual ~Disk() = default;

    virtual bool exists(const std::string &file) const = 0;
    // Returns the whole file.
    virtual std::string read(const std::string &file) const = 0;
    // Returns `length` bytes from `offset` on, or fewer at the end of the file.
    virtual std::string read(const std::string &file, std::uint64_t offset,
                             std::size_t length) const = 0;
    virtual std::uint64_t size(const std::string &file) const = 0;
    // Creates the file if it doesn't exist. A failure may leave a part of the bytes in it.
    virtual void append(const std::string &file, const std::string &bytes) = 0;
    virtual void truncate(const std::string &file, std::uint64_t size) = 0;
    virtual void sync(const std::string &file) = 0;
    virtual void rename(const std::string &from, const std::string &to) = 0;
    virtual void remove(const std::string &file) = 0;
    // Makes created, renamed and removed names durable.
    virtual void syncFolder() = 0;
};

} // namespace nutmegtide
