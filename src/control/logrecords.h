#pragma once

#include "nutmegtide/control/logstorage.h"

#include <functional>
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

// Returns `length` bytes of a log file from `offset` on, or fewer at its end.
using ReadBytes = std::function<std::string(std::uint64_t offset, std::size_t length)>;

// Reads a log file of `size` bytes in blocks, so that it is never in memory as a whole beside the
// entries; the caller removes `truncatedBytes` from its end. Throws LogCorruptError with the offset
// of the first invalid record.
StoredLog readRecords(std::uint64_t size, const ReadBytes &readBytes);
// The same for a file that is in memory.
StoredLog readRecords(std::string_view file);

} // namespace nutmegtide
