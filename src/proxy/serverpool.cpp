// The servers and connections of ServerPool, and how it chooses among them.
#include "nutmegtide/proxy/serverpool.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

constexpr auto UsualHalfLife = 1s; // of what is known of a server's speed, without answers
constexpr auto UnusedTime = 500ms; // that an idle connection is kept
constexpr auto ScarceUnusedTime = 100ms; // the same, where there are too few for all processes
constexpr auto LastUnusedTime = 5s; // the same for the last one to a server
constexpr auto QuickAnswerTime = 300ms; // that accepting a connection or an empty transaction takes
constexpr std::size_t MostConnections = 12; // of one process to one server

// Costs of a read in milliseconds of the answer's time.
constexpr double OtherDomainCost = 12; // bytes between failure domains are dear
constexpr double PrimaryCost = 15; // its slots are for writes
constexpr double OpeningCost = 12;
constexpr double BehindCost = 200;

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// How long an idle connection is kept, one of so many to its server. A lane holds none of the
// server's.
Duration keptFor(const ServerConnection &connection, std::size_t count, bool isLeftToOthers)
{
    if (connection.isLane)
        return LastUnusedTime;
    if (isLeftToOthers)
        return ScarceUnusedTime;
    return count == 1 ? Duration(LastUnusedTime) : Duration(UnusedTime);
}

// A server that was slow and gets no work for that has no chance to show that it is fast again, so
// what is known of it counts less with time.
double usualMilliseconds(const PooledServer &state, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - state.answeredAt).count();
    const double weight = std::exp2(-age / std::chrono::duration<double>(UsualHalfLife).count());
    const double first = milliseconds(UsualTime::FirstGuess);
    return first + (milliseconds(state.usualTime.value()) - first) * weight;
}

} // namespace

std::vector<ConnectionKey> ServerPool::setServers(const std::vector<ServerRecord> &records,
                                                  TimePoint now)
{
    std::set<ServerId> named;
    std::vector<ConnectionKey> orphans;
    for (const ServerRecord &record : records) {
        named.insert(record.said.server);
        PooledServer &state = m_servers[record.said.server];
        const bool isReborn = state.record.said.lifetime != record.said.lifetime
                || state.record.said.address != record.said.address;
        if (isReborn && !state.connections.empty())
            orphans.insert(orphans.end(), state.connections.begin(), state.connections.end());
        if (isReborn || record.said.isPrimary != state.record.said.isPrimary
            || record.said.sequence > state.record.said.sequence)
            state.refusesWrites = false;
        if (isReborn || record.said.sequence > state.record.said.sequence)
            state.isElsewhere = false;
        if (isReborn)
            state.lag = {};
        if (record.said.isPrimary && (isReborn || !state.record.said.isPrimary))
            state.primarySince = now;
        if (!record.said.isPrimary || isReborn)
            state.stuckSince.reset();
        state.record = record;
    }
    for (auto &[server, state] : m_servers) {
        if (named.count(server) == 0)
            orphans.insert(orphans.end(), state.connections.begin(), state.connections.end());
    }
    std::erase_if(m_servers, [&named](const auto &item) {
        return named.count(item.first) == 0 && item.second.connections.empty()
                && item.second.waiting.empty();
    });
    return orphans;
}

std::optional<ServerId> ServerPool::primary(const ServiceName &service, TimePoint now) const
{
    const PooledServer *best = nullptr;
    for (const auto &[server, state] : m_servers) {
        const bool isCandidate = state.record.said.service == service && !state.record.isGone
                && state.record.said.isPrimary && !state.refusesWrites && !state.isElsewhere;
        if (!isCandidate)
            continue;
        // The one that became primary last, unless it can't be used.
        const auto rank = [now](const PooledServer &candidate) {
            return std::make_pair(candidate.avoidUntil <= now, candidate.primarySince);
        };
        if (best == nullptr || rank(state) > rank(*best))
            best = &state;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->record.said.server;
}

bool ServerPool::hasLeft(const ServerId &server, TimePoint now) const
{
    return m_servers.at(server).record.hasLeft(m_leaveTime, now);
}

std::vector<ServerId> ServerPool::takeLeft(TimePoint now)
{
    std::vector<ServerId> left;
    for (auto &[server, state] : m_servers) {
        const bool wasLeft = std::exchange(state.isLeftNoted,
                                           state.record.hasLeft(m_leaveTime, now));
        if (state.isLeftNoted && !wasLeft)
            left.push_back(server);
    }
    return left;
}

double ServerPool::costOf(const PooledServer &state, const ReadNeed &need, TimePoint now) const
{
    const double usual = usualMilliseconds(state, now);
    const int slots = std::max(1, state.record.said.slots);
    const auto queued = static_cast<double>(state.running)
            + static_cast<double>(state.waiting.size());
    double cost = usual * (1 + queued / slots);
    if (state.record.said.failureDomain != m_own)
        cost += OtherDomainCost;
    if (state.record.said.isPrimary)
        cost += PrimaryCost;
    if (state.idle.empty())
        cost += OpeningCost;
    if (!state.record.said.isPrimary && !state.lag.probablyHolds(need, now))
        cost += BehindCost;
    return cost;
}

std::optional<ServerId> ServerPool::chooseReader(const ServiceName &service, const ReadNeed &need,
                                                 const std::set<ServerId> &tried,
                                                 TimePoint now) const
{
    std::optional<ServerId> best;
    double lowest = 0;
    for (const auto &[server, state] : m_servers) {
        const ServerAnnouncement &said = state.record.said;
        const bool isCandidate = said.service == service && !state.record.isGone && !said.isLeaving
                && !state.isElsewhere && !state.failingSince && state.avoidUntil <= now
                && tried.count(server) == 0;
        if (!isCandidate || (state.idle.empty() && state.fullUntil > now))
            continue;
        const double cost = costOf(state, need, now);
        if (best && cost >= lowest)
            continue;
        best = server;
        lowest = cost;
    }
    return best;
}

std::vector<ServerId> ServerPool::serversOf(const ServiceName &service) const
{
    std::vector<ServerId> servers;
    for (const auto &[server, state] : m_servers) {
        if (state.record.said.service == service && !state.record.isGone)
            servers.push_back(server);
    }
    return servers;
}

PooledServer *ServerPool::find(const ServerId &server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

const PooledServer *ServerPool::find(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

ServerConnection *ServerPool::connection(ConnectionKey key)
{
    const auto found = m_connections.find(key);
    return found == m_connections.end() ? nullptr : &found->second;
}

ConnectionKey ServerPool::add(const ServerId &server, TimePoint now)
{
    const ConnectionKey key = ++m_lastKey;
    ServerConnection &connection = m_connections[key];
    connection.server = server;
    connection.usedAt = now;
    connection.sentAt = now;
    PooledServer &state = m_servers.at(server);
    state.connections.insert(key);
    ++state.opening;
    return key;
}

void ServerPool::opened(ConnectionKey key, TimePoint now)
{
    ServerConnection &connection = m_connections.at(key);
    connection.isOpen = true;
    connection.usedAt = now;
    PooledServer &state = m_servers.at(connection.server);
    --state.opening;
    state.failingSince.reset();
    state.answeredAt = now;
}

std::optional<ConnectionKey> ServerPool::takeIdle(const ServerId &server,
                                                  const SessionState &session,
                                                  const PreparedStatement *prepared)
{
    PooledServer &state = m_servers.at(server);
    auto best = state.idle.end();
    std::size_t lowest = 0;
    for (auto candidate = state.idle.begin(); candidate != state.idle.end(); ++candidate) {
        const std::size_t distance = m_connections.at(*candidate).image.distance(session, prepared);
        if (best != state.idle.end() && distance > lowest)
            continue;
        best = candidate;
        lowest = distance;
    }
    if (best == state.idle.end())
        return std::nullopt;
    const ConnectionKey key = *best;
    state.idle.erase(best);
    return key;
}

void ServerPool::putIdle(ConnectionKey key, TimePoint now)
{
    ServerConnection &connection = m_connections.at(key);
    connection.borrower.reset();
    connection.usedAt = now;
    m_servers.at(connection.server).idle.push_back(key);
}

std::optional<Borrower> ServerPool::remove(ConnectionKey key)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return std::nullopt;
    const ServerConnection connection = std::move(found->second);
    m_connections.erase(found);
    PooledServer &state = m_servers.at(connection.server);
    state.connections.erase(key);
    std::erase(state.idle, key);
    if (!connection.isOpen)
        --state.opening;
    const auto running = std::count(connection.expected.begin(), connection.expected.end(),
                                    Expectation::Statement);
    state.running -= static_cast<int>(running);
    return connection.borrower;
}

bool ServerPool::mayOpen(const ServerId &server, TimePoint now) const
{
    const PooledServer &state = m_servers.at(server);
    return state.fullUntil <= now && state.connections.size() < MostConnections;
}

std::vector<ConnectionKey> ServerPool::takeUnused(TimePoint now, const IsScarce &isScarce)
{
    std::vector<ConnectionKey> unused;
    for (auto &[server, state] : m_servers) {
        std::size_t kept = state.connections.size();
        const bool isLeftToOthers = !state.idle.empty() && isScarce(server);
        while (!state.idle.empty()) {
            const Duration rest = now - m_connections.at(state.idle.front()).usedAt;
            if (rest < keptFor(m_connections.at(state.idle.front()), kept, isLeftToOthers))
                break;
            unused.push_back(state.idle.front());
            --kept;
            state.idle.erase(state.idle.begin());
        }
    }
    return unused;
}

std::vector<ServerId> ServerPool::toProbe(TimePoint now) const
{
    std::vector<ServerId> servers;
    for (const auto &[server, state] : m_servers) {
        const bool isDue = state.failingSince && state.avoidUntil <= now && state.opening == 0;
        if (isDue && !state.record.isGone && !state.isElsewhere && mayOpen(server, now))
            servers.push_back(server);
    }
    return servers;
}

std::vector<ConnectionKey> ServerPool::silent(TimePoint now) const
{
    std::vector<ConnectionKey> overdue;
    for (const auto &[key, connection] : m_connections) {
        const bool waitsForStatement = !connection.expected.empty()
                && connection.expected.back() == Expectation::Statement;
        const bool isWaiting = !connection.isOpen || !connection.expected.empty();
        if (isWaiting && !waitsForStatement && now - connection.sentAt > QuickAnswerTime)
            overdue.push_back(key);
    }
    return overdue;
}

} // namespace nutmegtide
