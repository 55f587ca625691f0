#pragma once

#include "nutmegtide/control/logstorage.h"

#include <string>

namespace nutmegtide {

// The few operations on one folder that the log store needs; a fake of it loses
// what was not synced. All throw LogStorageError, and DiskFullError where there is no room.
class Disk
{
public:
    virtual ~Disk() = default;

    virtual bool exists(const std::string &file) const = 0;
    virtual std::string read(const std::string &file) const = 0;
    // Makes the file if it isn't there. A failure may leave a part of the bytes.
    virtual void append(const std::string &file, const std::string &bytes) = 0;
    virtual void truncate(const std::string &file, std::uint64_t size) = 0;
    virtual void sync(const std::string &file) = 0;
    virtual void rename(const std::string &from, const std::string &to) = 0;
    virtual void remove(const std::string &file) = 0;
    // Makes renamed and new names durable.
    virtual void syncFolder() = 0;
};

} // namespace nutmegtide
