#include "nutmegtide/proxy/homequeue.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace nutmegtide {

namespace {

// Penalty of a long statement, in multiples of its own expected run time.
constexpr int LongStatementFactor = 5;
// One of so many statements is ordered by its deadline alone.
constexpr int FairTurnInterval = 5;

// In a fair queue, the factor between the weights of a rank and the next, as a power of 2. A lower
// class still gets a share that its statements can use within their longest wait.
constexpr int RankShift = 2;
constexpr int PriorityShift = 1; // the same between two priorities of workspaces
constexpr int MaxRankSteps = 4;
constexpr int MaxPrioritySteps = 4; // up and down
// Bounds of the work of which a statement's cost is made. It is reported by other processes.
constexpr Duration MinWork = 1ms;
constexpr Duration MaxWork = 10s;
// A waiting statement is given up if this part of its expected wait exceeds what it may wait. The
// expected wait is an estimate, and the statement has been accepted by it before.
constexpr int GiveUpDivisor = 2;

std::uint64_t flowOf(std::uint64_t workspace, int rank)
{
    // Two flows that happen to have the same number share their turns, which is harmless.
    constexpr std::uint64_t Mixer = 0x9e3779b97f4a7c15;
    return workspace + static_cast<std::uint64_t>(rank) * Mixer;
}

HomeQueue::Round costOf(const Urgency &urgency, int priority)
{
    const Duration work = std::clamp(urgency.work, MinWork, MaxWork);
    const int rankSteps = std::clamp(urgency.rank - 1, 0, MaxRankSteps);
    const int prioritySteps = std::clamp(priority, -MaxPrioritySteps, MaxPrioritySteps);
    const int shift = rankSteps * RankShift + (prioritySteps + MaxPrioritySteps) * PriorityShift;
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(work).count();
    return static_cast<HomeQueue::Round>(microseconds) << shift;
}

bool isUrgent(const HomeQueue::Item &item)
{
    return item.rank <= 0;
}

bool goesFairlyBefore(const HomeQueue::Item &left, const HomeQueue::Item &right)
{
    // Urgent statements have round 0.
    return std::tuple(!isUrgent(left), left.round, left.sortTime, left.ticket)
            < std::tuple(!isUrgent(right), right.round, right.sortTime, right.ticket);
}

bool isOfLessValue(const HomeQueue::Item &left, const HomeQueue::Item &right)
{
    // Within a rank, the latest round is that of the flow that is most above its share.
    return std::tie(left.rank, left.round, left.ticket)
            > std::tie(right.rank, right.round, right.ticket);
}

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

void HomeQueue::setFair(bool isFair)
{
    if (std::exchange(m_isFair, isFair) == isFair)
        return;
    // What waits keeps its order, and goes before what arrives later if sharing begins.
    std::stable_sort(m_items.begin(), m_items.end(), goesBefore);
    for (Item &item : m_items)
        item.round = item.cost = item.flow = 0;
    m_rounds.clear();
    m_urgentInRow = 0;
}

bool HomeQueue::add(Ticket ticket, const Urgency &urgency, Duration perStatement, TimePoint now,
                    const WorkspaceShare &share)
{
    const Item item {ticket, urgency.rank, sortTimeOf(urgency, now), now + urgency.maxWait};
    if (m_isFair)
        return addFairly(item, urgency, perStatement, now, share);
    const auto place = std::upper_bound(m_items.begin(), m_items.end(), item, goesBefore);
    const auto ahead = static_cast<int>(place - m_items.begin());
    if (urgency.rank > 0 && perStatement * ahead > urgency.maxWait)
        return false;
    m_items.insert(place, item);
    return true;
}

bool HomeQueue::addFairly(Item item, const Urgency &urgency, Duration perStatement, TimePoint now,
                          const WorkspaceShare &share)
{
    if (isUrgent(item)) {
        m_items.push_back(item);
        sortFairly();
        shedLate(placeOf(item.ticket) + 1, perStatement, now);
        return true;
    }
    item.workspace = std::hash<WorkspaceName>()(share.workspace);
    item.flow = flowOf(item.workspace, item.rank);
    item.cost = costOf(urgency, share.priority) * ranksOf(item);
    const Round start = startOf(item.flow);
    m_items.push_back(item);
    assignRounds(item.flow, start);
    sortFairly();
    const std::size_t place = placeOf(item.ticket);
    if (perStatement * place > urgency.maxWait) {
        const auto inTime = static_cast<std::size_t>(std::max(urgency.maxWait, Duration())
                                                     / perStatement);
        if (!shedAhead(place, place - inTime)) {
            erase(item.ticket);
            return false;
        }
    }
    if (m_items.size() > MaxFairLength)
        shedLeast();
    const bool isShed = !m_shed.empty() && m_shed.back() == item.ticket;
    if (isShed) {
        m_shed.pop_back();
        return false;
    }
    shedLate(placeOf(item.ticket) + 1, perStatement, now);
    return true;
}

HomeQueue::Round HomeQueue::ranksOf(const Item &added) const
{
    const auto bit = [](int rank) { return std::uint64_t(1) << std::clamp(rank, 0, 63); };
    std::uint64_t ranks = bit(added.rank);
    for (const Item &item : m_items) {
        if (!isUrgent(item) && item.workspace == added.workspace)
            ranks |= bit(item.rank);
    }
    return static_cast<Round>(std::popcount(ranks));
}

HomeQueue::Round HomeQueue::startOf(std::uint64_t flow) const
{
    const auto first = std::find_if(m_items.begin(), m_items.end(), [flow](const Item &item) {
        return !isUrgent(item) && item.round > 0 && item.flow == flow;
    });
    return first == m_items.end() ? m_rounds.next(flow, 0) : first->round - first->cost;
}

void HomeQueue::assignRounds(std::uint64_t flow, Round start)
{
    std::vector<Item *> own;
    for (Item &item : m_items) {
        if (!isUrgent(item) && item.cost > 0 && item.flow == flow)
            own.push_back(&item);
    }
    std::sort(own.begin(), own.end(), [](const Item *left, const Item *right) {
        return std::tie(left->sortTime, left->ticket) < std::tie(right->sortTime, right->ticket);
    });
    m_rounds.assign(flow, start);
    for (Item *item : own) {
        item->round = m_rounds.next(flow, item->cost);
        m_rounds.assign(flow, item->round);
    }
}

void HomeQueue::sortFairly()
{
    std::sort(m_items.begin(), m_items.end(), goesFairlyBefore);
    if (!isUrgentTurnOver())
        return;
    const auto other = std::find_if_not(m_items.begin(), m_items.end(), isUrgent);
    if (other != m_items.end())
        std::rotate(m_items.begin(), other, other + 1);
}

std::size_t HomeQueue::placeOf(Ticket ticket) const
{
    const auto found = std::find_if(m_items.begin(), m_items.end(),
                                    [ticket](const Item &item) { return item.ticket == ticket; });
    return static_cast<std::size_t>(found - m_items.begin());
}

bool HomeQueue::hasPredecessor(std::size_t place) const
{
    const auto end = m_items.begin() + static_cast<std::ptrdiff_t>(place);
    return std::any_of(m_items.begin(), end, [end](const Item &item) {
        return !isUrgent(item) && item.flow == end->flow;
    });
}

bool HomeQueue::shedAhead(std::size_t place, std::size_t count)
{
    std::vector<Item> surplus;
    for (std::size_t i = 0; i < place; ++i) {
        if (m_items[i].rank > m_items[place].rank && hasPredecessor(i))
            surplus.push_back(m_items[i]);
    }
    if (surplus.size() < count)
        return false;
    std::sort(surplus.begin(), surplus.end(), isOfLessValue);
    for (std::size_t i = 0; i < count; ++i)
        shed(surplus[i].ticket);
    return true;
}

void HomeQueue::shedLeast()
{
    const auto least = std::min_element(m_items.begin(), m_items.end(), isOfLessValue);
    if (!isUrgent(*least))
        shed(least->ticket);
}

void HomeQueue::shedLate(std::size_t place, Duration perStatement, TimePoint now)
{
    while (place < m_items.size()) {
        const Item &item = m_items[place];
        const bool isLate = perStatement * place / GiveUpDivisor > item.dueAt - now;
        if (!isUrgent(item) && isLate)
            shed(item.ticket);
        else
            ++place;
    }
}

void HomeQueue::shed(Ticket ticket)
{
    m_shed.push_back(ticket);
    erase(ticket);
}

// Removes a statement that had no turn. Those of its flow that wait behind it move up.
void HomeQueue::erase(Ticket ticket)
{
    const auto found = m_items.begin() + static_cast<std::ptrdiff_t>(placeOf(ticket));
    if (found == m_items.end())
        return;
    const Item item = *found;
    const Round start = item.cost > 0 ? startOf(item.flow) : 0;
    m_items.erase(found);
    if (item.cost > 0)
        assignRounds(item.flow, start);
    sortFairly();
}

void HomeQueue::start(Ticket ticket)
{
    const std::size_t place = placeOf(ticket);
    if (!m_isFair || place == m_items.size())
        return remove(ticket);
    const Item item = m_items[place];
    m_items.erase(m_items.begin() + static_cast<std::ptrdiff_t>(place));
    const auto next = std::find_if_not(m_items.begin(), m_items.end(), isUrgent);
    const bool othersWait = next != m_items.end();
    if (!isUrgent(item)) {
        // One that started out of its turn doesn't move the round beyond those that wait.
        m_rounds.advance(othersWait ? std::min(item.round, next->round) : item.round);
    }
    if (!othersWait)
        m_rounds.clear();
    const bool wasTurnOver = isUrgentTurnOver();
    m_urgentInRow = isUrgent(item) && othersWait ? m_urgentInRow + 1 : 0;
    if (wasTurnOver != isUrgentTurnOver())
        sortFairly();
}

void HomeQueue::remove(Ticket ticket)
{
    if (m_isFair)
        return erase(ticket);
    std::erase_if(m_items, [ticket](const Item &item) { return item.ticket == ticket; });
}

std::vector<HomeQueue::Ticket> HomeQueue::takeOverdue(TimePoint now)
{
    std::vector<Ticket> overdue;
    for (const Item &item : m_items) {
        if (item.dueAt <= now)
            overdue.push_back(item.ticket);
    }
    if (m_isFair) {
        for (const Ticket ticket : overdue)
            erase(ticket);
        return overdue;
    }
    std::erase_if(m_items, [now](const Item &item) { return item.dueAt <= now; });
    return overdue;
}

} // namespace nutmegtide
