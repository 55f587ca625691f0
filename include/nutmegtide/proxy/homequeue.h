#pragma once

#include "nutmegtide/base/time.h"

#include <cstdint>
#include <vector>

namespace nutmegtide {

// Scheduling parameters of a statement that is sent to a server.
struct Urgency
{
    int rank = 0; // scheduling class; lower ranks go first, 0 is for open transactions
    Duration maxWait {}; // longest time in the queue, from arrival
    Duration work {}; // expected run time at a server; zero if unknown
};

// Priority queue of the statements that wait for one backend server. The server's home holds it, so
// the work of all proxies for the server is ordered in one place.
//
// Items are ordered by rank, so that open transactions, which hold a connection and locks, go
// first. Within a rank they are ordered by deadline, so that a burst of statements with distant
// deadlines doesn't delay the others, plus a penalty for long statements: under overload more
// callers are served if shorter statements that arrive a little later overtake long ones. Every few
// statements one is ordered by its deadline alone, so that long statements aren't starved. A
// statement whose expected wait exceeds its maxWait is rejected on arrival.
//
//   if (!queue.add(ticket, urgency, pace, now))
//       refuse(ticket);
//   for (const HomeQueue::Item &item : queue.items())
//       if (mayRun(item.ticket))
//           run(item.ticket);
class HomeQueue
{
public:
    using Ticket = std::uint64_t;

    struct Item
    {
        Ticket ticket = 0;
        int rank = 0;
        // Ordering key within a rank: the deadline, plus a penalty for long statements.
        TimePoint sortTime;
        // Deadline: the end of the statement's maxWait.
        TimePoint dueAt;
    };

    // Queues a statement. `perStatement` is the mean time between two completions at the busy
    // server. Returns false if the expected wait exceeds `urgency.maxWait`; rank 0 is always
    // accepted.
    bool add(Ticket ticket, const Urgency &urgency, Duration perStatement, TimePoint now);
    void remove(Ticket ticket);
    // Returns the waiting statements in the order in which they should run.
    const std::vector<Item> &items() const { return m_items; }
    // Removes and returns the statements that have waited for their maxWait.
    std::vector<Ticket> takeOverdue(TimePoint now);
    bool isEmpty() const { return m_items.empty(); }

private:
    TimePoint sortTimeOf(const Urgency &urgency, TimePoint now);

    std::vector<Item> m_items;
    int m_added = 0; // statements since the last one that was ordered by its deadline alone
};

} // namespace nutmegtide
