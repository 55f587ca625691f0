#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

namespace nutmegtide {

// The scheduling policy of the statement queues: start-time fair queueing with flows and weights.
//
// Each waiting statement has a round, and the lowest round goes first. A flow's next statement
// gets the round after its latest one, or after the present one if the flow had none since, plus
// the statement's cost. The cost is the statement's work divided by the weight of its flow. So
// flows that have statements waiting are served in proportion to their weights, a flow that had
// none doesn't save up turns, and what one flow doesn't use goes to the others.
//
//   const FairRounds<FlowId>::Round round = rounds.next(flow, cost);
//   rounds.assign(flow, round); // once the statement waits
//   rounds.advance(round); // once a statement of this round has started in its turn
//   rounds.clear(); // once no statement waits
template <typename Flow>
class FairRounds
{
public:
    using Round = std::uint64_t;

    // Returns the round of the flow's next statement.
    Round next(const Flow &flow, Round cost) const
    {
        const auto last = m_last.find(flow);
        return (last == m_last.end() ? m_current : std::max(m_current, last->second)) + cost;
    }
    // Sets the latest round that the flow has been given.
    void assign(const Flow &flow, Round round)
    {
        m_last[flow] = round;
        if (m_last.size() < m_pruneAt)
            return;
        std::erase_if(m_last, [this](const auto &item) { return item.second <= m_current; });
        m_pruneAt = std::max(MinPruned, 2 * m_last.size());
    }
    // Counts the flow's next round from the present one, since it had less than its turn.
    void restart(const Flow &flow) { assign(flow, m_current); }
    void advance(Round round) { m_current = std::max(m_current, round); }
    void clear() { m_last.clear(); }
    Round current() const { return m_current; }
    std::size_t flowCount() const { return m_last.size(); }

private:
    // Flows whose rounds have passed count like new ones. They are removed when the table has
    // doubled, so that a statement costs a constant time on average.
    static constexpr std::size_t MinPruned = 64;

    std::map<Flow, Round> m_last;
    Round m_current = 0; // of the statement that started last
    std::size_t m_pruneAt = MinPruned;
};

} // namespace nutmegtide
