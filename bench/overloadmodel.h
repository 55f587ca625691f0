#pragma once

// The model behind the overload figures, in virtual time with fixed seeds: the
// three servers of one database group, home proxies with a share of their
// connections, and callers that send more than the servers can do. The queues and
// the retry budget are the system's own. A server runs what it has slots for and
// refuses the rest as busy.

#include "nutmegtide/statement/admissionqueue.h"
#include "nutmegtide/statement/retrybudget.h"
#include "support/eventqueue.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace nutmegtide::overload {

constexpr int ServerCount = 3;
constexpr int Slots = 3;
constexpr int SessionCount = 24;
constexpr int QueueLength = 256;
constexpr double RetryShare = 0.1;
constexpr Duration RunTime = 20s;
constexpr Duration WarmUp = 5s; // not counted
constexpr Duration ConnectTime = 10ms;
constexpr Duration LeastService = 3ms;
constexpr Duration MostService = 7ms;
constexpr double MeanServiceSeconds = 0.005;
constexpr Duration Timeouts[] = {50ms, 200ms, 1s};
// A third of the statements needs the primary, so that all servers get equal load.
constexpr double WriteShare = 0.1;
constexpr double PrimaryShare = 1.0 / 3;

struct Deployment
{
    const char *name;
    int connections; // a server
    Duration oneWay; // between failure domains
};

enum class Policy { Admission, Baseline };

struct Scenario
{
    Deployment deployment;
    Policy policy = Policy::Admission;
    int homes = 1;
    double load = 1; // times the capacity of all slots
};

struct Outcome
{
    long offered = 0;
    long inTime = 0; // answered before the deadline
    long lateAnswers = 0; // acknowledged past the deadline
    long refused = 0;
    long resent = 0;
    long fresh = 0; // over the whole run, as resent is
    Duration slowestRefusal = Duration::zero();
    std::vector<Duration> refusalTimes;
    std::map<AdmissionClass, std::pair<long, long>> byClass; // in time, offered
    std::map<int, long> bySession; // in time

    // As a share of what the slots can do if each is busy for so long a statement.
    double goodput(double occupiedSeconds) const
    {
        const double seconds = std::chrono::duration<double>(RunTime - WarmUp).count();
        return double(inTime) / seconds / (ServerCount * Slots / occupiedSeconds);
    }
    double fairness() const
    {
        long least = bySession.empty() ? 0 : bySession.begin()->second;
        long most = least;
        for (const auto &[session, count] : bySession) {
            least = std::min(least, count);
            most = std::max(most, count);
        }
        return least > 0 ? double(most) / double(least) : 1e9;
    }
};

// One run of a scenario.
class Simulation
{
public:
    Simulation(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_generator(seed)
        , m_retries(RetryShare)
        , m_homes(std::size_t(scenario.homes * ServerCount))
    {
        for (Home &home : m_homes) {
            const int share = scenario.deployment.connections / scenario.homes;
            home.queue.setBounds(Slots, share, QueueLength);
            home.connections = share;
        }
    }

    Outcome run()
    {
        scheduleArrival();
        while (!m_events.isEmpty() && m_events.nextAt() < TimePoint() + RunTime)
            m_events.runNext(m_now);
        return m_outcome;
    }

private:
    struct Job
    {
        int session = 0;
        AdmissionClass kind = AdmissionClass::PlainRead;
        std::size_t home = 0;
        TimePoint arrivedAt;
        TimePoint deadline;
    };
    struct Home
    {
        AdmissionQueue queue;
        std::deque<AdmissionTicket> waiting; // of the baseline
        int running = 0; // of the baseline
        int connections = 0;
        int opened = 0;
        int inUse = 0;
    };

    bool isCounted(const Job &job) const { return job.arrivedAt >= TimePoint() + WarmUp; }
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_generator); }

    void schedule(Duration after, std::function<void()> action)
    {
        m_events.add(m_now + after, std::move(action));
    }

    void scheduleArrival()
    {
        const double rate = m_scenario.load * ServerCount * Slots / MeanServiceSeconds;
        const std::chrono::duration<double> gap(std::exponential_distribution<>(rate)(m_generator));
        schedule(std::chrono::duration_cast<Duration>(gap), [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        Job job;
        job.session = int(random() * SessionCount);
        const double kind = random();
        job.kind = kind < WriteShare  ? AdmissionClass::Write
                : kind < PrimaryShare ? AdmissionClass::PlainRead
                                      : AdmissionClass::AgedRead;
        const int server = job.kind == AdmissionClass::AgedRead
                ? 1 + int(random() * (ServerCount - 1))
                : 0;
        const int home = server * m_scenario.homes + job.session % m_scenario.homes;
        job.home = std::size_t(home);
        job.arrivedAt = m_now;
        job.deadline = m_now + Timeouts[std::size_t(random() * std::size(Timeouts))];
        const AdmissionTicket ticket = m_nextTicket++;
        m_jobs[ticket] = job;
        ++m_outcome.fresh;
        m_retries.noteFresh();
        if (isCounted(job)) {
            ++m_outcome.offered;
            ++m_outcome.byClass[job.kind].second;
        }
        admit(ticket);
    }

    void admit(AdmissionTicket ticket)
    {
        const Job &job = m_jobs.at(ticket);
        Home &home = m_homes[job.home];
        if (m_scenario.policy == Policy::Baseline) {
            home.waiting.push_back(ticket);
            startBaseline(job.home);
            return;
        }
        const AdmissionRequest request {ticket, SessionId(std::to_string(job.session)), job.kind,
                                        job.deadline};
        take(job.home, home.queue.add(request, m_now));
    }

    void take(std::size_t home, const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            if (action.kind == AdmissionActionKind::Start)
                send(action.ticket);
            else
                refuse(action.ticket);
        }
        const auto next = m_homes[home].queue.nextExpiry(m_now);
        if (next && !actions.empty()) {
            schedule(*next - m_now, [this, home] { take(home, m_homes[home].queue.expire(m_now)); });
        }
    }

    void refuse(AdmissionTicket ticket)
    {
        const Job job = m_jobs.at(ticket);
        m_jobs.erase(ticket);
        if (!isCounted(job))
            return;
        ++m_outcome.refused;
        m_outcome.refusalTimes.push_back(m_now - job.arrivedAt);
        m_outcome.slowestRefusal = std::max(m_outcome.slowestRefusal, m_now - job.arrivedAt);
    }

    // The plain way: first come, first served, over all connections, without a look at deadlines.
    void startBaseline(std::size_t index)
    {
        Home &home = m_homes[index];
        while (!home.waiting.empty() && home.running < home.connections) {
            const AdmissionTicket ticket = home.waiting.front();
            home.waiting.pop_front();
            ++home.running;
            send(ticket);
        }
    }

    void send(AdmissionTicket ticket)
    {
        Home &home = m_homes[m_jobs.at(ticket).home];
        Duration connect = Duration::zero();
        if (++home.inUse > home.opened) {
            ++home.opened;
            connect = ConnectTime;
        }
        schedule(connect + m_scenario.deployment.oneWay, [this, ticket] { reachServer(ticket); });
    }

    void reachServer(AdmissionTicket ticket)
    {
        const std::size_t server = m_jobs.at(ticket).home / std::size_t(m_scenario.homes);
        if (m_busySlots[server] >= Slots) {
            schedule(m_scenario.deployment.oneWay,
                     [this, ticket] { answerBusy(ticket, m_now + RetryBudget::LongestWait); });
            return;
        }
        ++m_busySlots[server];
        const Duration service = LeastService
                + std::chrono::duration_cast<Duration>((MostService - LeastService) * random());
        schedule(service, [this, ticket, server] {
            --m_busySlots[server];
            schedule(m_scenario.deployment.oneWay, [this, ticket] { answer(ticket); });
        });
    }

    void endAtHome(AdmissionTicket ticket, std::size_t index, AdmissionEnd end)
    {
        Home &home = m_homes[index];
        --home.inUse;
        if (m_scenario.policy == Policy::Admission) {
            take(index, home.queue.finish(ticket, end, m_now));
            return;
        }
        --home.running;
        startBaseline(index);
    }

    void answer(AdmissionTicket ticket)
    {
        const Job job = m_jobs.at(ticket);
        m_jobs.erase(ticket);
        const bool isInTime = m_now <= job.deadline;
        if (isCounted(job)) {
            m_outcome.inTime += isInTime ? 1 : 0;
            m_outcome.lateAnswers += isInTime ? 0 : 1;
            m_outcome.byClass[job.kind].first += isInTime ? 1 : 0;
            m_outcome.bySession[job.session] += isInTime ? 1 : 0;
        }
        endAtHome(ticket, job.home, AdmissionEnd::Answered);
    }

    void sendAgain(AdmissionTicket ticket, std::size_t index)
    {
        Home &home = m_homes[index];
        --home.inUse;
        if (m_scenario.policy == Policy::Admission) {
            take(index, home.queue.resend(ticket, m_now));
            return;
        }
        --home.running;
        startBaseline(index);
        admit(ticket);
    }

    void answerBusy(AdmissionTicket ticket, TimePoint until)
    {
        const Job job = m_jobs.at(ticket);
        const bool isBudgeted = m_scenario.policy == Policy::Admission;
        const bool mayRetry = !isBudgeted || m_retries.takeRetry();
        if (mayRetry) {
            ++m_outcome.resent;
            sendAgain(ticket, job.home);
            return;
        }
        if (m_now < until) {
            schedule(1ms, [this, ticket, until] { answerBusy(ticket, until); });
            return;
        }
        refuse(ticket);
        endAtHome(ticket, job.home, AdmissionEnd::Busy);
    }

    const Scenario m_scenario;
    std::mt19937_64 m_generator;
    RetryBudget m_retries;
    std::vector<Home> m_homes; // by server, then by home
    test::EventQueue m_events;
    AdmissionTicket m_nextTicket = 1;
    std::map<AdmissionTicket, Job> m_jobs;
    int m_busySlots[ServerCount] = {};
    TimePoint m_now;
    Outcome m_outcome;
};

} // namespace nutmegtide::overload
