#include "serve/logwriter.h"

#include "base/log.h"

namespace nutmegtide {

namespace {

constexpr auto FullDiskRetryInterval = 500ms;

} // namespace

LogWriter::LogWriter(VmName vm, FileLogStorage &store, Recorder &recorder)
    : m_vm(std::move(vm))
    , m_store(store)
    , m_recorder(recorder)
{ }

void LogWriter::add(RaftAction action)
{
    if (std::holds_alternative<InstallSnapshot>(action))
        m_writes.clear();
    m_writes.push_back(std::move(action));
}

FlushResult LogWriter::flush()
{
    if (Clock::now() < m_writeAgainAt)
        return {};
    const FlushResult result = writeAll();
    if (result.last != 0)
        m_store.sync();
    return result;
}

FlushResult LogWriter::writeAll()
{
    FlushResult result;
    try {
        while (!m_writes.empty()) {
            result.last = write(m_writes.front());
            m_writes.pop_front();
        }
        m_isDiskFull = false;
    } catch (const DiskFullError &fault) {
        result.isDiskFull = true;
        if (!m_isDiskFull)
            logEvent(LogLevel::Error, "control_disk_full", {m_vm}, {{"reason", fault.what()}});
        m_isDiskFull = true;
        m_writeAgainAt = Clock::now() + FullDiskRetryInterval;
    }
    return result;
}

WriteNumber LogWriter::write(const RaftAction &action)
{
    if (const auto *vote = std::get_if<PersistVote>(&action)) {
        m_store.persistVote(vote->vote);
        return vote->write;
    }
    if (const auto *entries = std::get_if<AppendEntries>(&action)) {
        m_store.append(entries->entries);
        return entries->write;
    }
    if (const auto *truncation = std::get_if<TruncateFrom>(&action)) {
        m_store.truncateFrom(truncation->index);
        return truncation->write;
    }
    const auto &install = std::get<InstallSnapshot>(action);
    m_store.replace(install.snapshot, install.vote, install.tail);
    recordSnapshot(install.snapshot);
    return install.write;
}

void LogWriter::recordSnapshot(const LogSnapshot &snapshot)
{
    EventFields fields;
    fields.term = snapshot.term;
    fields.details = {{"index", std::to_string(snapshot.index)},
                      {"bytes", std::to_string(m_store.size())}};
    m_recorder.record(EventKind::SnapshotTaken, fields);
    logEvent(LogLevel::Info, "control_snapshot_stored", {m_vm},
             {{"index", std::to_string(snapshot.index)},
              {"state_bytes", std::to_string(snapshot.state.size())},
              {"log_bytes", std::to_string(m_store.size())}});
}

} // namespace nutmegtide
