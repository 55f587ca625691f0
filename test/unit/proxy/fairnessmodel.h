#pragma once

// One backend server's queue at its home, in virtual time with a fixed seed: callers of many
// workspaces and of three classes, and a server with four slots. Today's order and fair sharing get
// the same arrivals.

#include "nutmegtide/proxy/homequeue.h"
#include "support/eventqueue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace nutmegtide::test {

struct FairnessLoad
{
    const char *name;
    int workspaces;
    double popularityExponent; // 0: all of one size
    double load; // the usual load, as a share of the server's capacity
    double workspaceFactor; // of workspace 1, times its usual load
    double classFactor; // of the lowest class, times its usual load
    // Bounds with fair sharing: the least share served of the workspaces other than 1, and of their
    // lowest class.
    double leastOthers;
    double leastLowestClass;
};

constexpr FairnessLoad FairnessLoads[] = {
        {"usual load", 75, 1.2, 0.85, 1, 1, 0.97, 0.93},
        {"workspace 5.5x", 75, 1.2, 0.85, 5.5, 1, 0.91, 0.70},
        {"class 2.2x", 75, 1.2, 0.85, 1, 2.2, 0.84, 0.64},
        {"workspace and class", 75, 1.2, 0.85, 5.5, 2.2, 0.78, 0.53},
        {"many small", 1'000, 0, 1.2, 1, 1, 0.85, 0.43},
        {"many small and one", 1'000, 0, 0.85, 600, 1, 0.93, 0.73},
};
// Least share of the middle class that is served, whatever the others send.
constexpr double LeastMiddleClass = 0.93;
constexpr double LeastHighestClass = 0.99;
// What a workspace or class above its share may not cost the others in all, compared with the order
// by rank.
constexpr double MostLoss = 0.02;

struct Served
{
    long asked = 0;
    long served = 0;
    double share() const { return asked == 0 ? 1 : double(served) / double(asked); }
};

struct FairnessOutcome
{
    Served surging; // workspace 1
    Served others;
    std::map<int, Served> byRank; // of the other workspaces
    Served transactions; // later statements of open transactions
    Duration longestRefusal {}; // from arrival
    long refused = 0;
};

inline bool isWithinBounds(const FairnessLoad &load, const FairnessOutcome &byRank,
                           const FairnessOutcome &fair)
{
    return fair.others.share() >= std::max(load.leastOthers, byRank.others.share() - MostLoss)
            && fair.byRank.at(1).share() >= LeastHighestClass
            && fair.byRank.at(2).share() >= LeastMiddleClass
            && fair.byRank.at(3).share() >= load.leastLowestClass;
}

class FairnessModel
{
public:
    FairnessModel(const FairnessLoad &load, bool isFair, std::uint64_t seed)
        : m_load(load)
        , m_arrivals(seed)
        , m_works(seed + 1)
    {
        m_queue.setFair(isFair);
        for (int i = 0; i < load.workspaces; ++i)
            m_weights.push_back(std::pow(i + 1, -load.popularityExponent));
        double total = 0;
        for (const double weight : m_weights)
            total += weight;
        // Rate of each stream: a workspace and a class.
        for (double &weight : m_weights)
            weight /= total;
        for (int i = 0; i < load.workspaces; ++i) {
            for (const Class &kind : Classes) {
                const bool isLowest = kind.rank == Classes[2].rank;
                m_rates.push_back(m_weights[std::size_t(i)] * kind.share
                                  * (i == SurgingWorkspace ? load.workspaceFactor : 1)
                                  * (isLowest ? load.classFactor : 1));
            }
        }
        double sum = 0;
        for (const double rate : m_rates)
            sum += rate;
        m_rate = sum * load.load * Slots / meanWork();
        m_streams = std::discrete_distribution<int>(m_rates.begin(), m_rates.end());
    }

    FairnessOutcome run(Duration length)
    {
        scheduleArrival();
        while (!m_events.isEmpty() && m_events.nextAt() < TimePoint() + length)
            m_events.runNext(m_now);
        return m_outcome;
    }

private:
    struct Class
    {
        int rank;
        double share; // of the operations
        Duration work;
        double transactions; // share of the operations
    };
    struct Job
    {
        int workspace = 0;
        int rank = 0; // 0 for later statements of a transaction
        Duration work {};
        TimePoint at;
        int following = 0; // statements of its transaction
    };

    // The routes of D1.
    static constexpr Class Classes[] = {{1, 0.135, 6ms, 0.4},
                                        {2, 0.631, 18ms, 0.12},
                                        {3, 0.234, 30ms, 0.1}};
    static constexpr int Slots = 4;
    static constexpr int SurgingWorkspace = 1;
    static constexpr int FollowingStatements = 4;
    static constexpr Duration MaxWait = 150ms;
    static constexpr Duration ThinkTime = 4ms; // between statements of a transaction

    static double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
    // Returns the work of an operation in seconds, with all statements of transactions.
    static double meanWork()
    {
        double mean = 0;
        for (const Class &kind : Classes)
            mean += kind.share * seconds(kind.work) * (1 + kind.transactions * FollowingStatements);
        return mean;
    }
    static Duration meanStatement() { return 17ms; }

    void scheduleArrival()
    {
        const std::chrono::duration<double> gap(std::exponential_distribution<>(m_rate)(m_arrivals));
        const int stream = m_streams(m_arrivals);
        const double draw = std::uniform_real_distribution<>(0, 1)(m_arrivals);
        m_events.add(m_now + std::chrono::duration_cast<Duration>(gap), [this, stream, draw] {
            const Class &kind = Classes[stream % 3];
            const int following = draw < kind.transactions ? FollowingStatements : 0;
            arrive({stream / 3, kind.rank, kind.work, m_now, following});
            scheduleArrival();
        });
    }

    Served &countOf(const Job &job)
    {
        if (job.rank == 0)
            return m_outcome.transactions;
        return job.workspace == SurgingWorkspace ? m_outcome.surging : m_outcome.others;
    }

    void arrive(const Job &job)
    {
        ++countOf(job).asked;
        if (job.rank > 0 && job.workspace != SurgingWorkspace)
            ++m_outcome.byRank[job.rank].asked;
        const HomeQueue::Ticket ticket = ++m_lastTicket;
        m_jobs[ticket] = job;
        const WorkspaceShare share {WorkspaceName("w" + std::to_string(job.workspace)), 0};
        if (!m_queue.add(ticket, {job.rank, MaxWait, job.work}, meanStatement() / Slots, m_now,
                         share))
            refuse(ticket);
        for (const HomeQueue::Ticket shed : m_queue.takeShed())
            refuse(shed);
        serve();
    }

    void refuse(HomeQueue::Ticket ticket)
    {
        m_outcome.longestRefusal = std::max(m_outcome.longestRefusal, m_now - m_jobs.at(ticket).at);
        ++m_outcome.refused;
        m_jobs.erase(ticket);
    }

    void serve()
    {
        for (const HomeQueue::Ticket ticket : m_queue.takeOverdue(m_now))
            refuse(ticket);
        while (m_running < Slots && !m_queue.isEmpty()) {
            const HomeQueue::Ticket ticket = m_queue.items().front().ticket;
            const Job job = m_jobs.at(ticket);
            m_queue.start(ticket);
            m_jobs.erase(ticket);
            ++m_running;
            ++countOf(job).served;
            if (job.rank > 0 && job.workspace != SurgingWorkspace)
                ++m_outcome.byRank[job.rank].served;
            const double factor = std::uniform_real_distribution<>(0.5, 1.5)(m_works);
            const auto work = std::chrono::duration_cast<Duration>(job.work * factor);
            m_events.add(m_now + work, [this, job] { end(job); });
        }
    }

    void end(const Job &job)
    {
        --m_running;
        if (job.following > 0) {
            m_events.add(m_now + ThinkTime, [this, job] {
                arrive({job.workspace, 0, job.work, m_now, job.following - 1});
            });
        }
        serve();
    }

    const FairnessLoad m_load;
    std::mt19937_64 m_arrivals;
    std::mt19937_64 m_works;
    std::vector<double> m_weights;
    std::vector<double> m_rates;
    double m_rate = 0; // arrivals a second
    std::discrete_distribution<int> m_streams;
    HomeQueue m_queue;
    EventQueue m_events;
    std::map<HomeQueue::Ticket, Job> m_jobs;
    HomeQueue::Ticket m_lastTicket = 0;
    int m_running = 0;
    TimePoint m_now;
    FairnessOutcome m_outcome;
};

} // namespace nutmegtide::test
