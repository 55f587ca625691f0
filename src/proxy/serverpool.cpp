// Servers and connections of ServerPool, and the choice among them.
#include "nutmegtide/proxy/serverpool.h"

#include <algorithm>
#include <cmath>

namespace nutmegtide {

namespace {

// Half-life of a server's average response time while no replies arrive.
constexpr auto AverageHalfLife = 1s;
constexpr auto IdleTimeout = 500ms; // for an unused connection
constexpr auto ScarceIdleTimeout = 100ms; // where there are too few connections for all processes
constexpr auto LastIdleTimeout = 5s; // for the last connection to a server
// Time limit for accepting a connection and for an empty transaction.
constexpr auto QuickAnswerTimeout = 300ms;
constexpr std::size_t MaxConnections = 12; // of one process to one server

// Costs of a read, in milliseconds of response time.
constexpr double OtherDomainCost = 12; // traffic between failure domains is expensive
constexpr double PrimaryCost = 15; // its slots are reserved for writes
// Cost of opening a connection.
constexpr double OpeningCost = 12;
// Cost of a replica that probably lacks the required position.
constexpr double BehindCost = 200;

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Returns how long a connection is kept while idle, given the number of connections to its server.
// An idle lane occupies none of the server's connections, so it is kept for long.
Duration idleTimeoutOf(const ServerConnection &connection, std::size_t count,
                       bool areConnectionsScarce)
{
    if (connection.isLane)
        return LastIdleTimeout;
    if (areConnectionsScarce)
        return ScarceIdleTimeout;
    return count == 1 ? Duration(LastIdleTimeout) : Duration(IdleTimeout);
}

// Returns the server's average response time, decayed towards the initial value since its last
// reply. A slow server gets no reads, so it could not show otherwise that it is fast again.
double averageMilliseconds(const PooledServer &state, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - state.answeredAt).count();
    const double weight = std::exp2(-age / std::chrono::duration<double>(AverageHalfLife).count());
    const double first = milliseconds(AverageTime::InitialValue);
    return first + (milliseconds(state.averageTime.value()) - first) * weight;
}

} // namespace

std::vector<ConnectionKey> ServerPool::setServers(const std::vector<ServerRecord> &records,
                                                  TimePoint now)
{
    std::set<ServerId> listed;
    std::vector<ConnectionKey> orphans;
    for (const ServerRecord &record : records) {
        listed.insert(record.announcement.server);
        PooledServer &state = m_servers[record.announcement.server];
        const bool isRestarted = state.record.announcement.lifetime != record.announcement.lifetime
                || state.record.announcement.address != record.announcement.address;
        if (isRestarted && !state.connections.empty())
            orphans.insert(orphans.end(), state.connections.begin(), state.connections.end());
        if (isRestarted || record.announcement.isPrimary != state.record.announcement.isPrimary
            || record.announcement.sequence > state.record.announcement.sequence)
            state.refusesWrites = false;
        if (isRestarted || record.announcement.sequence > state.record.announcement.sequence)
            state.hasWrongAddress = false;
        if (isRestarted)
            state.lag = {};
        if (record.announcement.isPrimary && (isRestarted || !state.record.announcement.isPrimary))
            state.primarySince = now;
        if (!record.announcement.isPrimary || isRestarted)
            state.writeUnansweredSince.reset();
        state.record = record;
    }
    for (auto &[server, state] : m_servers) {
        if (listed.count(server) == 0)
            orphans.insert(orphans.end(), state.connections.begin(), state.connections.end());
    }
    std::erase_if(m_servers, [&listed](const auto &item) {
        return listed.count(item.first) == 0 && item.second.connections.empty()
                && item.second.waiting.empty();
    });
    listByService();
    return orphans;
}

// Each read looks at the servers of one service, of thousands of servers in a large deployment.
void ServerPool::listByService()
{
    m_byService.clear();
    for (const auto &[server, state] : m_servers)
        m_byService[state.record.announcement.service].push_back(server);
}

const std::vector<ServerId> &ServerPool::listOf(const ServiceName &service) const
{
    static const std::vector<ServerId> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

std::optional<ServerId> ServerPool::primary(const ServiceName &service, TimePoint now) const
{
    const PooledServer *best = nullptr;
    for (const ServerId &server : listOf(service)) {
        const PooledServer &state = m_servers.at(server);
        const bool isCandidate = !state.record.isGone && state.record.announcement.isPrimary
                && !state.refusesWrites && !state.hasWrongAddress;
        if (!isCandidate)
            continue;
        // Prefers usable servers, and among these the one that became primary last.
        const auto rank = [now](const PooledServer &candidate) {
            return std::make_pair(candidate.avoidUntil <= now, candidate.primarySince);
        };
        if (best == nullptr || rank(state) > rank(*best))
            best = &state;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->record.announcement.server;
}

bool ServerPool::isPastLeaveTime(const ServerId &server, TimePoint now) const
{
    return m_servers.at(server).record.isPastLeaveTime(m_leaveTime, now);
}

std::vector<ServerId> ServerPool::takePastLeaveTime(TimePoint now)
{
    std::vector<ServerId> newlyPast;
    for (auto &[server, state] : m_servers) {
        const bool wasPastLeaveTime = std::exchange(state.isPastLeaveTimeNoted,
                                                    state.record.isPastLeaveTime(m_leaveTime, now));
        if (state.isPastLeaveTimeNoted && !wasPastLeaveTime)
            newlyPast.push_back(server);
    }
    return newlyPast;
}

double ServerPool::costOf(const PooledServer &state, const ReadNeed &need, TimePoint now) const
{
    const double average = averageMilliseconds(state, now);
    const int slots = std::max(1, state.record.announcement.slots);
    const auto queued = static_cast<double>(state.running)
            + static_cast<double>(state.waiting.size());
    return addPrices(average * (1 + queued / slots), state, need, now);
}

// Adds the prices to the cost one by one, so that explaining doesn't change how the cost is rounded.
double ServerPool::addPrices(double cost, const PooledServer &state, const ReadNeed &need,
                             TimePoint now) const
{
    if (state.record.announcement.failureDomain != m_own)
        cost += OtherDomainCost;
    if (state.record.announcement.isPrimary)
        cost += PrimaryCost;
    if (state.idle.empty())
        cost += OpeningCost;
    if (!state.record.announcement.isPrimary && !state.lag.probablyHolds(need, now))
        cost += BehindCost;
    return cost;
}

bool ServerPool::mayRead(const PooledServer &state, const std::set<ServerId> &tried, TimePoint now)
{
    return tried.count(state.record.announcement.server) == 0 && !exclusionOf(state, now);
}

std::optional<ServerId> ServerPool::chooseReader(const ServiceName &service, const ReadNeed &need,
                                                 const std::set<ServerId> &tried, TimePoint now)
{
    if (m_balanced.count(service) != 0)
        return drawReader(service, need, tried, now);
    return cheapestReader(service, need, tried, now);
}

std::optional<ServerId> ServerPool::cheapestReader(const ServiceName &service, const ReadNeed &need,
                                                   const std::set<ServerId> &tried,
                                                   TimePoint now) const
{
    std::optional<ServerId> best;
    double lowest = 0;
    for (const ServerId &server : listOf(service)) {
        const PooledServer &state = m_servers.at(server);
        if (!mayRead(state, tried, now))
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
    for (const ServerId &server : listOf(service)) {
        if (!m_servers.at(server).record.isGone)
            servers.push_back(server);
    }
    return servers;
}

std::vector<ServerId> ServerPool::askableServers(const ServiceName &service, TimePoint now) const
{
    std::vector<const PooledServer *> askable;
    for (const ServerId &server : listOf(service)) {
        const PooledServer &state = m_servers.at(server);
        const bool isCandidate = !state.record.isGone && !state.hasWrongAddress
                && !state.failingSince;
        if (isCandidate && (!state.idle.empty() || state.connectionLimitUntil <= now))
            askable.push_back(&state);
    }
    const auto rank = [this](const PooledServer *state) {
        const bool isOwn = state->record.announcement.failureDomain == m_own;
        return std::make_pair(isOwn, state->answeredAt);
    };
    std::sort(askable.begin(), askable.end(),
              [&rank](const auto *a, const auto *b) { return rank(a) > rank(b); });
    std::vector<ServerId> servers;
    for (const PooledServer *state : askable)
        servers.push_back(state->record.announcement.server);
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

ConnectionKey ServerPool::add(const ServerId &server, const WorkspaceName &workspace, TimePoint now)
{
    const ConnectionKey key = ++m_lastKey;
    ServerConnection &connection = m_connections[key];
    connection.server = server;
    connection.workspace = workspace;
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
                                                  const WorkspaceName &workspace,
                                                  const SessionState &session,
                                                  const PreparedStatement *prepared)
{
    const auto key = closestIdle(server, workspace, session, prepared);
    if (key)
        std::erase(m_servers.at(server).idle, *key);
    return key;
}

std::optional<ConnectionKey> ServerPool::closestIdle(const ServerId &server,
                                                     const WorkspaceName &workspace,
                                                     const SessionState &session,
                                                     const PreparedStatement *prepared) const
{
    const PooledServer &state = m_servers.at(server);
    auto best = state.idle.end();
    std::size_t lowest = 0;
    for (auto candidate = state.idle.begin(); candidate != state.idle.end(); ++candidate) {
        const ServerConnection &connection = m_connections.at(*candidate);
        if (connection.workspace != workspace)
            continue;
        const std::size_t distance = connection.image.distance(session, prepared);
        if (best != state.idle.end() && distance > lowest)
            continue;
        best = candidate;
        lowest = distance;
    }
    if (best == state.idle.end())
        return std::nullopt;
    return *best;
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
    return state.connectionLimitUntil <= now && state.connections.size() < MaxConnections;
}

std::optional<ConnectionKey> ServerPool::takeSurplus(const ServerId &server)
{
    PooledServer &state = m_servers.at(server);
    if (state.connections.size() < MaxConnections || state.idle.empty())
        return std::nullopt;
    const ConnectionKey key = state.idle.front();
    state.idle.erase(state.idle.begin());
    return key;
}

bool ServerPool::needsConnection(const ServerId &server, const WorkspaceName &workspace) const
{
    const PooledServer &state = m_servers.at(server);
    const auto opening = std::count_if(state.connections.begin(), state.connections.end(),
                                       [&](ConnectionKey key) {
                                           const ServerConnection &one = m_connections.at(key);
                                           return !one.isOpen && one.workspace == workspace;
                                       });
    const auto waiting = std::count_if(state.waiting.begin(), state.waiting.end(),
                                       [&workspace](const Borrower &borrower) {
                                           return borrower.workspace == workspace;
                                       });
    return waiting > opening;
}

std::vector<ConnectionKey> ServerPool::takeUnused(TimePoint now, const IsScarce &isScarce)
{
    std::vector<ConnectionKey> unused;
    for (auto &[server, state] : m_servers) {
        std::size_t kept = state.connections.size();
        const bool areConnectionsScarce = !state.idle.empty() && isScarce(server);
        while (!state.idle.empty()) {
            const Duration idleTime = now - m_connections.at(state.idle.front()).usedAt;
            if (idleTime
                < idleTimeoutOf(m_connections.at(state.idle.front()), kept, areConnectionsScarce))
                break;
            unused.push_back(state.idle.front());
            --kept;
            state.idle.erase(state.idle.begin());
        }
    }
    return unused;
}

std::vector<ServerId> ServerPool::serversToProbe(TimePoint now) const
{
    std::vector<ServerId> servers;
    for (const auto &[server, state] : m_servers) {
        const bool isDue = state.failingSince && state.avoidUntil <= now && state.opening == 0;
        if (isDue && !state.record.isGone && !state.hasWrongAddress && mayOpen(server, now))
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
        if (isWaiting && !waitsForStatement && now - connection.sentAt > QuickAnswerTimeout)
            overdue.push_back(key);
    }
    return overdue;
}

} // namespace nutmegtide
