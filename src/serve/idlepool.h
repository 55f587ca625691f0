#pragma once

#include "nutmegtide/base/time.h"

#include <deque>
#include <map>
#include <memory>

namespace nutmegtide {

struct IdleLimits
{
    std::size_t mostPerPeer = 64;
    // Gossip reaches each peer of a large fleet seldom, and an open connection costs both sides.
    std::chrono::minutes longest {3};
};

// Connections that wait for their next use, of which the latest used is taken first.
// Those that nobody takes for long are given out to be closed. Not thread-safe.
template <typename Peer, typename Connection>
class IdlePool
{
public:
    using Owned = std::unique_ptr<Connection>;

    explicit IdlePool(IdleLimits limits = {})
        : m_limits(limits)
    { }

    // Returns nothing where no connection to the peer waits.
    Owned take(const Peer &peer)
    {
        const auto found = m_idle.find(peer);
        if (found == m_idle.end())
            return nullptr;
        Owned connection = std::move(found->second.back().connection);
        found->second.pop_back();
        if (found->second.empty())
            m_idle.erase(found);
        return connection;
    }

    // Keeps the connection, unless enough of them wait for the peer.
    void put(const Peer &peer, Owned connection, TimePoint now)
    {
        std::deque<Idle> &idle = m_idle[peer];
        if (idle.size() < m_limits.mostPerPeer)
            idle.push_back({std::move(connection), now});
    }

    // Closes the connections that have waited for too long.
    void closeUnused(TimePoint now)
    {
        for (auto entry = m_idle.begin(); entry != m_idle.end();) {
            std::deque<Idle> &idle = entry->second;
            while (!idle.empty() && now - idle.front().since >= m_limits.longest)
                idle.pop_front();
            entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
        }
    }

    std::size_t peerCount() const { return m_idle.size(); }

private:
    struct Idle
    {
        Owned connection;
        TimePoint since;
    };

    const IdleLimits m_limits;
    std::map<Peer, std::deque<Idle>> m_idle; // the longest waiting first
};

} // namespace nutmegtide
