#pragma once

#include "nutmegtide/base/ids.h"
#include "nutmegtide/base/time.h"
#include "nutmegtide/statement/fairrounds.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace nutmegtide {

// Scheduling parameters of a statement that is sent to a server.
struct Urgency
{
    int rank = 0; // scheduling class; lower ranks go first, 0 is for open transactions
    Duration maxWait {}; // longest time in the queue, from arrival
    Duration work {}; // expected run time at a server; zero if unknown
};

// The workspace whose statement it is. One that a home doesn't know has priority 0.
struct WorkspaceShare
{
    WorkspaceName workspace;
    int priority = 0; // lower values go first
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
// With setFair(true) the statements of ranks above 0 share the server by FairRounds. A flow is a
// workspace and a rank; its weight is halved with each step of the workspace's priority and
// divided by 4 with each step of the rank. The weight of a workspace is divided
// between its ranks that wait, so that it gets no more by using several. Within a flow the order is
// as above. Rank 0 goes first, but after MaxUrgentInRow of its statements one of another rank is
// first if any waits. The queue then has a bound, and removes waiting statements of less value than
// a new one (takeShed).
//
//   if (!queue.add(ticket, urgency, pace, now, share))
//       refuse(ticket);
//   for (const HomeQueue::Ticket shed : queue.takeShed())
//       refuse(shed);
//   for (const HomeQueue::Item &item : queue.items())
//       if (mayRun(item.ticket)) {
//           queue.start(item.ticket);
//           run(item.ticket);
//       }
class HomeQueue
{
public:
    using Ticket = std::uint64_t;
    using Round = std::uint64_t;

    // Bound of the statements that wait in a fair queue. Even a server that runs one in 2 ms serves
    // no more in the longest wait of 150 ms with 4 slots.
    static constexpr std::size_t MaxFairLength = 300;
    // Statements of rank 0 in a row while another rank waits.
    static constexpr int MaxUrgentInRow = 8;

    struct Item
    {
        Ticket ticket = 0;
        int rank = 0;
        // Ordering key within a rank: the deadline, plus a penalty for long statements.
        TimePoint sortTime;
        // Deadline: the end of the statement's maxWait.
        TimePoint dueAt;
        // Used in a fair queue, for ranks above 0.
        std::uint64_t workspace = 0;
        std::uint64_t flow = 0;
        Round cost = 0;
        Round round = 0;
    };

    // Switches between the order by rank and fair sharing.
    void setFair(bool isFair);
    // Queues a statement. `perStatement` is the mean time between two completions at the busy
    // server. Returns false if the expected wait exceeds `urgency.maxWait`; rank 0 is always
    // accepted.
    bool add(Ticket ticket, const Urgency &urgency, Duration perStatement, TimePoint now,
             const WorkspaceShare &share = {});
    // Returns the statements that the latest add() removed in favour of others. They were not sent.
    std::vector<Ticket> takeShed() { return std::exchange(m_shed, {}); }
    // Removes a statement that occupies a slot of the server from now on.
    void start(Ticket ticket);
    // Removes a statement that doesn't.
    void remove(Ticket ticket);
    // Returns the waiting statements in the order in which they should run.
    const std::vector<Item> &items() const { return m_items; }
    // Removes and returns the statements that have waited for their maxWait.
    std::vector<Ticket> takeOverdue(TimePoint now);
    bool isEmpty() const { return m_items.empty(); }

private:
    TimePoint sortTimeOf(const Urgency &urgency, TimePoint now);
    bool addFairly(Item item, const Urgency &urgency, Duration perStatement, TimePoint now,
                   const WorkspaceShare &share);
    // Returns in how many ranks the workspace of the added statement has statements, this one included.
    Round ranksOf(const Item &added) const;
    bool isUrgentTurnOver() const { return m_urgentInRow >= MaxUrgentInRow; }
    // Returns the round after which the flow's waiting statements, or its next one, are counted.
    Round startOf(std::uint64_t flow) const;
    // Assigns rounds to the flow's waiting statements, in their order.
    void assignRounds(std::uint64_t flow, Round start);
    void sortFairly();
    std::size_t placeOf(Ticket ticket) const;
    // Returns whether an earlier statement of the same flow waits.
    bool hasPredecessor(std::size_t place) const;
    // Removes so many statements of higher ranks that wait before the statement at this place. The
    // first one of each flow stays, so that no workspace loses its turn. Returns false, and removes
    // nothing, if there aren't enough.
    bool shedAhead(std::size_t place, std::size_t count);
    // Removes the statement of least value.
    void shedLeast();
    // Removes the statements from this place on that can't start in time any more.
    void shedLate(std::size_t place, Duration perStatement, TimePoint now);
    void shed(Ticket ticket);
    void erase(Ticket ticket);

    std::vector<Item> m_items;
    std::vector<Ticket> m_shed;
    FairRounds<std::uint64_t> m_rounds;
    bool m_isFair = false;
    int m_urgentInRow = 0; // started since the latest statement of another rank
    int m_added = 0; // statements since the last one that was ordered by its deadline alone
};

} // namespace nutmegtide
