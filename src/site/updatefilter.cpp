#include "site/updatefilter.h"

namespace nutmegtide {

namespace {

constexpr Duration WholeInterval = 10s;

// Clears the fields that change with each announcement or with time, which are no updates.
wire::ServerRecord comparableContent(wire::ServerRecord record)
{
    record.sequence = 0;
    record.leavingMilliseconds = 0;
    return record;
}

} // namespace

std::vector<wire::ServerRecord> UpdateFilter::unknown(
        const std::vector<wire::ServerRecord> &directory, TimePoint now)
{
    if (now - m_clearedAt >= WholeInterval) {
        m_delivered.clear();
        m_clearedAt = now;
    }
    std::vector<wire::ServerRecord> records;
    for (const wire::ServerRecord &record : directory) {
        const auto told = m_delivered.find(record.server);
        if (told == m_delivered.end() || told->second != comparableContent(record))
            records.push_back(record);
    }
    return records;
}

void UpdateFilter::delivered(const std::vector<wire::ServerRecord> &records)
{
    for (const wire::ServerRecord &record : records)
        m_delivered[record.server] = comparableContent(record);
}

} // namespace nutmegtide
