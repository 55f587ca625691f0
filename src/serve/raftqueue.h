#pragma once

#include "nutmegtide/control/raftmessage.h"

#include <deque>
#include <vector>

namespace nutmegtide {

// The control log messages that wait for one VM. It is bounded in messages and bytes, since the VM
// may be away for long: the oldest messages are dropped, and the log sends their contents again.
//
//   queue.put(message);
//   const std::vector<RaftMessage> batch = queue.takeBatch();
class RaftQueue
{
public:
    static constexpr std::size_t MaxMessages = 64;
    static constexpr std::size_t MaxBytes = 8 * 1024
            * 1024; // of payloads; a single message may be larger
    static constexpr std::size_t MaxBatchBytes = 4 * 1024 * 1024; // below a peer's largest frame

    void put(RaftMessage message);
    // Removes and returns the oldest messages that fit in one call; at least one if there is any.
    std::vector<RaftMessage> takeBatch();
    bool isEmpty() const { return m_messages.empty(); }
    std::size_t bytes() const { return m_bytes; }

private:
    RaftMessage takeFirst();

    std::deque<RaftMessage> m_messages;
    std::size_t m_bytes = 0;
};

} // namespace nutmegtide
