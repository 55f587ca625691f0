// Measures the control log on this machine's disk; reported, not judged.
// The folder for the log is the first argument, by default one in the temporary folder.

#include "control/filelogstorage.h"
#include "control/posixdisk.h"
#include "nutmegtide/base/time.h"

#include <cstdio>
#include <filesystem>

using namespace nutmegtide;

namespace {

constexpr LogIndex Changes = 3'600; // a day's changes of configuration
constexpr std::size_t PayloadSize = 200; // bytes

double secondsSince(TimePoint start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

LogEntry entryAt(LogIndex index)
{
    return {1, index, EntryKind::Config, std::string(PayloadSize, 'x')};
}

void measureSyncs(FileLogStorage &store, LogIndex first, LogIndex perSync)
{
    const TimePoint start = Clock::now();
    for (LogIndex index = first; index < first + Changes; index += perSync) {
        std::vector<LogEntry> entries;
        for (LogIndex next = index; next < index + perSync; ++next)
            entries.push_back(entryAt(next));
        store.append(entries);
        store.sync();
    }
    std::printf("synced entries per second, %2llu per sync: %.0f\n",
                static_cast<unsigned long long>(perSync), double(Changes) / secondsSince(start));
}

void measureLoad(const char *name, Disk &disk)
{
    const TimePoint start = Clock::now();
    FileLogStorage store(disk, "unused");
    const StoredLog found = store.load();
    std::printf("restart %s: %.2f ms, %zu entries, %llu bytes\n", name, 1000 * secondsSince(start),
                found.entries.size(), static_cast<unsigned long long>(store.size()));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::filesystem::path base = argumentCount > 1 ? std::filesystem::path(arguments[1])
                                                         : std::filesystem::temp_directory_path();
    const std::string folder = base / "nutmegtide-controllog-measure";
    {
        PosixDisk disk(folder);
        FileLogStorage store(disk, "measured");
        store.load();
        measureSyncs(store, 1, 1);
        measureLoad("after 3,600 changes", disk);
        measureSyncs(store, Changes + 1, 36);
        const std::string state(64'000, 's');
        store.replace({2 * Changes - 64, 1, {}, state}, {1, VmName("c1")}, {});
        measureLoad("after a snapshot", disk);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
