#include "site/newsfilter.h"

namespace nutmegtide {

namespace {

constexpr Duration WholeInterval = 10s;

// A repeated announcement, or one that has become older, is no news.
wire::ServerRecord contentOf(wire::ServerRecord record)
{
    record.sequence = 0;
    record.leavingMilliseconds = 0;
    return record;
}

} // namespace

std::vector<wire::ServerRecord> NewsFilter::unknown(const std::vector<wire::ServerRecord> &directory,
                                                    TimePoint now)
{
    if (now - m_wholeAt >= WholeInterval) {
        m_told.clear();
        m_wholeAt = now;
    }
    std::vector<wire::ServerRecord> records;
    for (const wire::ServerRecord &record : directory) {
        const auto told = m_told.find(record.server);
        if (told == m_told.end() || told->second != contentOf(record))
            records.push_back(record);
    }
    return records;
}

void NewsFilter::delivered(const std::vector<wire::ServerRecord> &records)
{
    for (const wire::ServerRecord &record : records)
        m_told[record.server] = contentOf(record);
}

} // namespace nutmegtide
