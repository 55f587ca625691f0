#include "control/filelogstorage.h"

#include "control/logrecords.h"

namespace nutmegtide {

namespace {

constexpr const char *LogFile = "control.log";
constexpr const char *NewFile = "control.log.new";

} // namespace

FileLogStorage::FileLogStorage(Disk &disk, std::string newFolderId)
    : m_disk(disk)
    , m_folderId(std::move(newFolderId))
{ }

StoredLog FileLogStorage::load()
{
    if (m_disk.exists(NewFile))
        m_disk.remove(NewFile);
    if (!m_disk.exists(LogFile)) {
        writeNewFile(folderRecord(m_folderId));
        StoredLog fresh;
        fresh.folder = m_folderId;
        fresh.isNew = true;
        return fresh;
    }
    const std::uint64_t size = m_disk.size(LogFile);
    StoredLog stored = readRecords(size, [this](std::uint64_t offset, std::size_t length) {
        return m_disk.read(LogFile, offset, length);
    });
    m_folderId = stored.folder;
    m_size = size - stored.truncatedBytes;
    if (stored.truncatedBytes > 0)
        m_disk.truncate(LogFile, m_size);
    // What was read may not have been synced before a crash, so it is made durable now.
    m_disk.sync(LogFile);
    m_disk.syncFolder();
    return stored;
}

void FileLogStorage::persistVote(const VoteRecord &vote)
{
    write(voteRecord(vote));
}

void FileLogStorage::append(const std::vector<LogEntry> &entries)
{
    std::string bytes;
    for (const LogEntry &entry : entries)
        bytes += entryRecord(entry);
    write(bytes);
}

void FileLogStorage::truncateFrom(LogIndex index)
{
    write(truncateRecord(index));
}

void FileLogStorage::sync()
{
    requireUsable();
    m_isBroken = true;
    m_disk.sync(LogFile);
    m_isBroken = false;
}

void FileLogStorage::replace(const LogSnapshot &snapshot, const VoteRecord &vote,
                             const std::vector<LogEntry> &tail)
{
    requireUsable();
    std::string bytes = folderRecord(m_folderId) + snapshotRecord(snapshot) + voteRecord(vote);
    for (const LogEntry &entry : tail)
        bytes += entryRecord(entry);
    writeNewFile(bytes);
}

void FileLogStorage::requireUsable() const
{
    if (m_isBroken)
        throw LogStorageError("the control log's state is unknown after a failed write or sync");
}

void FileLogStorage::write(const std::string &bytes)
{
    requireUsable();
    try {
        m_disk.append(LogFile, bytes);
        m_size += bytes.size();
    } catch (const LogStorageError &) {
        m_isBroken = true;
        m_disk.truncate(LogFile, m_size);
        m_isBroken = false;
        throw;
    }
}

void FileLogStorage::writeNewFile(const std::string &bytes)
{
    try {
        m_disk.append(NewFile, bytes);
        m_disk.sync(NewFile);
    } catch (const LogStorageError &) {
        // The log file is unchanged; remove the incomplete new one.
        if (m_disk.exists(NewFile))
            m_disk.remove(NewFile);
        throw;
    }
    // After the rename the old file is gone, so a failure from here on leaves the state unknown.
    m_isBroken = true;
    m_disk.rename(NewFile, LogFile);
    m_disk.syncFolder();
    m_isBroken = false;
    m_size = bytes.size();
}

} // namespace nutmegtide
