#pragma once

#include "control/disk.h"

namespace nutmegtide {

// Stores a control VM's log in one file of checksummed records: the folder's id, the snapshot, then
// votes, entries and truncations in the order of writing. replace() writes a new file and renames
// it over the old one.
//
// A full disk leaves the stored log unchanged. After a failed sync the contents of the disk are
// unknown, so every later call throws LogStorageError.
class FileLogStorage : public LogStorage
{
public:
    // `newFolderId` is used if the folder holds no log yet.
    FileLogStorage(Disk &disk, std::string newFolderId);

    StoredLog load() override;
    void persistVote(const VoteRecord &vote) override;
    void append(const std::vector<LogEntry> &entries) override;
    void truncateFrom(LogIndex index) override;
    void sync() override;
    void replace(const LogSnapshot &snapshot, const VoteRecord &vote,
                 const std::vector<LogEntry> &tail) override;

    // The size of the log file in bytes.
    std::uint64_t size() const { return m_size; }

private:
    void write(const std::string &bytes);
    void writeNewFile(const std::string &bytes);
    void requireUsable() const;

    Disk &m_disk;
    std::string m_folderId;
    std::uint64_t m_size = 0;
    bool m_isBroken = false;
};

} // namespace nutmegtide
