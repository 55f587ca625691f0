#pragma once

#include "control/disk.h"

namespace nutmegtide {

// A control VM's log in one file of checksummed records: the folder's id, the
// snapshot, then votes, entries and truncations in the order of their writing. A
// new snapshot writes a new file with the tail behind it, and renames it over the old one.
//
// A full disk leaves what was stored as it was. After a failed sync nothing is
// known of the disk, so every later call is refused with LogStorageError.
class FileLogStorage : public LogStorage
{
public:
    // `newFolderId` is used where the folder holds no log yet.
    FileLogStorage(Disk &disk, std::string newFolderId);

    StoredLog load() override;
    void persistVote(const VoteRecord &vote) override;
    void append(const std::vector<LogEntry> &entries) override;
    void truncateFrom(LogIndex index) override;
    void sync() override;
    void replace(const LogSnapshot &snapshot, const VoteRecord &vote,
                 const std::vector<LogEntry> &tail) override;

    // Size of the log file in bytes.
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
