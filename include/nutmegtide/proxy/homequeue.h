#pragma once

#include "nutmegtide/base/time.h"

#include <cstdint>
#include <vector>

namespace nutmegtide {

// How soon a statement must reach its server.
struct Urgency
{
    int rank = 0; // a lower one goes first
    Duration maxWait {}; // that it may wait, from its arrival at the queue
    Duration work {}; // that it usually takes at a server
};

// Statements that wait for one backend server, where all of the fleet's work for it meets.
//
// Lower ranks go first, since a transaction that is open holds a connection and locks. Within a
// rank the one that can wait least goes first, so that a burst of patient reads doesn't make the
// others late, and long statements let shorter ones pass that come a few of their own times later:
// where not everything fits, more callers are served so. Of each few statements one takes its turn
// by its patience alone, so that long ones are never starved. What can't be served in its patience
// by the pace of the server is refused when it comes.
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
        TimePoint sortTime; // an earlier one goes first within a rank
        TimePoint dueAt;
    };

    // `perStatement` is the mean time between two statements that the server ends while it is busy.
    // Returns false for a statement that would wait too long; rank 0 is always taken.
    bool add(Ticket ticket, const Urgency &urgency, Duration perStatement, TimePoint now);
    void remove(Ticket ticket);
    // In the order in which they should run.
    const std::vector<Item> &items() const { return m_items; }
    // Takes out what has waited for its whole patience.
    std::vector<Ticket> takeOverdue(TimePoint now);
    bool isEmpty() const { return m_items.empty(); }

private:
    TimePoint sortTimeOf(const Urgency &urgency, TimePoint now);

    std::vector<Item> m_items;
    int m_added = 0; // statements since the latest fair turn
};

} // namespace nutmegtide
