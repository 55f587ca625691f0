#pragma once

#include "nutmegtide/control/logstorage.h"

#include <string>
#include <string_view>

namespace nutmegtide {

// The records of a log file. Each has a header with a checksum of its own, a
// body with another, and an end byte that is never zero. So a write that a crash tore off,
// which leaves the file short or sectors of zeros, is told from altered bytes.
std::string folderRecord(const std::string &folder);
std::string voteRecord(const VoteRecord &vote);
std::string snapshotRecord(const LogSnapshot &snapshot);
std::string entryRecord(const LogEntry &entry);
std::string truncateRecord(LogIndex index);

// Reads a whole log file; `truncatedBytes` of the result are to be cut off its end.
// Throws LogCorruptError with the offset of what can't be right.
StoredLog readRecords(std::string_view file);

} // namespace nutmegtide
