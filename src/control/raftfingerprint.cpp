// Serializes everything that determines what a RaftNode does next; see fingerprint().
#include "control/bytes.h"
#include "nutmegtide/control/raftnode.h"

namespace nutmegtide {

namespace {

void put(ByteWriter &out, const LogEntry &entry)
{
    out.number(entry.term);
    out.number(entry.index);
    out.number(static_cast<std::uint32_t>(entry.kind));
    out.text(entry.payload);
}

std::uint64_t ticksSince(TimePoint time, TimePoint now)
{
    return static_cast<std::uint64_t>((now - time).count());
}

} // namespace

std::string fingerprint(const RaftMessage &message)
{
    ByteWriter out;
    out.number(static_cast<std::uint8_t>(message.kind));
    out.text(message.sender.text());
    out.text(message.receiver.text());
    out.text(message.folder);
    out.number(message.term);
    out.number(message.lastIndex);
    out.number(message.lastTerm);
    out.number(message.commit);
    out.number(static_cast<std::uint8_t>(message.isGranted));
    for (const LogEntry &entry : message.entries)
        put(out, entry);
    out.number(message.snapshot.index);
    return out.bytes();
}

std::string RaftNode::fingerprint() const
{
    ByteWriter out;
    out.text(role());
    out.number(m_vote.term);
    out.text(m_vote.votedFor.text());
    out.text(m_leader.text());
    out.number(ticksSince(m_electionDue, m_now));
    out.number(isLeader() ? ticksSince(m_heartbeatDue, m_now) : 0);
    out.number(hasLeaderContact() && !isLeader() ? ticksSince(*m_lastLeaderContact, m_now) : 0);
    out.number(m_commit);
    out.number(m_durableIndex);
    out.number(m_log.snapshot().index);
    for (const LogEntry &entry : m_log.tail())
        put(out, entry);
    for (const auto &[vm, folder] : m_votes)
        out.text(vm.text());
    for (const auto &[vm, progress] : m_progress) {
        out.text(vm.text());
        out.number(progress.next);
        out.number(progress.match);
        out.number(ticksSince(progress.heard, m_now));
        out.number(static_cast<std::uint8_t>(progress.snapshotSent.has_value()));
    }
    out.text(m_learner ? m_learner->vm.text() : std::string());
    for (const DeferredMessage &held : m_deferredMessages) {
        out.number(held.write - m_syncedWrite);
        out.text(nutmegtide::fingerprint(held.message));
    }
    out.number(m_lastWrite - m_syncedWrite);
    for (const auto &[write, index] : m_pendingLogWrites) {
        out.number(write - m_syncedWrite);
        out.number(index);
    }
    return out.bytes();
}

} // namespace nutmegtide
