#pragma once

#include "nutmegtide/base/time.h"

#include <cstdint>
#include <optional>

namespace nutmegtide {

// Reads of balanced services that this process sent, by where.
struct ReadCounts
{
    std::uint64_t ownDomain = 0; // replicas of the own failure domain
    std::uint64_t otherDomain = 0; // replicas of other failure domains
    std::uint64_t primary = 0;
};

// Tells when a server's share of the reads of its service becomes much smaller than its fair one,
// and when it is no longer so. Both are smoothed over reads, since the prices of servers differ
// from read to read.
//
//   if (const auto isLow = watch.note(share, fairShare, now)) log(*isLow);
class ShareWatch
{
public:
    // Takes the share with which a server could be drawn for a read, and its share if all servers
    // were equally fast. Returns whether the share is low, when that has changed.
    std::optional<bool> note(double share, double fairShare, TimePoint now);

private:
    double m_share = 0;
    double m_fairShare = 0;
    bool m_isLow = false;
    std::optional<TimePoint> m_changedAt;
};

} // namespace nutmegtide
