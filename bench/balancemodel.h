#pragma once

#include "nutmegtide/proxy/averagetime.h"
#include "nutmegtide/proxy/queuewait.h"
#include "nutmegtide/proxy/serverpool.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

namespace nutmegtide::balance {

enum class Rule { Balanced, LowestCost, Random, TwoChoices, ProposedShares, Subset };
enum class Trouble { None, Slow, Failing, Silent };

constexpr int Servers = 6;
constexpr int Slots = 4; // of each server
constexpr Duration MeanWork = 30ms;
constexpr double Load = 0.7; // of all slots
constexpr Duration OneWay = 1ms;
constexpr Duration MaxWait = 150ms; // in a queue
constexpr int Troubled = 2; // index of the server with the trouble
constexpr int SlowFactor = 5;
constexpr double FailedPart = 0.3;
constexpr Duration FailureTime = 1ms; // a failure comes sooner than an answer
constexpr int SubsetSize = 3;
constexpr Duration WarmUp = 5s;
constexpr Duration Window = 1s;
constexpr int Windows = 20;

struct Scenario
{
    Rule rule = Rule::Balanced;
    Trouble trouble = Trouble::None;
    int entryVms = 60;
    Duration reportAge {};
};

struct Outcome
{
    long arrivals = 0;
    long refused = 0;
    long failed = 0;
    std::vector<Duration> waits;
    std::vector<std::vector<long>> byWindow = std::vector(Windows, std::vector<long>(Servers));

    double busiestToMean() const
    {
        std::vector<long> sums(Servers);
        for (const auto &window : byWindow) {
            for (int i = 0; i < Servers; ++i)
                sums[i] += window[i];
        }
        return double(*std::max_element(sums.begin(), sums.end())) * Servers / double(arrivals);
    }
    // Largest change of a server's share of the arrivals between a window and the next one.
    double swing() const
    {
        double largest = 0;
        for (std::size_t w = 1; w < byWindow.size(); ++w) {
            for (int i = 0; i < Servers; ++i)
                largest = std::max(largest, std::abs(share(w, i) - share(w - 1, i)));
        }
        return largest;
    }

private:
    double share(std::size_t window, int server) const
    {
        long sum = 0;
        for (const long count : byWindow[window])
            sum += count;
        return sum == 0 ? 0 : double(byWindow[window][server]) / double(sum);
    }
};

// Reads of one service with equal servers, from entry VMs of the same failure domain, in virtual
// time. The home of a server and the server are one queue. Answers carry the wait at the home as it
// was `reportAge` ago; entry VMs take it for new. There are no writes and no retries.
class Model
{
public:
    Model(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_homes(Servers)
    {
        std::vector<ServerRecord> records(Servers);
        for (int i = 0; i < Servers; ++i) {
            ServerAnnouncement &announcement = records[i].announcement;
            announcement.server = ServerId("s" + std::to_string(i));
            announcement.service = ServiceName("db");
            announcement.failureDomain = FailureDomain("a");
            announcement.slots = Slots;
            m_ids.push_back(announcement.server);
        }
        for (int vm = 0; vm < scenario.entryVms; ++vm) {
            Entry &entry = m_entries.emplace_back(m_random());
            entry.pool.setServers(records, m_now);
            if (scenario.rule == Rule::Balanced)
                entry.pool.setBalancedServices({ServiceName("db")});
        }
    }

    Outcome run()
    {
        const TimePoint end = Start + WarmUp + Window * Windows;
        add(m_now, Step::Arrive, 0);
        while (m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        return std::move(m_outcome);
    }

private:
    static constexpr TimePoint Start {100s};

    enum class Step { Arrive, Reach, Finish, Overdue, Answer };
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        Step step = Step::Arrive;
        std::size_t statement = 0;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct Statement
    {
        int vm = 0;
        int server = 0;
        Duration work {};
        TimePoint sentAt;
        TimePoint queuedAt;
        bool isQueued = false;
        bool isCounted = false;
        std::optional<StatementFault> fault;
        Duration reportedWait {};
        double reportedWeight = 0;
    };
    struct Report
    {
        TimePoint at;
        Duration wait {};
        double weight = Slots / 20.0; // share that the home proposes, of any unit
    };
    struct Home
    {
        int running = 0;
        std::deque<std::size_t> queue;
        QueueWait wait;
        AverageTime runTime;
        double failedShare = 0;
        std::deque<Report> reports {Report()};
    };
    struct Entry
    {
        explicit Entry(std::uint64_t seed)
            : pool(FailureDomain("a"), seed)
        { }

        ServerPool pool;
        std::vector<Report> reports = std::vector<Report>(Servers);
    };

    void add(TimePoint at, Step step, std::size_t statement)
    {
        m_events.push({at, ++m_order, step, statement});
    }
    Duration drawn(Duration mean)
    {
        std::exponential_distribution<double> distribution(1 / double(mean.count()));
        return Duration(static_cast<Duration::rep>(distribution(m_random)));
    }
    int drawnIndex(int count) { return std::uniform_int_distribution(0, count - 1)(m_random); }
    bool isTroubled(int server, Trouble trouble) const
    {
        return server == Troubled && m_scenario.trouble == trouble;
    }

    void handle(const Event &event)
    {
        switch (event.step) {
        case Step::Arrive:
            return arrive();
        case Step::Reach:
            return reach(event.statement);
        case Step::Finish:
            return finish(event.statement);
        case Step::Overdue:
            return refuse(event.statement);
        case Step::Answer:
            return answer(event.statement);
        }
    }

    void arrive()
    {
        const std::size_t key = m_statements.size();
        Statement &statement = m_statements.emplace_back();
        statement.vm = drawnIndex(m_scenario.entryVms);
        statement.server = choose(statement.vm);
        statement.work = drawn(MeanWork);
        if (isTroubled(statement.server, Trouble::Slow))
            statement.work *= SlowFactor;
        const bool isFailing = isTroubled(statement.server, Trouble::Failing);
        if (isFailing && std::bernoulli_distribution(FailedPart)(m_random)) {
            statement.work = FailureTime;
            statement.fault = StatementFault::Failed;
        }
        statement.sentAt = m_now;
        statement.isCounted = m_now >= Start + WarmUp;
        if (statement.isCounted) {
            ++m_outcome.arrivals;
            const auto window = std::size_t((m_now - Start - WarmUp) / Window);
            ++m_outcome.byWindow[window][statement.server];
        }
        ++m_entries[statement.vm].pool.find(m_ids[statement.server])->running;
        add(m_now + OneWay, Step::Reach, key);
        add(m_now
                    + drawn(Duration(
                            Duration::rep(double(MeanWork.count()) / (Servers * Slots * Load)))),
            Step::Arrive, 0);
    }

    int choose(int vm)
    {
        Entry &entry = m_entries[vm];
        const auto lessLoaded = [&entry](int a, int b) {
            return entry.reports[b].wait < entry.reports[a].wait ? b : a;
        };
        switch (m_scenario.rule) {
        case Rule::Balanced:
        case Rule::LowestCost: {
            const auto server = entry.pool.chooseReader(ServiceName("db"), {}, {}, m_now);
            return server ? std::stoi(server->text().substr(1)) : drawnIndex(Servers);
        }
        case Rule::Random:
            return drawnIndex(Servers);
        case Rule::TwoChoices: {
            const int first = drawnIndex(Servers);
            return lessLoaded(first, (first + 1 + drawnIndex(Servers - 1)) % Servers);
        }
        case Rule::ProposedShares: {
            std::vector<double> weights;
            for (const Report &report : entry.reports)
                weights.push_back(report.weight);
            return std::discrete_distribution<int>(weights.begin(), weights.end())(m_random);
        }
        case Rule::Subset: {
            int best = (vm + drawnIndex(SubsetSize)) % Servers;
            for (int i = 0; i < SubsetSize; ++i)
                best = lessLoaded(best, (vm + i) % Servers);
            return best;
        }
        }
        return 0;
    }

    void reach(std::size_t key)
    {
        Statement &statement = m_statements[key];
        statement.queuedAt = m_now;
        Home &home = m_homes[statement.server];
        if (home.running < Slots)
            return start(key);
        statement.isQueued = true;
        home.queue.push_back(key);
        add(m_now + MaxWait, Step::Overdue, key);
    }

    void start(std::size_t key)
    {
        Statement &statement = m_statements[key];
        Home &home = m_homes[statement.server];
        statement.isQueued = false;
        ++home.running;
        home.wait.note(m_now - statement.queuedAt, m_now);
        if (statement.isCounted)
            m_outcome.waits.push_back(m_now - statement.queuedAt);
        add(m_now + statement.work, Step::Finish, key);
    }

    void finish(std::size_t key)
    {
        Statement &statement = m_statements[key];
        Home &home = m_homes[statement.server];
        --home.running;
        if (!statement.fault)
            home.runTime.note(statement.work);
        home.failedShare += ((statement.fault ? 1 : 0) - home.failedShare) / 8;
        sendAnswer(key);
        if (home.queue.empty())
            return;
        const std::size_t next = home.queue.front();
        home.queue.pop_front();
        start(next);
    }

    void refuse(std::size_t key)
    {
        Statement &statement = m_statements[key];
        if (!statement.isQueued)
            return;
        Home &home = m_homes[statement.server];
        std::erase(home.queue, key);
        statement.isQueued = false;
        home.wait.note(MaxWait, m_now);
        statement.fault = StatementFault::Busy;
        if (statement.isCounted)
            m_outcome.waits.push_back(MaxWait);
        sendAnswer(key);
    }

    void sendAnswer(std::size_t key)
    {
        Statement &statement = m_statements[key];
        Home &home = m_homes[statement.server];
        const Duration wait = home.wait.value(m_now);
        const std::chrono::duration<double, std::milli> expected = home.runTime.value() + wait;
        home.reports.push_back({m_now, wait, Slots * (1 - home.failedShare) / expected.count()});
        while (home.reports.size() > 1 && home.reports[1].at <= m_now - m_scenario.reportAge)
            home.reports.pop_front();
        statement.reportedWait = home.reports.front().wait;
        statement.reportedWeight = home.reports.front().weight;
        add(m_now + OneWay, Step::Answer, key);
    }

    void answer(std::size_t key)
    {
        const Statement &statement = m_statements[key];
        Entry &entry = m_entries[statement.vm];
        const ServerId &server = m_ids[statement.server];
        const bool hasReport = !isTroubled(statement.server, Trouble::Silent);
        if (statement.isCounted) {
            m_outcome.refused += statement.fault == StatementFault::Busy;
            m_outcome.failed += statement.fault == StatementFault::Failed;
        }
        ServerReply reply;
        reply.fault = statement.fault;
        if (hasReport) {
            reply.wait = statement.reportedWait;
            entry.reports[statement.server] = {m_now, statement.reportedWait,
                                               statement.reportedWeight};
        }
        --entry.pool.find(server)->running;
        entry.pool.noteAlive(server, m_now);
        if (m_scenario.rule == Rule::Balanced)
            entry.pool.noteBalancedAnswer(server, m_now - statement.sentAt, reply, m_now);
        else
            entry.pool.noteAnswer(server, m_now - statement.sentAt);
    }

    const Scenario m_scenario;
    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<ServerId> m_ids;
    std::vector<Home> m_homes;
    std::deque<Entry> m_entries;
    std::deque<Statement> m_statements;
    Outcome m_outcome;
};

} // namespace nutmegtide::balance
