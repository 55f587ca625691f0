// ControlLog: what it does for each action of RaftNode, and its snapshots.
#include "control/bytes.h"
#include "serve/controllog.h"

namespace nutmegtide {

void ControlLog::perform(const RaftActions &actions)
{
    for (const RaftAction &action : actions)
        std::visit([this](const auto &kind) { perform(kind); }, action);
}

void ControlLog::perform(const SendMessage &action)
{
    const VmName &peer = action.message.receiver;
    auto &sender = m_senders[peer];
    if (!sender)
        sender = std::make_unique<RaftSender>(peer, m_directory, m_peers,
                                              [this](const VmName &vm, const auto &refusal) {
                                                  noteFolderAnswer(vm, refusal);
                                              });
    sender->send(action.message);
}

void ControlLog::perform(const ApplyCommitted &action)
{
    for (LogIndex index = action.first; index <= action.last; ++index) {
        const LogEntry &entry = m_node->log().at(index);
        apply(entry);
        settleWaiter(entry);
    }
    maintainSnapshots();
}

void ControlLog::apply(const LogEntry &entry)
{
    m_applied = entry.index;
    m_snapshots.addApplied(entry.payload.size());
    const auto machine = m_machines.find(static_cast<CommandKind>(entry.kind));
    if (machine != m_machines.end())
        machine->second->apply(entry.index, entry.payload);
}

void ControlLog::settleWaiter(const LogEntry &entry)
{
    const auto waiter = m_waiters.find(entry.index);
    if (waiter == m_waiters.end())
        return;
    if (waiter->second.term == entry.term) {
        waiter->second.result.set_value(entry.index);
    } else {
        // Another leader's entry stands in this place, so the command can never be committed.
        waiter->second.result.set_exception(std::make_exception_ptr(
                NotLeaderError("another leader took over", m_node->leader())));
    }
    m_waiters.erase(waiter);
}

void ControlLog::maintainSnapshots()
{
    if (m_snapshots.isStoreDue())
        storeCapturedState();
    if (!m_snapshots.isCaptureDue())
        return;
    captureState();
    if (m_snapshots.isStoreDue())
        storeCapturedState();
}

void ControlLog::captureState()
{
    m_captured = CapturedState {m_applied, machineStates()};
    m_snapshots.noteCaptured(m_captured->state.size());
}

void ControlLog::storeCapturedState()
{
    CapturedState captured = *std::exchange(m_captured, std::nullopt);
    m_snapshots.noteStored();
    perform(m_node->snapshotTaken(captured.index, std::move(captured.state)));
}

std::string ControlLog::machineStates() const
{
    ByteWriter writer;
    for (const auto &[kind, machine] : m_machines) {
        writer.number(static_cast<std::uint32_t>(kind));
        writer.text(machine->snapshot());
    }
    return writer.bytes();
}

void ControlLog::restoreMachines(const std::string &state)
{
    ByteReader reader(state);
    while (!reader.isAtEnd()) {
        const auto kind = static_cast<CommandKind>(reader.number<std::uint32_t>());
        const std::string part = reader.text();
        const auto machine = m_machines.find(kind);
        if (machine != m_machines.end())
            machine->second->restore(part);
    }
}

void ControlLog::perform(const RestoreState &action)
{
    m_applied = action.index;
    m_snapshots.noteRestored();
    m_captured.reset();
    failWaiters(m_waiters.begin(), m_waiters.upper_bound(action.index),
                std::make_exception_ptr(
                        ProposalUnknownError("a snapshot stands in the place of the entry")));
    restoreMachines(action.state);
}

void ControlLog::perform(const BecameLeader &action)
{
    EventFields fields;
    fields.term = action.term;
    m_recorder.record(EventKind::ControlLeader, fields);
}

void ControlLog::perform(const SteppedDown &action)
{
    EventFields fields;
    fields.term = action.term;
    fields.details = {{"reason", action.reason}};
    m_recorder.record(EventKind::ControlSteppedDown, fields);
}

void ControlLog::perform(const RoleChanged &action)
{
    EventFields fields;
    fields.term = m_node->term();
    fields.details = detailsOf(action.step);
    m_recorder.record(EventKind::ChartTransition, fields);
}

// A snapshot takes the place of all entries before it, so it makes room on a full disk.
void ControlLog::flushWrites()
{
    FlushResult result;
    do {
        result = m_writer->flush();
        if (result.last != 0)
            perform(m_node->synced(result.last));
        if (result.isDiskFull && m_applied > m_node->log().snapshot().index) {
            captureState();
            storeCapturedState();
        }
    } while (result.last != 0);
}

} // namespace nutmegtide
