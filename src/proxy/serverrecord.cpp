#include "nutmegtide/proxy/serverrecord.h"

#include <algorithm>

namespace nutmegtide {

namespace {

std::uint64_t readySequenceOf(const ServerRecord &record)
{
    const std::uint64_t announced = record.announcement.isLeaving ? 0
                                                                  : record.announcement.sequence;
    return std::max(record.readySequence, announced);
}

// A record of an older version doesn't tell after which announcement the server departed.
std::optional<std::uint64_t> departureOf(const ServerRecord &record)
{
    if (!record.departedAfter && record.isGone)
        return record.announcement.sequence;
    return record.departedAfter;
}

// Of the same lifetime.
ServerRecord joined(const ServerRecord &known, const ServerRecord &heard)
{
    const bool isLater = heard.announcement.sequence > known.announcement.sequence;
    ServerRecord result = isLater ? heard : known;
    result.readySequence = std::max(readySequenceOf(known), readySequenceOf(heard));
    result.departedAfter = std::max(departureOf(known), departureOf(heard));
    result.isGone = result.departedAfter && result.readySequence <= *result.departedAfter;
    return result;
}

} // namespace

ServerRecord latestOf(const ServerRecord &known, const ServerRecord &heard)
{
    ServerRecord latest = known;
    if (heard.announcement.lifetime == known.announcement.lifetime)
        latest = joined(known, heard);
    else if (heard.announcement.lifetime > known.announcement.lifetime)
        latest = heard;
    latest.confirmedTerm = std::max(known.confirmedTerm, heard.confirmedTerm);
    // A confirmation is later than the announcement in its own record, and perhaps than newer ones.
    if (heard.confirmedTerm > known.confirmedTerm)
        latest.announcement.isPrimary = heard.announcement.isPrimary;
    return latest;
}

ServerRecord departed(const ServerRecord &known)
{
    ServerRecord result = known;
    result.readySequence = readySequenceOf(known);
    result.departedAfter = known.announcement.sequence;
    result.isGone = true;
    return result;
}

} // namespace nutmegtide
