#pragma once

#include "control/filelogstorage.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/control/raftactions.h"
#include "nutmegtide/events/recorder.h"

#include <deque>

namespace nutmegtide {

// Carries out the disk actions of a control VM, in order, with one sync for all that wait.
// On a full disk the rest waits for room; nothing of it counts until then. One thread uses it.
//
//   LogWriter writer(vm, store, recorder);
//   writer.add(appendEntries);
//   if (const WriteNumber last = writer.flush())
//       perform(node.synced(last));
class LogWriter
{
public:
    // The store and the recorder must outlive the writer.
    LogWriter(VmName vm, FileLogStorage &store, Recorder &recorder);

    // Takes PersistVote, AppendEntries, TruncateFrom or InstallSnapshot.
    void add(RaftAction action) { m_writes.push_back(std::move(action)); }
    // Returns the last write that became durable by this call, 0 for none. Throws LogStorageError.
    WriteNumber flush();
    // The time from which flush() has something to do.
    TimePoint dueAt() const { return m_writes.empty() ? TimePoint::max() : m_writeAgainAt; }

private:
    WriteNumber writeAll();
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
