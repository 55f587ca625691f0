#pragma once

#include "nutmegtide/control/logstorage.h"

#include <string>
#include <string_view>

namespace nutmegtide {

// Serialize the records of a log file. Each has a header and a body with a checksum each, and an
// end byte that is never zero. So a write interrupted by a crash, which leaves the file short or
// sectors of zeros, can be told apart from altered bytes.
std::string folderRecord(const std::string &folder);
std::string voteRecord(const VoteRecord &vote);
std::string snapshotRecord(const LogSnapshot &snapshot);
std::string entryRecord(const LogEntry &entry);
std::string truncateRecord(LogIndex index);

// Reads a whole log file; the caller removes `truncatedBytes` from its end. Throws LogCorruptError
// with the offset of the first invalid record.
StoredLog readRecords(std::string_view file);

} // namespace nutmegtide
