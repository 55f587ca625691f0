#pragma once

#include "control/filelogstorage.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/control/raftactions.h"
#include "nutmegtide/events/recorder.h"

#include <deque>

namespace nutmegtide {

// What LogWriter::flush() brought about.
struct FlushResult
{
    WriteNumber last = 0; // the last write that became durable, 0 for none
    bool isDiskFull = false; // true if the disk had no room for one of the writes
};

// Carries out the disk actions of a control VM, in order, with one sync for all that wait.
// On a full disk the rest waits for room; nothing of it counts until then. One thread uses it.
//
//   LogWriter writer(vm, store, recorder);
//   writer.add(appendEntries);
//   const FlushResult result = writer.flush();
//   if (result.last != 0)
//       perform(node.synced(result.last));
class LogWriter
{
public:
    // The store and the recorder must outlive the writer.
    LogWriter(VmName vm, FileLogStorage &store, Recorder &recorder);

    // Takes PersistVote, AppendEntries, TruncateFrom or InstallSnapshot. A snapshot replaces
    // everything that is stored, so the writes that wait before it are dropped.
    void add(RaftAction action);
    // Carries out what waits, except shortly after the disk was full. Throws LogStorageError.
    FlushResult flush();
    // The time from which flush() has something to do.
    TimePoint dueAt() const { return m_writes.empty() ? TimePoint::max() : m_writeAgainAt; }

private:
    FlushResult writeAll();
    WriteNumber write(const RaftAction &action);
    void recordSnapshot(const LogSnapshot &snapshot);

    const VmName m_vm;
    FileLogStorage &m_store;
    Recorder &m_recorder;
    std::deque<RaftAction> m_writes; // not carried out yet
    TimePoint m_writeAgainAt {}; // after a full disk
    bool m_isDiskFull = false;
};

} // namespace nutmegtide
