#pragma once

#include "nutmegtide/base/errors.h"
#include "nutmegtide/control/raftmessage.h"

namespace nutmegtide {

// Base class of the errors of a control VM's disk.
class LogStorageError : public Error
{
public:
    using Error::Error;
};

// The stored log has been altered. The control VM must not take part in the control log with it.
class LogCorruptError : public LogStorageError
{
public:
    using LogStorageError::LogStorageError;
};

// The disk is full. What was stored before is unchanged, and the same write may be retried.
class DiskFullError : public LogStorageError
{
public:
    using LogStorageError::LogStorageError;
};

// The control log lists this VM with another data folder, for instance after the folder was lost or
// replaced by an old copy. The VM counts as a member again only after it is removed and added
// with its present folder.
class FolderMismatchError : public LogStorageError
{
public:
    using LogStorageError::LogStorageError;
};

// The contents of a control VM's disk at start.
struct StoredLog
{
    std::string folder; // id of the data folder
    VoteRecord vote;
    LogSnapshot snapshot; // index 0: none
    std::vector<LogEntry> entries; // the entries after the snapshot
    std::uint64_t truncatedBytes = 0; // size of an incomplete write at the end of the file
    bool isNew = false; // true if nothing was stored before
};

// Stores the control log of one VM. A write is durable only after sync() has returned, except for
// replace(), which is durable when it returns.
//
//   StoredLog found = storage.load();
//   storage.append(entries);
//   storage.sync();
class LogStorage
{
public:
    virtual ~LogStorage() = default;

    // Reads everything, drops an incomplete write at the end, and creates the folder's id on the
    // first start. Throws LogCorruptError if the stored log has been altered.
    virtual StoredLog load() = 0;
    // The functions below throw DiskFullError if there is no room, else LogStorageError.
    virtual void persistVote(const VoteRecord &vote) = 0;
    virtual void append(const std::vector<LogEntry> &entries) = 0;
    virtual void truncateFrom(LogIndex index) = 0;
    virtual void sync() = 0;
    // Atomically and durably replaces everything that is stored.
    virtual void replace(const LogSnapshot &snapshot, const VoteRecord &vote,
                         const std::vector<LogEntry> &tail) = 0;
};

} // namespace nutmegtide
