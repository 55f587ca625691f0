#include "control/filelogstorage.h"

#include "control/logrecords.h"
#include "control/posixdisk.h"
#include "unit/control/fakedisk.h"
#include "unit/settings/temporaryfolder.h"

#include <doctest/doctest.h>
#include <random>

using namespace nutmegtide;

namespace {

constexpr const char *LogFile = "control.log";

LogEntry entryAt(LogIndex index, RaftTerm term = 1)
{
    return {term, index, EntryKind::Group, "payload " + std::to_string(index)};
}

// Stores a vote and three entries.
void fill(FileLogStorage &store)
{
    store.load();
    store.persistVote({1, VmName("c1")});
    store.append({entryAt(1), entryAt(2)});
    store.append({entryAt(3)});
    store.sync();
}

std::string fileOf(const FakeDisk &disk)
{
    return disk.read(LogFile);
}

} // namespace

TEST_CASE("a log loads what was synced, with votes, truncations and snapshots")
{
    FakeDisk disk;
    FileLogStorage store(disk, "first");
    fill(store);
    store.truncateFrom(3);
    store.append({entryAt(3, 2)});
    store.replace({2, 1, {{VmName("c1"), "first"}}, "state"}, {2, VmName("c2")}, {entryAt(3, 2)});
    store.append({entryAt(4, 2)});
    store.sync();
    disk.crash();
    const StoredLog found = FileLogStorage(disk, "second").load();
    CHECK(found.folder == "first");
    CHECK(found.vote == VoteRecord {2, VmName("c2")});
    CHECK(found.snapshot == LogSnapshot {2, 1, {{VmName("c1"), "first"}}, "state"});
    CHECK(found.entries == std::vector<LogEntry> {entryAt(3, 2), entryAt(4, 2)});
}

TEST_CASE("an incomplete write at the end is dropped, whatever part of it reached the disk")
{
    const std::size_t whole = entryRecord(entryAt(4)).size();
    for (std::size_t kept = 0; kept <= whole; ++kept) {
        CAPTURE(kept);
        FakeDisk disk;
        FileLogStorage store(disk, "first");
        fill(store);
        store.append({entryAt(4)});
        disk.crash(kept);
        FileLogStorage again(disk, "second");
        CHECK(again.load().entries.size() == (kept == whole ? 4 : 3));
        again.append({entryAt(kept == whole ? 5 : 4)});
        again.sync();
        CHECK(FileLogStorage(disk, "third").load().truncatedBytes == 0);
    }
}

TEST_CASE("a log with one flipped bit anywhere is refused")
{
    FakeDisk clean;
    FileLogStorage filled(clean, "first");
    fill(filled);
    const std::size_t size = fileOf(clean).size();
    for (std::size_t byte = 0; byte < size; ++byte) {
        CAPTURE(byte);
        FakeDisk disk;
        FileLogStorage store(disk, "first");
        fill(store);
        disk.flipBit(LogFile, byte);
        CHECK_THROWS_AS(FileLogStorage(disk, "second").load(), LogCorruptError);
    }
}

// Guards against a start that needs several times the log's size in memory.
TEST_CASE("a log is read in blocks, whatever the size of its records")
{
    constexpr std::size_t LargeEntry = 600'000; // bytes; larger than a block
    constexpr LogIndex Entries = 40;
    FakeDisk disk;
    FileLogStorage store(disk, "first");
    store.load();
    std::vector<LogEntry> entries;
    for (LogIndex index = 1; index <= Entries; ++index) {
        const std::size_t size = index % 3 == 0 ? LargeEntry : index * 1'000;
        entries.push_back({1, index, EntryKind::Config, std::string(size, char('a' + index % 20))});
    }
    store.append(entries);
    store.sync();
    CHECK(FileLogStorage(disk, "second").load().entries == entries);
    CHECK(disk.largestRead < 2 * LargeEntry);
}

TEST_CASE("a full disk throws DiskFullError, and nothing is lost")
{
    FakeDisk disk;
    FileLogStorage store(disk, "first");
    fill(store);
    const std::string before = fileOf(disk);
    disk.capacity = before.size() + 10;
    CHECK_THROWS_AS(store.append({entryAt(4)}), DiskFullError);
    CHECK_THROWS_AS(store.persistVote({5, VmName("c2")}), DiskFullError);
    CHECK(fileOf(disk) == before);
    const LogSnapshot large {2, 1, {}, std::string(before.size(), 'x')};
    CHECK_THROWS_AS(store.replace(large, {1, {}}, {}), DiskFullError);
    CHECK(fileOf(disk) == before);
    disk.capacity = SIZE_MAX;
    store.append({entryAt(4)});
    store.sync();
    CHECK(FileLogStorage(disk, "second").load().entries.size() == 4);
}

TEST_CASE("a crash before any disk operation of replace() leaves the state before or after it")
{
    for (std::size_t crash = 0;; ++crash) {
        CAPTURE(crash);
        FakeDisk disk;
        FileLogStorage store(disk, "first");
        fill(store);
        disk.crashBefore = disk.operations + crash;
        bool isDone = false;
        try {
            store.replace({3, 1, {}, "state"}, {1, VmName("c1")}, {});
            isDone = true;
        } catch (const FakeCrash &) { }
        disk.crash();
        const StoredLog found = FileLogStorage(disk, "second").load();
        CHECK(found.folder == "first");
        CHECK(found.vote == VoteRecord {1, VmName("c1")});
        CHECK(found.snapshot.index + found.entries.size() == 3);
        if (isDone)
            break;
    }
}

TEST_CASE("a log with random changes is either read or refused with LogCorruptError")
{
    std::mt19937 random(2016);
    FakeDisk disk;
    FileLogStorage store(disk, "first");
    fill(store);
    const std::string good = fileOf(disk);
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = good;
        for (unsigned change = 0; change <= random() % 4; ++change) {
            const std::size_t at = random() % bytes.size();
            if (random() % 3 == 0)
                bytes.resize(at + 1);
            else
                bytes[at] = static_cast<char>(random());
        }
        try {
            const StoredLog found = readRecords(bytes);
            CHECK(found.entries.size() <= 3);
        } catch (const LogCorruptError &) {
            ++refused;
        }
    }
    CHECK(refused > 0);
}

TEST_CASE("a log on a real disk is written, loaded again, and locked by one process")
{
    const TemporaryFolder folder;
    {
        PosixDisk disk(folder.path() + "/control");
        FileLogStorage store(disk, "first");
        fill(store);
        store.replace({2, 1, {}, "state"}, {1, VmName("c1")}, {entryAt(3)});
        CHECK_THROWS_AS(PosixDisk(folder.path() + "/control"), LogStorageError);
    }
    PosixDisk disk(folder.path() + "/control");
    const StoredLog found = FileLogStorage(disk, "second").load();
    CHECK(found.folder == "first");
    CHECK(found.entries == std::vector<LogEntry> {entryAt(3)});
}
