#include "nutmegtide/proxy/sharewatch.h"

namespace nutmegtide {

namespace {

constexpr double LowPart = 0.25; // of the fair share
constexpr double ReadWeight = 1.0 / 16; // of the newest read
constexpr auto ChangeInterval = 5s; // at least, between two changes that are told

} // namespace

std::optional<bool> ShareWatch::note(double share, double fairShare, TimePoint now)
{
    m_share += (share - m_share) * ReadWeight;
    m_fairShare += (fairShare - m_fairShare) * ReadWeight;
    const bool isLow = m_share < LowPart * m_fairShare;
    if (isLow == m_isLow || (m_changedAt && now - *m_changedAt < ChangeInterval))
        return std::nullopt;
    m_isLow = isLow;
    m_changedAt = now;
    return isLow;
}

} // namespace nutmegtide
