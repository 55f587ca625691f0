#pragma once

#include "control/disk.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>

namespace nutmegtide {

// Thrown by a FakeDisk to simulate a power failure.
class FakeCrash : public std::exception
{ };

// A disk in memory. A crash loses everything that wasn't synced, including file names. It can
// crash before a chosen operation, and it can be full.
class FakeDisk : public Disk
{
public:
    bool exists(const std::string &file) const override { return m_names.count(file) > 0; }
    std::string read(const std::string &file) const override { return m_names.at(file)->bytes; }
    std::string read(const std::string &file, std::uint64_t offset,
                     std::size_t length) const override
    {
        largestRead = std::max(largestRead, length);
        return m_names.at(file)->bytes.substr(offset, length);
    }
    std::uint64_t size(const std::string &file) const override
    {
        return m_names.at(file)->bytes.size();
    }
    void append(const std::string &file, const std::string &bytes) override
    {
        count();
        auto &inode = m_names[file];
        if (!inode)
            inode = std::make_shared<Inode>();
        if (inode->bytes.size() + bytes.size() > capacity) {
            inode->bytes += bytes.substr(0, bytes.size() / 2);
            throw DiskFullError("no room");
        }
        inode->bytes += bytes;
    }
    void truncate(const std::string &file, std::uint64_t size) override
    {
        count();
        m_names.at(file)->bytes.resize(size);
    }
    void sync(const std::string &file) override
    {
        count();
        m_names.at(file)->synced = m_names.at(file)->bytes;
    }
    void rename(const std::string &from, const std::string &to) override
    {
        count();
        m_names[to] = m_names.at(from);
        m_names.erase(from);
    }
    void remove(const std::string &file) override
    {
        count();
        m_names.erase(file);
    }
    void syncFolder() override
    {
        count();
        m_durableNames = m_names;
    }

    // Simulates a crash; `kept` of the unsynced bytes at each file's end reached the disk.
    void crash(std::size_t kept = 0)
    {
        m_names = m_durableNames;
        for (auto &[name, inode] : m_names) {
            if (inode->bytes.size() > inode->synced.size() && kept > 0)
                inode->synced += inode->bytes.substr(inode->synced.size(), kept);
            inode->bytes = inode->synced;
        }
        crashBefore.reset();
    }
    void flipBit(const std::string &file, std::size_t byte)
    {
        m_names.at(file)->bytes.at(byte) ^= 0x10;
        m_names.at(file)->synced = m_names.at(file)->bytes;
    }
    void empty()
    {
        m_names.clear();
        m_durableNames.clear();
    }

    std::size_t operations = 0;
    mutable std::size_t largestRead = 0; // bytes of the largest part of a file that was read
    std::optional<std::size_t> crashBefore; // number of the first operation that isn't carried out
    std::size_t capacity = SIZE_MAX; // bytes per file

private:
    struct Inode
    {
        std::string bytes;
        std::string synced;
    };

    void count()
    {
        if (crashBefore && operations >= *crashBefore)
            throw FakeCrash();
        ++operations;
    }

    std::map<std::string, std::shared_ptr<Inode>> m_names;
    std::map<std::string, std::shared_ptr<Inode>> m_durableNames;
};

} // namespace nutmegtide
