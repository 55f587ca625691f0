#include "nutmegtide/proxy/homequeue.h"

#include <algorithm>
#include <tuple>

namespace nutmegtide {

namespace {

// Penalty of a long statement, in multiples of its own expected run time.
constexpr int LongStatementFactor = 5;
// One of so many statements is ordered by its deadline alone.
constexpr int FairTurnInterval = 5;

bool goesBefore(const HomeQueue::Item &left, const HomeQueue::Item &right)
{
    return std::tie(left.rank, left.sortTime) < std::tie(right.rank, right.sortTime);
}

} // namespace

TimePoint HomeQueue::sortTimeOf(const Urgency &urgency, TimePoint now)
{
    m_added = (m_added + 1) % FairTurnInterval;
    const bool isFairTurn = m_added == 0;
    return now + urgency.maxWait + (isFairTurn ? Duration() : urgency.work * LongStatementFactor);
}

bool HomeQueue::add(Ticket ticket, const Urgency &urgency, Duration perStatement, TimePoint now)
{
    const Item item {ticket, urgency.rank, sortTimeOf(urgency, now), now + urgency.maxWait};
    const auto place = std::upper_bound(m_items.begin(), m_items.end(), item, goesBefore);
    const auto ahead = static_cast<int>(place - m_items.begin());
    if (urgency.rank > 0 && perStatement * ahead > urgency.maxWait)
        return false;
    m_items.insert(place, item);
    return true;
}

void HomeQueue::remove(Ticket ticket)
{
    std::erase_if(m_items, [ticket](const Item &item) { return item.ticket == ticket; });
}

std::vector<HomeQueue::Ticket> HomeQueue::takeOverdue(TimePoint now)
{
    std::vector<Ticket> overdue;
    for (const Item &item : m_items) {
        if (item.dueAt <= now)
            overdue.push_back(item.ticket);
    }
    std::erase_if(m_items, [now](const Item &item) { return item.dueAt <= now; });
    return overdue;
}

} // namespace nutmegtide
