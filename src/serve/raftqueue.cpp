#include "serve/raftqueue.h"

namespace nutmegtide {

namespace {

std::size_t sizeOf(const RaftMessage &message)
{
    std::size_t size = message.snapshot.state.size();
    for (const LogEntry &entry : message.entries)
        size += entry.payload.size();
    return size;
}

} // namespace

void RaftQueue::put(RaftMessage message)
{
    m_bytes += sizeOf(message);
    m_messages.push_back(std::move(message));
    while (m_messages.size() > MaxMessages || (m_bytes > MaxBytes && m_messages.size() > 1))
        takeFirst();
}

std::vector<RaftMessage> RaftQueue::takeBatch()
{
    std::vector<RaftMessage> batch;
    std::size_t bytes = 0;
    while (!m_messages.empty() && (batch.empty() || bytes < MaxBatchBytes)) {
        batch.push_back(takeFirst());
        bytes += sizeOf(batch.back());
    }
    return batch;
}

RaftMessage RaftQueue::takeFirst()
{
    RaftMessage message = std::move(m_messages.front());
    m_messages.pop_front();
    m_bytes -= sizeOf(message);
    return message;
}

} // namespace nutmegtide
