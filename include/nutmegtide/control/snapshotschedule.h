#pragma once

#include <algorithm>
#include <cstdint>

namespace nutmegtide {

// Decides when the state of the state machines is captured for a snapshot, and when the captured
// state is stored in place of the entries before it. It counts entries and their bytes, because an
// entry may be of any size and the log has to fit on its disk and in memory all the same.
//
//   schedule.addApplied(entry.payload.size());
//   if (schedule.isCaptureDue())
//       schedule.noteCaptured(state.size());
//   if (schedule.isStoreDue())
//       schedule.noteStored();
class SnapshotSchedule
{
public:
    static constexpr std::uint64_t IntervalEntries = 1'000;
    static constexpr std::uint64_t IntervalBytes = 8 * 1024 * 1024;
    // A captured state is stored this much later, so that a follower that is just behind gets
    // entries and not the whole state.
    static constexpr std::uint64_t DelayEntries = 64;
    static constexpr std::uint64_t DelayBytes = 1024 * 1024;

    // Counts an entry that the state machines have applied.
    void addApplied(std::uint64_t bytes);
    bool isCaptureDue() const;
    // Returns whether a captured state is to be stored now.
    bool isStoreDue() const;
    void noteCaptured(std::uint64_t stateBytes);
    // The captured state is stored now; the entries after it remain.
    void noteStored();
    // A snapshot from elsewhere has replaced all entries.
    void noteRestored() { *this = {}; }

private:
    struct Amount
    {
        std::uint64_t entries = 0;
        std::uint64_t bytes = 0;
    };

    // Storing a state costs its size, so that a large state is captured less often.
    std::uint64_t intervalBytes() const { return std::max(IntervalBytes, m_stateBytes); }

    Amount m_sinceCapture;
    std::uint64_t m_bytesSinceStored = 0; // of the entries after the stored snapshot
    std::uint64_t m_stateBytes = 0; // of the latest captured state
    bool m_isCaptured = false; // and not stored yet
};

} // namespace nutmegtide
