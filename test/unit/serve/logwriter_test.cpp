#include "serve/logwriter.h"

#include "unit/control/fakedisk.h"

#include <doctest/doctest.h>
#include <thread>

using namespace nutmegtide;

namespace {

LogEntry entryAt(LogIndex index, std::size_t bytes)
{
    return {1, index, EntryKind::Config, std::string(bytes, 'x')};
}

// A writer on a disk in memory.
struct WriterScene
{
    WriterScene() { store.load(); }

    FakeDisk disk;
    FileLogStorage store {disk, "folder"};
    Recorder recorder {{VmName("c1"), FailureDomain("d"), 1}, 10};
    LogWriter writer {VmName("c1"), store, recorder};
};

} // namespace

TEST_CASE("writes are carried out in order with one sync, and the last of them is reported")
{
    WriterScene scene;
    scene.writer.add(PersistVote {1, {1, VmName("c1")}});
    scene.writer.add(AppendEntries {2, {entryAt(1, 10), entryAt(2, 10)}});
    scene.writer.add(TruncateFrom {3, 2});
    const std::size_t before = scene.disk.operations;
    const FlushResult result = scene.writer.flush();
    CHECK(result.last == 3);
    CHECK_FALSE(result.isDiskFull);
    CHECK(scene.disk.operations - before == 4);
    CHECK(scene.writer.flush().last == 0);
    CHECK(FileLogStorage(scene.disk, "other").load().entries.size() == 1);
}

// Guards against a full disk that only a snapshot could make room on, while the snapshot waits
// behind the writes that have no room.
TEST_CASE("on a full disk a snapshot goes before the writes that wait, and makes their room")
{
    constexpr std::size_t Capacity = 2'000;
    WriterScene scene;
    scene.disk.capacity = Capacity;
    scene.writer.add(AppendEntries {1, {entryAt(1, Capacity / 2)}});
    REQUIRE(scene.writer.flush().last == 1);
    scene.writer.add(AppendEntries {2, {entryAt(2, Capacity / 2)}});
    const FlushResult full = scene.writer.flush();
    CHECK(full.isDiskFull);
    CHECK(full.last == 0);
    CHECK_FALSE(scene.writer.flush().isDiskFull); // not tried again yet

    scene.writer.add(InstallSnapshot {3, {1, 1, {}, "state"}, {1, {}}, {entryAt(2, Capacity / 2)}});
    std::this_thread::sleep_until(scene.writer.dueAt());
    CHECK(scene.writer.flush().last == 3);
    const StoredLog found = FileLogStorage(scene.disk, "other").load();
    CHECK(found.snapshot.index == 1);
    CHECK(found.entries == std::vector<LogEntry> {entryAt(2, Capacity / 2)});
}
