// The part of StandinState that keeps and replicates the log.
#include "state.h"

#include <algorithm>

namespace nutmegtide::standin {

namespace {

constexpr int ConflictStatus = 409;
constexpr std::size_t FeedEntries = 512; // in one answer at most

} // namespace

void StandinState::writeBarrier(TimePoint now)
{
    m_barrier = {m_term, m_log.size() + 1};
    append({m_barrier, {}, {}, 0, "barrier", {}, Json::object(), now});
    applyTo(m_log.size());
}

void StandinState::append(LogEntry entry)
{
    if (m_journal)
        m_journal->append({{"entry", entry}});
    keep(std::move(entry));
    m_changed.notify_all();
}

void StandinState::keep(LogEntry entry)
{
    if (!entry.requestId.isEmpty())
        m_requests.emplace(RequestKey(entry.caller, entry.requestId), entry.position.index);
    m_log.push_back(std::move(entry));
}

void StandinState::cutAfter(std::uint64_t index)
{
    std::erase_if(m_requests, [index](const auto &row) { return row.second > index; });
    m_log.resize(index);
    if (m_appliedIndex <= index)
        return;
    m_table.clear();
    m_appliedIndex = 0;
    applyTo(index);
}

void StandinState::applyTo(std::uint64_t index)
{
    for (; m_appliedIndex < index; ++m_appliedIndex) {
        for (const auto &[key, value] : m_log[m_appliedIndex].changes)
            m_table[key] = value;
    }
}

void StandinState::advance(TimePoint now)
{
    if (m_delays.isApplyStalled)
        return;
    std::uint64_t index = m_appliedIndex;
    while (index < m_log.size() && m_log[index].receivedAt + m_delays.lag <= now)
        ++index;
    applyTo(index);
}

bool StandinState::hasEntryOf(Term term) const
{
    return std::any_of(m_log.begin(), m_log.end(),
                       [term](const LogEntry &entry) { return entry.position.term == term; });
}

LogPosition StandinState::positionAt(std::uint64_t index) const
{
    if (index == 0 || index > m_log.size())
        return {};
    return m_log[index - 1].position;
}

LogFeed StandinState::feed(std::uint64_t afterIndex, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const Term term = m_term;
    m_changed.wait_for(lock, wait,
                       [&] { return m_isStopped || m_term != term || m_log.size() != afterIndex; });
    if (m_role != ServerRole::Primary)
        refuse(ConflictStatus, "not_primary", "only the primary feeds replicas");
    LogFeed feed = {m_term, positionAt(afterIndex), m_log.size(), {}};
    const std::size_t begin = std::min<std::size_t>(afterIndex, m_log.size());
    const std::size_t end = std::min(begin + FeedEntries, m_log.size());
    feed.entries.assign(m_log.begin() + static_cast<std::ptrdiff_t>(begin),
                        m_log.begin() + static_cast<std::ptrdiff_t>(end));
    return feed;
}

std::optional<ReplicationSource> StandinState::source() const
{
    const std::lock_guard lock(m_mutex);
    return m_source;
}

Probe StandinState::probe() const
{
    const std::lock_guard lock(m_mutex);
    return m_probe;
}

void StandinState::replaceFrom(LogEntry entry, TimePoint now)
{
    const std::uint64_t kept = entry.position.index - 1;
    if (kept < m_log.size()) {
        if (m_journal)
            m_journal->append({{"cut", kept}});
        cutAfter(kept);
    }
    entry.receivedAt = now;
    append(std::move(entry));
}

void StandinState::receive(const ReplicationSource &source, LogFeed feed, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_source != source || feed.term != source.term)
        return;
    const std::uint64_t asked = m_probe.index;
    m_probe.isMatched = asked <= feed.lastIndex && feed.previous == positionAt(asked);
    if (!m_probe.isMatched) {
        m_probe.index = std::min(asked - 1, feed.lastIndex);
        return;
    }
    for (LogEntry &entry : feed.entries) {
        m_probe.index = entry.position.index;
        if (positionAt(entry.position.index) != entry.position)
            replaceFrom(std::move(entry), now);
    }
    if (m_probe.index == feed.lastIndex && m_serverState == ServerState::Joining) {
        m_serverState = ServerState::Ready;
        reportChange();
    }
}

void StandinState::awaitSourceChange(const std::optional<ReplicationSource> &source,
                                     std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_isStopped || m_source != source; });
}

} // namespace nutmegtide::standin
