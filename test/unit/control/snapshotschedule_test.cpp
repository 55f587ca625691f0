#include "nutmegtide/control/snapshotschedule.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

using IsDue = bool (SnapshotSchedule::*)() const;

// Applies entries of one size until the schedule asks for a step; returns how many.
std::uint64_t entriesUntil(IsDue isDue, SnapshotSchedule &schedule, std::uint64_t entryBytes)
{
    std::uint64_t entries = 0;
    while (!(schedule.*isDue)()) {
        schedule.addApplied(entryBytes);
        ++entries;
    }
    return entries;
}

std::uint64_t entriesUntilCapture(SnapshotSchedule &schedule, std::uint64_t entryBytes)
{
    return entriesUntil(&SnapshotSchedule::isCaptureDue, schedule, entryBytes);
}

std::uint64_t entriesUntilStore(SnapshotSchedule &schedule, std::uint64_t entryBytes)
{
    return entriesUntil(&SnapshotSchedule::isStoreDue, schedule, entryBytes);
}

} // namespace

// Guards against a log of large entries that outgrows its disk before it holds enough of them.
TEST_CASE("a state is captured and stored after so many entries, or earlier after so many bytes")
{
    struct Row
    {
        std::uint64_t entryBytes;
        std::uint64_t captureAfter; // entries
        std::uint64_t storeAfter; // further entries
    };
    const Row rows[] = {
            {0, 1'000, 64},
            {200, 1'000, 64},
            {262'144, 32, 4},
            {4 * 1024 * 1024, 2, 1},
    };
    for (const Row &row : rows) {
        CAPTURE(row.entryBytes);
        SnapshotSchedule schedule;
        for (int round = 0; round < 3; ++round) {
            CHECK_FALSE(schedule.isStoreDue());
            const std::uint64_t applied = round == 0 ? 0 : row.storeAfter;
            CHECK(entriesUntilCapture(schedule, row.entryBytes) == row.captureAfter - applied);
            schedule.noteCaptured(1'000);
            CHECK(entriesUntilStore(schedule, row.entryBytes) == row.storeAfter);
            schedule.noteStored();
        }
    }
}

TEST_CASE("a state that is larger than the interval is captured less often")
{
    constexpr std::uint64_t StateBytes = 3 * SnapshotSchedule::IntervalBytes;
    constexpr std::uint64_t EntryBytes = 1024 * 1024;
    SnapshotSchedule schedule;
    schedule.noteCaptured(StateBytes);
    schedule.noteStored();
    CHECK(entriesUntilCapture(schedule, EntryBytes) == StateBytes / EntryBytes);
}

TEST_CASE("a log that is far over the interval is replaced at once, and a restored one counts anew")
{
    SnapshotSchedule schedule;
    schedule.addApplied(2 * SnapshotSchedule::IntervalBytes);
    REQUIRE(schedule.isCaptureDue());
    schedule.noteCaptured(1'000);
    CHECK(schedule.isStoreDue());
    schedule.noteRestored();
    CHECK_FALSE(schedule.isStoreDue());
    CHECK_FALSE(schedule.isCaptureDue());
}
