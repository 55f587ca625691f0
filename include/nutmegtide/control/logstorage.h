#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/control/raftmessage.h"

namespace nutmegtide {

// The root of the failures of a control VM's disk.
class LogStorageError : public Error
{
public:
    using Error::Error;
};

// What is stored has been altered. The control VM must not take part with it.
class LogCorruptError : public LogStorageError
{
public:
    using LogStorageError::LogStorageError;
};

// No room. What was stored before is untouched, and the same write may be tried again.
class DiskFullError : public LogStorageError
{
public:
    using LogStorageError::LogStorageError;
};

// The control log names this VM with another data folder, as after the loss of the folder or
// beside an old copy. Such a VM counts again only when it is removed and added with its folder.
class FolderMismatchError : public LogStorageError
{
public:
    using LogStorageError::LogStorageError;
};

// What a control VM finds on its disk at start.
struct StoredLog
{
    std::string folder; // id of the data folder
    VoteRecord vote;
    LogSnapshot snapshot; // index 0: none
    std::vector<LogEntry> entries; // those after the snapshot
    std::uint64_t truncatedBytes = 0; // of a torn write at the end
    bool isNew = false; // nothing was stored before
};

// Where a control VM keeps its log. Nothing is durable before sync() has
// returned, except what replace() writes.
//
//   StoredLog found = storage.load();
//   storage.append(entries);
//   storage.sync();
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    // Reads all, cuts off a torn write at the end, and makes the folder's id at
    // the first start. Throws LogCorruptError.
    virtual StoredLog load() = 0;
    // These throw DiskFullError, and LogStorageError for any other failure.
    virtual void persistVote(const VoteRecord &vote) = 0;
    virtual void append(const std::vector<LogEntry> &entries) = 0;
    virtual void truncateFrom(LogIndex index) = 0;
    virtual void sync() = 0;
    // Replaces all that is stored, as one durable step.
    virtual void replace(const LogSnapshot &snapshot, const VoteRecord &vote,
                         const std::vector<LogEntry> &tail) = 0;
};

} // namespace nutmegtide
