#pragma once

// The model behind the measured share of reads that replicas serve and what waiting for a replica
// buys, in virtual time with fixed seeds: one database group of three servers, a
// proxy in each of four failure domains, sessions of one write to nine reads.
// The routing, the proof of leadership and the proved age are the system's own;
// servers are reduced to a position, a lag and slots. Every read is checked
// against the true log.

#include "nutmegtide/statement/leadershipproof.h"
#include "nutmegtide/statement/readrouter.h"
#include "nutmegtide/statement/replicaage.h"
#include "support/eventqueue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <string>

namespace nutmegtide::replicashare {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr Term GroupTerm = 1;
constexpr std::size_t ServerCount = 3;
constexpr std::size_t ProxyCount = 4; // one a failure domain
constexpr std::size_t SessionCount = 60;
constexpr int Slots = 3;
constexpr int ReadsPerWrite = 9;
constexpr Duration RunTime = 200s;
constexpr Duration Cycle = 1s; // of a session: one write and its reads
constexpr Duration ReadWindow = 50ms; // after the write
constexpr Duration ServiceTime = 1ms;
constexpr Duration Tick = 1ms; // of replication and of waiting reads
constexpr Duration PollInterval = 5ms; // of a proxy's position watch
constexpr Duration LagEpoch = 1s; // a replica's lag is drawn anew
constexpr Duration MaxAge = 1s;
constexpr Duration Timeout = 1s;
constexpr Duration DetectionTime = 400ms;
constexpr double LagMedianMs = 20;
// A lag can grow by no more than the time that passes, which cuts the drawn p99 down
// to the stated 400 ms.
constexpr double DrawnLagP99Ms = 550;
constexpr double NormalP99 = 2.3263;
constexpr double HealthyShare = 0.95;
constexpr double DamagedShare = 0.90;
constexpr Milliseconds LatencyAllowance = 20ms;

enum class Fault { None, StalledReplica, DomainCutOff };
enum class Reads { FirstSoon, AllSoon };

struct Deployment
{
    const char *name;
    Duration betweenDomains; // one way
    Duration toClient; // one way
};

struct Policy
{
    const char *name;
    Duration wait;
    bool usesReplicas;
};

struct Scenario
{
    Deployment deployment;
    Policy policy;
    Fault fault = Fault::None;
    Reads reads = Reads::FirstSoon;
};

struct Outcome
{
    long total = 0;
    long byReplica = 0;
    long wrong = 0;
    long refused = 0;
    std::vector<double> latencies; // ms
    std::vector<double> lags; // ms, as they came out

    double share() const { return total == 0 ? 0 : double(byReplica) / double(total); }
};

// A server reduced to what it holds and to its slots. The primary's history is shared.
struct Server
{
    ServerId id;
    FailureDomain domain;
    Duration lag = Duration::zero();
    TimePoint horizon = {}; // it holds all that was written up to here
    std::vector<std::pair<TimePoint, TimePoint>> horizons = {}; // (at, horizon), one a tick
    std::array<TimePoint, Slots> slotFree = {};
};

struct Session
{
    std::size_t proxy = 0;
    LogPosition token;
};

struct Read
{
    std::size_t session = 0;
    TimePoint asked; // by the caller
    TimePoint arrived; // at the proxy
    std::optional<TimePoint> waitEnd;
};

struct Proxy
{
    FailureDomain domain;
    LeadershipProof proof;
    ReplicaAge age;
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_generator(seed)
        , m_lagGenerator(seed)
        , m_router(waitPolicy(scenario.policy), 50ms)
    {
        for (std::size_t i = 0; i < ServerCount; ++i)
            m_servers.push_back({ServerId("s" + std::to_string(i)), domain(i)});
        const Voters voters({{m_servers[0].id, m_servers[1].id, m_servers[2].id}});
        for (std::size_t i = 0; i < ProxyCount; ++i) {
            m_proxies.push_back({domain(i), {}, ReplicaAge()});
            m_proxies.back().proof.setTerm(GroupTerm, voters);
        }
        m_writes.push_back(TimePoint());
    }

    Outcome run()
    {
        for (std::size_t i = 0; i < SessionCount; ++i) {
            m_sessions.push_back({i % ProxyCount, {}});
            at(TimePoint(uniform(Cycle)), [this, i] { write(i); });
        }
        at(TimePoint(), [this] { replicate(); });
        at(TimePoint(), [this] { poll(); });
        while (!m_events.isEmpty() && m_events.nextAt() < TimePoint(RunTime))
            m_events.runNext(m_now);
        return std::move(m_outcome);
    }

private:
    static FailureDomain domain(std::size_t i) { return FailureDomain("fd" + std::to_string(i)); }

    static std::unique_ptr<WaitPolicy> waitPolicy(const Policy &policy)
    {
        if (policy.wait > Duration::zero())
            return std::make_unique<BoundedWait>(policy.wait);
        return std::make_unique<NoWait>();
    }

    void at(TimePoint time, std::function<void()> run) { m_events.add(time, std::move(run)); }

    Duration uniform(Duration range)
    {
        return Duration(Duration::rep(m_generator() % std::uint64_t(range.count())));
    }

    Duration drawnLag()
    {
        std::normal_distribution<double> normal;
        const double sigma = std::log(DrawnLagP99Ms / LagMedianMs) / NormalP99;
        const Milliseconds lag(LagMedianMs * std::exp(sigma * normal(m_lagGenerator)));
        return std::chrono::duration_cast<Duration>(lag);
    }

    bool hasFault(Fault fault) const
    {
        return m_scenario.fault == fault && m_now >= TimePoint(RunTime / 10);
    }

    bool isCutOff(const FailureDomain &place) const
    {
        return hasFault(Fault::DomainCutOff) && place == domain(ServerCount - 1);
    }

    Duration oneWay(const Proxy &proxy, const Server &server) const
    {
        return proxy.domain == server.domain ? Duration::zero()
                                             : m_scenario.deployment.betweenDomains;
    }

    void replicate()
    {
        for (std::size_t i = 0; i < ServerCount; ++i) {
            Server &server = m_servers[i];
            const bool isStopped = (i == 1 && hasFault(Fault::StalledReplica))
                    || isCutOff(server.domain);
            const auto ticks = m_now.time_since_epoch() / Tick;
            if (i > 0 && ticks % (LagEpoch / Tick) == 0)
                server.lag = drawnLag();
            if (!isStopped)
                server.horizon = std::max(server.horizon, m_now - server.lag);
            server.horizons.push_back({m_now, server.horizon});
            if (i > 0 && !isStopped)
                m_outcome.lags.push_back(Milliseconds(m_now - server.horizon).count());
        }
        at(m_now + Tick, [this] { replicate(); });
    }

    // The position that a server held at a moment, by the true log.
    LogPosition appliedAt(std::size_t server, TimePoint moment) const
    {
        if (moment < TimePoint())
            return {};
        const std::vector<std::pair<TimePoint, TimePoint>> &known = m_servers[server].horizons;
        const auto tick = std::size_t(moment.time_since_epoch() / Tick);
        const TimePoint horizon = server == 0 ? moment
                                              : known[std::min(tick, known.size() - 1)].second;
        const auto end = std::upper_bound(m_writes.begin(), m_writes.end(), horizon);
        return {GroupTerm, std::uint64_t(end - m_writes.begin())};
    }

    void poll()
    {
        for (Proxy &proxy : m_proxies) {
            for (std::size_t i = 0; i < ServerCount; ++i) {
                const Server &server = m_servers[i];
                if (isCutOff(server.domain) || isCutOff(proxy.domain))
                    continue;
                const Duration way = oneWay(proxy, server);
                proxy.proof.confirm(server.id, GroupTerm, m_now - 2 * way);
                if (i == 0)
                    proxy.age.observePrimary(GroupTerm, appliedAt(0, m_now - way), m_now - 2 * way);
            }
            if (const auto confirmed = proxy.proof.confirmedAt())
                proxy.age.confirmLeadership(GroupTerm, *confirmed);
        }
        at(m_now + PollInterval, [this] { poll(); });
    }

    GroupSnapshot snapshot(const Proxy &proxy) const
    {
        GroupSnapshot group;
        group.term = GroupTerm;
        group.primary = m_servers[0].id;
        group.isLeadershipConfirmed = proxy.proof.isConfirmedWithin(DetectionTime, m_now);
        for (std::size_t i = 0; i < ServerCount; ++i) {
            const Server &server = m_servers[i];
            ServerSnapshot known;
            known.id = server.id;
            known.failureDomain = server.domain;
            known.role = i == 0 ? ServerRole::Primary : ServerRole::Replica;
            known.applied = appliedAt(i, m_now - oneWay(proxy, server));
            known.provedAge = proxy.age.provedAge(known.applied, m_now);
            known.inFlight = int(std::count_if(server.slotFree.begin(), server.slotFree.end(),
                                               [this](TimePoint free) { return free > m_now; }));
            known.limit = Slots;
            known.isSuspect = isCutOff(server.domain)
                    && m_now >= TimePoint(RunTime / 10 + DetectionTime);
            group.servers.push_back(known);
        }
        return group;
    }

    // A session's write is in the log when the primary commits it; its caller has
    // the answer after a round trip to a majority.
    void write(std::size_t session)
    {
        const Deployment &place = m_scenario.deployment;
        if (isCutOff(m_proxies[m_sessions[session].proxy].domain))
            m_sessions[session].proxy = 0; // the balancer leads callers to another proxy
        m_writes.push_back(m_now);
        LogPosition &token = m_sessions[session].token;
        token = std::max(token, {GroupTerm, m_writes.size()});
        const TimePoint answered = m_now + 4 * place.betweenDomains + place.toClient;
        for (int i = 0; i < ReadsPerWrite; ++i) {
            const bool isSoon = i == 0 || m_scenario.reads == Reads::AllSoon;
            const Duration pause = isSoon ? uniform(ReadWindow) : i * Cycle / (ReadsPerWrite + 1);
            const TimePoint asked = answered + pause;
            const TimePoint arrival = asked + place.toClient;
            at(arrival, [this, session, asked] { route({session, asked, m_now, {}}); });
        }
        at(m_now + Cycle, [this, session] { write(session); });
    }

    void route(Read read)
    {
        const Session &session = m_sessions[read.session];
        const Proxy &proxy = m_proxies[session.proxy];
        ReadNeed need;
        need.token = session.token;
        if (m_scenario.policy.usesReplicas)
            need.maxAge = MaxAge;
        need.failureDomain = proxy.domain;
        need.deadline = read.asked + Timeout;
        const ReadDecision decision = m_router.decide(snapshot(proxy), need, m_now, m_generator);
        if (const auto *serve = std::get_if<ServeBy>(&decision)) {
            this->serve(read, serve->server);
        } else if (const auto *primary = std::get_if<UsePrimary>(&decision)) {
            this->serve(read, primary->server);
        } else if (const auto *wait = std::get_if<WaitFor>(&decision)) {
            waitOrGiveUp(read, *wait);
        } else {
            ++m_outcome.total;
            ++m_outcome.refused;
        }
    }

    void waitOrGiveUp(Read read, const WaitFor &wait)
    {
        if (!read.waitEnd)
            read.waitEnd = m_now + wait.upTo;
        if (m_now >= *read.waitEnd && wait.primary)
            return serve(read, *wait.primary);
        at(std::min(m_now + Tick, std::max(*read.waitEnd, m_now + 1us)),
           [this, read] { route(read); });
    }

    void serve(const Read &read, const ServerId &id)
    {
        ++m_outcome.total;
        const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                        [&id](const Server &server) { return server.id == id; });
        const std::size_t index = std::size_t(found - m_servers.begin());
        const Proxy &proxy = m_proxies[m_sessions[read.session].proxy];
        const Duration way = oneWay(proxy, *found);
        if (isCutOff(found->domain) || isCutOff(proxy.domain)) {
            ++m_outcome.refused; // sent before the cut was noticed
            return;
        }
        m_outcome.byReplica += index > 0 ? 1 : 0;
        TimePoint &slot = *std::min_element(found->slotFree.begin(), found->slotFree.end());
        const TimePoint start = std::max(slot, m_now + way);
        slot = start + ServiceTime;
        const TimePoint answered = slot + way + m_scenario.deployment.toClient;
        m_outcome.latencies.push_back(Milliseconds(answered - read.asked).count());
        const LogPosition token = m_sessions[read.session].token;
        const TimePoint routed = m_now;
        at(start, [this, index, token, routed] { judge(index, token, routed); });
        at(answered, [this, index, start, session = read.session] {
            LogPosition &seen = m_sessions[session].token;
            seen = std::max(seen, appliedAt(index, start));
        });
    }

    // A read is wrong when its server lacks what the session has seen, or when a
    // write it lacks was older than the accepted age as the read was routed.
    void judge(std::size_t server, const LogPosition &token, TimePoint routed)
    {
        const LogPosition applied = appliedAt(server, m_now);
        const bool isMissing = applied.index < m_writes.size();
        const bool isTooOld = isMissing && m_writes[applied.index] < routed - MaxAge;
        if (applied < token || isTooOld)
            ++m_outcome.wrong;
    }

    Scenario m_scenario;
    std::mt19937_64 m_generator;
    std::mt19937_64 m_lagGenerator; // of its own, so that every policy meets the same lags
    ReadRouter m_router;
    TimePoint m_now;
    test::EventQueue m_events;
    std::vector<Server> m_servers;
    std::vector<Proxy> m_proxies;
    std::vector<Session> m_sessions;
    std::vector<TimePoint> m_writes; // commit times; the entry at i has the index i + 1
    Outcome m_outcome;
};

} // namespace nutmegtide::replicashare
