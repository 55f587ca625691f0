#include "nutmegtide/control/snapshotschedule.h"

namespace nutmegtide {

void SnapshotSchedule::addApplied(std::uint64_t bytes)
{
    ++m_sinceCapture.entries;
    m_sinceCapture.bytes += bytes;
    m_bytesSinceStored += bytes;
}

bool SnapshotSchedule::isCaptureDue() const
{
    return m_sinceCapture.entries >= IntervalEntries || m_sinceCapture.bytes >= intervalBytes();
}

// A log that has grown over two intervals, which an earlier version may have left behind, doesn't
// wait for followers.
bool SnapshotSchedule::isStoreDue() const
{
    if (!m_isCaptured)
        return false;
    return m_sinceCapture.entries >= DelayEntries || m_sinceCapture.bytes >= DelayBytes
            || m_bytesSinceStored >= 2 * intervalBytes();
}

void SnapshotSchedule::noteCaptured(std::uint64_t stateBytes)
{
    m_sinceCapture = {};
    m_stateBytes = stateBytes;
    m_isCaptured = true;
}

void SnapshotSchedule::noteStored()
{
    m_bytesSinceStored = m_sinceCapture.bytes;
    m_isCaptured = false;
}

} // namespace nutmegtide
