#pragma once

#include "nutmegtide/backend/messages.h"

#include <string>
#include <vector>

namespace nutmegtide::standin {

// A file of JSON records, one a line, each synced before append() returns. A
// torn last line is cut off when the file is opened.
//
//   Journal journal("data/journal");
//   for (const Json &record : journal.records()) ...
//   journal.append(record);
class Journal
{
public:
    // Throws StandinError when the file can't be opened or read.
    explicit Journal(const std::string &path);
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    // The records that were in the file when it was opened.
    const std::vector<Json> &records() const { return m_records; }
    // Throws StandinError when the record can't be written and synced.
    void append(const Json &record);

private:
    std::vector<Json> m_records;
    int m_file = -1;
};

} // namespace nutmegtide::standin
