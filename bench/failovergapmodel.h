#pragma once

// A trial of the failover gap: callers that keep asking, the control leader, and a primary that dies.

#include "failovergapworld.h"

#include "nutmegtide/charts/chartlibrary.h"
#include "nutmegtide/failover/primarychange.h"
#include "nutmegtide/failover/primarysuspicion.h"

namespace nutmegtide::failovergap {

constexpr auto SyncTime = 1ms; // of a control VM's disk
constexpr auto ReporterPoll = 10ms;
constexpr Duration ReportInterval = 1s;
constexpr Duration SuspectedInterval = 200ms;
constexpr auto ControlRound = 20ms;
constexpr auto RetryAfter = 100ms; // that a refusal names
constexpr auto CallerTimeout = 300ms; // of one asking
constexpr auto ThinkTime = 5ms;
constexpr auto HealthInterval = 3s; // of the baseline
constexpr auto HealthTimeout = 1s;
constexpr auto WarmUp = 1500ms;
constexpr auto Longest = 40s; // of one trial

struct Outcome
{
    std::vector<Duration> gaps; // of each caller
    int lost = 0;
    int doubled = 0;
    int unserved = 0; // callers without an acknowledged write in the new term
};

class Trial : private World
{
public:
    Trial(const Scenario &scenario, const Chart &chart, unsigned seed)
        : World(scenario, seed)
        , m_chart(chart)
    { }

    void run(Outcome &outcome)
    {
        prepare();
        const auto phase = std::uniform_int_distribution<int>(0, 3'000'000)(m_generator);
        at(WarmUp + microseconds(phase), [this] {
            m_servers[0].isDead = true;
            if (m_scenario.fault == Fault::Refused)
                loseConnections();
        });
        while (!m_events.isEmpty() && m_now < TimePoint() + Longest && !isEveryoneServed())
            m_events.runNext(m_now);
        judge(outcome);
    }

private:
    struct Caller
    {
        int domain = 0;
        int request = 0;
        TimePoint lastOld;
        std::optional<TimePoint> firstNew;
    };

    // ---- set up ----

    void prepare()
    {
        for (int i = 0; i < Voters3; ++i) {
            Server server;
            server.id = ServerId("s" + std::to_string(i));
            server.domain = i;
            server.source = i == 0 ? -1 : 0;
            server.role = i == 0 ? ServerRole::Primary : ServerRole::Replica;
            m_servers.push_back(server);
        }
        m_leader = std::uniform_int_distribution<int>(0, Voters3 - 1)(m_generator);
        m_ledger.apply(1,
                       encode({GroupCommandKind::Adopt, m_database, 1, "", voters()[0], voters()}));
        m_homes.resize(Domains);
        m_callers.resize(2 * Domains);
        for (int i = 0; i < Voters3; ++i)
            announceForever(i);
        for (int i = 0; i < Domains; ++i) {
            m_homes[std::size_t(i)].domain = i;
            for (int s = 0; s < Voters3; ++s)
                at(jitter(), [this, i, s] { poll(i, s); });
            at(jitter(), [this, i] { watchSuspicion(i); });
        }
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            m_callers[i].domain = int(i) % Domains;
            at(500ms + jitter(), [this, i] { ask(i, ++m_requests); });
        }
        if (m_scenario.isBaseline)
            at(jitter() * 300, [this] { checkHealth(); });
        else
            at(jitter(), [this] { controlRound(); });
    }
    // ---- callers ----

    void ask(std::size_t index, int request)
    {
        Caller &caller = m_callers[index];
        caller.request = request;
        const Duration way = m_scenario.deployment.toClient;
        at(way, [=, this, &caller] {
            const auto answer = [=, this](Result result) {
                at(way, [=, this] { answered(index, request, result); });
            };
            write(caller.domain, request, m_now + CallerTimeout, false, answer);
        });
    }

    void answered(std::size_t index, int request, Result result)
    {
        if (result != Result::Acknowledged)
            return at(RetryAfter, [=, this] { ask(index, request); });
        Caller &caller = m_callers[index];
        m_acknowledged.push_back(request);
        const bool isNew = m_promotedAt && m_now > *m_promotedAt;
        if (!isNew)
            caller.lastOld = m_now;
        else if (!caller.firstNew)
            caller.firstNew = m_now;
        at(ThinkTime, [=, this] { ask(index, ++m_requests); });
    }

    bool isEveryoneServed() const
    {
        return std::all_of(m_callers.begin(), m_callers.end(),
                           [](const Caller &caller) { return caller.firstNew.has_value(); });
    }

    void judge(Outcome &outcome)
    {
        for (const Caller &caller : m_callers) {
            if (caller.firstNew)
                outcome.gaps.push_back(*caller.firstNew - caller.lastOld);
            else
                ++outcome.unserved;
        }
        std::map<int, int> times;
        for (const Server &server : m_servers) {
            if (server.isDead || server.role != ServerRole::Primary)
                continue;
            for (const Entry &entry : server.log)
                ++times[entry.request];
        }
        for (const int request : m_acknowledged) {
            outcome.lost += times[request] == 0 ? 1 : 0;
            outcome.doubled += times[request] > 1 ? 1 : 0;
        }
    }

    // ---- control, as GroupReporter and ChangeRole have it ----

    void watchSuspicion(int index)
    {
        Home &home = m_homes[std::size_t(index)];
        const auto primary = home.state.primary();
        const bool isSuspected = !primary
                || home.state.isSuspect(*primary, settings().detectionTime, m_now);
        const auto interval = isSuspected ? SuspectedInterval : ReportInterval;
        if (isSuspected != home.wasSuspected || m_now - home.reportedAt >= interval) {
            home.wasSuspected = isSuspected;
            home.reportedAt = m_now;
            const HomeOpinion opinion {home.state.term(), isSuspected};
            const VmName name("home-" + std::to_string(index));
            at(oneWay(home.domain, m_leader), [=, this] {
                m_suspicion.report(name, opinion, m_now);
                if (!m_scenario.isBaseline)
                    decide();
            });
        }
        at(ReporterPoll, [this, index] { watchSuspicion(index); });
    }

    void controlRound()
    {
        decide();
        at(ControlRound, [this] { controlRound(); });
    }

    void decide()
    {
        const GroupRecord &record = *m_ledger.find(m_database);
        if (m_change) {
            perform(m_change->tick(m_now));
            if (m_change->isOver()) {
                m_suspicion.onChangePublished(m_now);
                m_change.reset();
            }
            return;
        }
        if (!m_suspicion.isChangeDue(record.term, m_now))
            return;
        ChangeRequest request {m_database, "c" + std::to_string(++m_attempts), record.primary, {}};
        m_change = std::make_unique<PrimaryChange>(m_chart, ChangeTimings(), request, record);
        perform(m_change->start(m_now));
    }

    void perform(const ChangeActions &actions)
    {
        for (const ChangeAction &action : actions)
            std::visit([this](const auto &message) { handle(message); }, action);
    }

    // Sends to a server over control's own connection, which the first message opens.
    void send(const ServerId &id, const std::function<std::function<void()>(Server &)> &op)
    {
        const int index = indexOf(id);
        const bool isNew = m_controlConnected.insert(index).second;
        at(isNew ? Duration(ConnectTime) : 0ms, [=, this] { call(m_leader, index, op, {}); });
    }

    template <typename Answer>
    std::function<void()> feed(const Answer &answer)
    {
        return [this, answer] {
            if (m_change)
                perform(answer(*m_change));
        };
    }

    void handle(const ProbeServer &message)
    {
        send(message.server, [=, this](Server &server) {
            return feed([=, this, reply = server.position()](PrimaryChange &change) {
                return change.onProbed(message.server, reply, m_now);
            });
        });
    }

    void handle(const FenceServer &message)
    {
        send(message.server, [=, this](Server &server) {
            if (message.term > server.term) {
                takeTerm(server, message.term);
                changed(server);
                announce(indexOf(server.id));
            }
            const FenceReply reply {server.term, server.last(), server.last()};
            return feed([=, this](PrimaryChange &change) {
                return change.onFenced(message.server, reply, m_now);
            });
        });
    }

    void handle(const PromoteServer &message)
    {
        send(message.server, [=, this](Server &server) {
            promote(server, message.term);
            const PromoteReply reply {message.term, server.last()};
            return feed([=, this](PrimaryChange &change) {
                return change.onPromoted(message.server, reply, m_now);
            });
        });
    }

    void promote(Server &server, Term term)
    {
        if (server.role == ServerRole::Primary)
            return;
        takeTerm(server, term);
        server.role = ServerRole::Primary;
        append(indexOf(server.id), 0);
        announce(indexOf(server.id));
        m_promotedAt = m_now;
    }

    void handle(const FollowServer &message)
    {
        send(message.server, [=, this](Server &server) {
            follow(server, message.term, indexOf(message.primary));
            return [] {};
        });
    }

    void follow(Server &server, Term term, int primary)
    {
        if (server.source == primary || server.role == ServerRole::Primary)
            return;
        takeTerm(server, term);
        server.source = primary;
        announce(indexOf(server.id));
        const Duration way = oneWay(server.domain, m_servers[std::size_t(primary)].domain);
        at(way, [=, this, index = indexOf(server.id)] { ship(primary, index); });
    }

    void handle(const WatchBarrier &message)
    {
        send(message.server, [=, this](Server &server) -> std::function<void()> {
            const auto back = oneWay(server.domain, m_leader);
            const LogPosition before {message.barrier.term, message.barrier.index - 1};
            const int index = indexOf(server.id);
            server.polls.push_back({server.term, before, [=, this] {
                                        const auto reply = m_servers[std::size_t(index)].position();
                                        at(back, feed([=, this](PrimaryChange &change) {
                                               return change.onPosition(message.server, reply,
                                                                        m_now);
                                           }));
                                    }});
            changed(server);
            return [] {};
        });
    }

    void handle(const ProposeGroup &message)
    {
        // Synced here and on the nearest other control VM.
        const Duration trip = 2 * oneWay(0, 1) + 2 * SyncTime;
        at(trip, [=, this] {
            m_ledger.apply(2, encode(message.command));
            feed([=, this](PrimaryChange &change) {
                return change.onCommitted(message.command, *m_ledger.find(m_database), m_now);
            })();
        });
    }

    void handle(const RecordChangeEvent & /*message*/) { }

    // ---- the baseline: one monitor, fixed health checks, no fence ----

    void checkHealth()
    {
        const auto isAnswered = std::make_shared<bool>(false);
        const auto fail = [=, this] {
            if (!std::exchange(*isAnswered, true) && !m_promotedAt)
                replaceUnfenced();
        };
        call(
                m_leader, 0, [=](Server &) { return [=] { *isAnswered = true; }; }, fail);
        at(HealthTimeout, fail);
        at(HealthInterval, [this] { checkHealth(); });
    }

    void replaceUnfenced()
    {
        const int chosen = m_servers[1].last() < m_servers[2].last() ? 2 : 1;
        const Duration way = oneWay(m_leader, chosen);
        at(2 * way + ConnectTime, [=, this] { promote(m_servers[std::size_t(chosen)], 2); });
        at(2 * way + ConnectTime,
           [=, this] { follow(m_servers[std::size_t(3 - chosen)], 2, chosen); });
    }

    const Chart &m_chart;
    std::vector<Caller> m_callers;
    int m_requests = 0;
    std::vector<int> m_acknowledged;
    std::optional<TimePoint> m_promotedAt;
    int m_leader = 0; // failure domain of the control leader
    GroupLedger m_ledger;
    PrimarySuspicion m_suspicion {SuspicionTimings()};
    std::unique_ptr<PrimaryChange> m_change;
    std::set<int> m_controlConnected;
};

} // namespace nutmegtide::failovergap
