#include "nutmegtide/events/timeline.h"

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <tuple>

namespace nutmegtide {

namespace {

// Orders events by Kahn's algorithm over the edges of process order and of causes,
// taking the lowest stamp among those that are free.
class CausalOrder
{
public:
    explicit CausalOrder(const std::vector<TimelinePart> &parts)
    {
        for (const TimelinePart &part : parts)
            addPart(part);
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            addCause(i);
    }

    std::vector<Event> events()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_blocked.insert(i, m_nodes);
            if (m_nodes[i].waitsFor == 0)
                m_free.insert(i, m_nodes);
        }
        std::vector<Event> ordered;
        ordered.reserve(m_nodes.size());
        while (!m_blocked.keys.empty()) {
            const std::size_t next = m_free.keys.empty() ? m_blocked.first() : m_free.first();
            release(next);
            ordered.push_back(*m_nodes[next].event);
        }
        return ordered;
    }

private:
    struct Node
    {
        const Event *event;
        std::size_t waitsFor = 0;
        std::vector<std::size_t> followers {};
    };

    // Node numbers by stamp, then by number, so that the order is the same every time.
    struct StampOrder
    {
        using Key = std::tuple<std::int64_t, std::uint32_t, std::size_t>;

        static Key keyOf(std::size_t node, const std::vector<Node> &nodes)
        {
            const HlcTime &time = nodes[node].event->time;
            return {time.physicalMicroseconds, time.logical, node};
        }
        void insert(std::size_t node, const std::vector<Node> &nodes)
        {
            keys.insert(keyOf(node, nodes));
        }
        void erase(std::size_t node, const std::vector<Node> &nodes)
        {
            keys.erase(keyOf(node, nodes));
        }
        std::size_t first() const { return std::get<std::size_t>(*keys.begin()); }

        std::set<Key> keys;
    };

    void addPart(const TimelinePart &part)
    {
        std::optional<std::size_t> previous;
        for (const Event &event : part.events) {
            const auto known = m_byId.find(event.id.text());
            if (known != m_byId.end()) {
                previous = known->second;
                continue;
            }
            const std::size_t node = m_nodes.size();
            m_nodes.push_back({&event});
            if (!event.id.isEmpty())
                m_byId.emplace(event.id.text(), node);
            if (previous)
                addEdge(*previous, node);
            previous = node;
        }
    }

    void addCause(std::size_t node)
    {
        const auto cause = m_byId.find(m_nodes[node].event->cause.text());
        if (cause != m_byId.end() && cause->second != node)
            addEdge(cause->second, node);
    }

    void addEdge(std::size_t before, std::size_t after)
    {
        m_nodes[before].followers.push_back(after);
        ++m_nodes[after].waitsFor;
    }

    void release(std::size_t node)
    {
        m_free.erase(node, m_nodes);
        m_blocked.erase(node, m_nodes);
        for (std::size_t follower : m_nodes[node].followers) {
            if (--m_nodes[follower].waitsFor == 0 && m_blocked.keys.contains(keyOf(follower)))
                m_free.insert(follower, m_nodes);
        }
    }

    StampOrder::Key keyOf(std::size_t node) const { return StampOrder::keyOf(node, m_nodes); }

    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_byId;
    StampOrder m_free; // nothing to wait for
    StampOrder m_blocked; // all that are not in the result yet, free or not
};

std::vector<TimelineGap> gapsOf(const std::vector<Event> &events)
{
    std::vector<TimelineGap> gaps;
    std::map<std::string, std::pair<std::size_t, std::int64_t>> open; // gap and start by database
    for (const Event &event : events) {
        const auto found = open.find(event.database.text());
        if (event.kind == EventKind::PrimarySuspected && found == open.end()) {
            open[event.database.text()] = {gaps.size(), event.time.physicalMicroseconds};
            gaps.push_back({event.database, event.id, {}, 0});
        }
        if (event.kind == EventKind::PrimaryPublished && found != open.end()) {
            TimelineGap &gap = gaps[found->second.first];
            gap.end = event.id;
            gap.microseconds = event.time.physicalMicroseconds - found->second.second;
            open.erase(found);
        }
    }
    for (const auto &[database, start] : open) {
        const std::int64_t last = events.back().time.physicalMicroseconds;
        gaps[start.first].microseconds = last - start.second;
    }
    return gaps;
}

} // namespace

Timeline mergeTimeline(const std::vector<TimelinePart> &parts,
                       const std::vector<UnreachableVm> &unreachable)
{
    Timeline timeline;
    timeline.events = CausalOrder(parts).events();
    timeline.unreachable = unreachable;
    for (const TimelinePart &part : parts) {
        if (part.dropped > 0)
            timeline.dropped.push_back({part.vm, part.dropped});
    }
    timeline.gaps = gapsOf(timeline.events);
    return timeline;
}

} // namespace nutmegtide
