#include "serve/raftqueue.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

RaftMessage messageOf(LogIndex index, std::size_t bytes)
{
    RaftMessage message;
    message.lastIndex = index;
    message.entries.push_back({1, index + 1, EntryKind::Config, std::string(bytes, 'x')});
    return message;
}

} // namespace

// Guards against a VM that is away while large changes go on: what waited for it filled the memory
// of the control leader.
TEST_CASE("what waits for a VM is bounded in messages and bytes, and the newest messages stay")
{
    struct Row
    {
        std::size_t messageBytes;
        std::size_t kept; // of 200 messages
    };
    const Row rows[] = {{0, 64}, {1'000, 64}, {262'144, 32}, {RaftQueue::MaxBytes + 1, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.messageBytes);
        RaftQueue queue;
        constexpr LogIndex Messages = 200;
        for (LogIndex index = 0; index < Messages; ++index)
            queue.put(messageOf(index, row.messageBytes));
        CHECK(queue.bytes() == row.kept * row.messageBytes);
        LogIndex expected = Messages - row.kept;
        while (!queue.isEmpty()) {
            const std::vector<RaftMessage> batch = queue.takeBatch();
            REQUIRE_FALSE(batch.empty());
            for (const RaftMessage &message : batch)
                CHECK(message.lastIndex == expected++);
        }
        CHECK(expected == Messages);
        CHECK(queue.bytes() == 0);
    }
}
