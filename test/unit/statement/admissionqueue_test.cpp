#include "nutmegtide/statement/admissionqueue.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace nutmegtide;

namespace {

constexpr TimePoint Start = TimePoint() + 100s;
constexpr Duration Service = 10ms;

// A queue for one slot whose service time is known, with one statement running.
struct BusyServer
{
    explicit BusyServer(int queueLength = 64)
    {
        queue.setBounds(1, 1, queueLength);
        // The deviation of the first sample fades away.
        for (AdmissionTicket ticket = 1'000; ticket < 1'100; ++ticket) {
            queue.add(request(ticket, "warm", AdmissionClass::Write), now);
            now += Service;
            queue.finish(ticket, AdmissionEnd::Answered, now);
        }
        queue.add(request(RunningTicket, "warm", AdmissionClass::Write), now);
    }

    AdmissionRequest request(AdmissionTicket ticket, const std::string &session,
                             AdmissionClass kind, Duration timeout = 60s) const
    {
        return {ticket, SessionId(session), kind, now + timeout};
    }

    AdmissionActions add(AdmissionTicket ticket, const std::string &session,
                         AdmissionClass kind = AdmissionClass::Write, Duration timeout = 60s)
    {
        return queue.add(request(ticket, session, kind, timeout), now);
    }

    // Runs all that waits and returns the tickets in the order of their starts.
    std::vector<AdmissionTicket> runAll()
    {
        std::vector<AdmissionTicket> order;
        AdmissionTicket running = RunningTicket;
        while (queue.running() > 0) {
            now += Service;
            const AdmissionActions actions = queue.finish(running, AdmissionEnd::Answered, now);
            for (const AdmissionAction &action : actions) {
                REQUIRE(action.kind == AdmissionActionKind::Start);
                order.push_back(action.ticket);
                running = action.ticket;
            }
        }
        return order;
    }

    static constexpr AdmissionTicket RunningTicket = 999;
    AdmissionQueue queue;
    TimePoint now = Start;
};

bool isRefused(const AdmissionActions &actions, AdmissionTicket ticket)
{
    return std::any_of(actions.begin(), actions.end(), [ticket](const AdmissionAction &action) {
        return action.ticket == ticket && action.kind == AdmissionActionKind::Refuse
                && action.retryAfter > Duration::zero();
    });
}

} // namespace

TEST_CASE("statements start while the limit allows and wait after that")
{
    AdmissionQueue queue;
    queue.setBounds(3, 20, 8);
    for (AdmissionTicket ticket = 1; ticket <= 4; ++ticket) {
        const AdmissionRequest request {ticket, SessionId("s"), AdmissionClass::Write, Start + 1s};
        CHECK(queue.add(request, Start).size() == (ticket <= 3 ? 1 : 0));
    }
    CHECK(queue.running() == 3);
    CHECK(queue.waiting() == 1);
    const AdmissionActions actions = queue.finish(2, AdmissionEnd::Answered, Start + 5ms);
    CHECK(actions == AdmissionActions {{AdmissionActionKind::Start, 4, Duration::zero()}});
    CHECK(queue.finish(2, AdmissionEnd::Answered, Start + 6ms).empty());
}

TEST_CASE("within a round the earliest deadline is first")
{
    BusyServer server;
    server.add(1, "a", AdmissionClass::Write, 30s);
    server.add(2, "b", AdmissionClass::Write, 10s);
    server.add(3, "c", AdmissionClass::Write, 20s);
    CHECK(server.runAll() == std::vector<AdmissionTicket> {2, 3, 1});
}

TEST_CASE("writes go first, then reads with an age, then the rest")
{
    BusyServer server;
    server.add(1, "a", AdmissionClass::PlainRead);
    server.add(2, "a", AdmissionClass::AgedRead);
    server.add(3, "a", AdmissionClass::Write);
    CHECK(server.runAll() == std::vector<AdmissionTicket> {3, 2, 1});
}

TEST_CASE("a read is overtaken by a bounded number of writes that keep coming")
{
    BusyServer server;
    server.add(1, "reader", AdmissionClass::PlainRead);
    AdmissionTicket next = 2;
    AdmissionTicket running = BusyServer::RunningTicket;
    int overtaken = 0;
    while (running != 1 && overtaken < 100) {
        server.add(next++, "writer");
        server.now += Service;
        running = server.queue.finish(running, AdmissionEnd::Answered, server.now).front().ticket;
        ++overtaken;
    }
    CHECK(overtaken <= 17);
}

TEST_CASE("work that can't finish in time is refused at once and told when to come back")
{
    struct Row
    {
        Duration timeout;
        bool isRefused;
    };
    const Row rows[] = {{9ms, true}, {50ms, true}, {90ms, false}};
    for (const Row &row : rows) {
        CAPTURE(row.timeout.count());
        BusyServer server;
        for (AdmissionTicket ticket = 1; ticket <= 5; ++ticket)
            server.add(ticket, "a");
        const AdmissionActions actions = server.add(9, "a", AdmissionClass::Write, row.timeout);
        CHECK(isRefused(actions, 9) == row.isRefused);
        if (row.isRefused)
            CHECK(actions.front().retryAfter >= 5 * Service);
        CHECK(server.queue.waiting() == (row.isRefused ? 5 : 6));
    }
}

TEST_CASE("a newcomer makes no waiting statement late, whatever its class")
{
    struct Row
    {
        AdmissionClass waiting;
        Duration timeout; // it fits just behind the running statement
    };
    const Row rows[] = {{AdmissionClass::Write, 25ms}, {AdmissionClass::AgedRead, 29ms}};
    for (const Row &row : rows) {
        CAPTURE(int(row.waiting));
        BusyServer server;
        CHECK(server.add(1, "a", row.waiting, row.timeout).empty());
        CHECK(isRefused(server.add(2, "b", AdmissionClass::Write, 24ms), 2));
        CHECK(server.queue.waiting() == 1);
    }
}

TEST_CASE("no session fills the queue, and each gets its turn")
{
    BusyServer server(16);
    int accepted = 0;
    for (AdmissionTicket ticket = 1; ticket <= 100; ++ticket)
        accepted += server.add(ticket, "greedy").empty() ? 1 : 0;
    CHECK(accepted == 8);
    CHECK(server.add(200, "modest").empty());
    const std::vector<AdmissionTicket> order = server.runAll();
    CHECK(std::find(order.begin(), order.end(), 200) - order.begin() <= 1);
}

TEST_CASE("the queue is bounded and keeps places for each class")
{
    BusyServer server(16);
    for (AdmissionTicket ticket = 1; ticket <= 100; ++ticket)
        server.add(ticket, "writer" + std::to_string(ticket));
    CHECK(server.queue.waiting() == 12);
    for (AdmissionTicket ticket = 101; ticket <= 200; ++ticket)
        server.add(ticket, "reader" + std::to_string(ticket), AdmissionClass::PlainRead);
    CHECK(server.queue.waiting() == 14);
    for (AdmissionTicket ticket = 201; ticket <= 300; ++ticket)
        server.add(ticket, "aged" + std::to_string(ticket), AdmissionClass::AgedRead);
    CHECK(server.queue.waiting() == 16);
}

TEST_CASE("a queue of length 0 refuses what can't start")
{
    BusyServer server(0);
    CHECK(isRefused(server.add(1, "a"), 1));
}

TEST_CASE("a server that stops answering has its queue given up long before the deadlines")
{
    BusyServer server;
    server.add(1, "a");
    const auto next = server.queue.nextExpiry(server.now);
    REQUIRE(next);
    CHECK(*next <= server.now + 1100ms);
    CHECK(server.queue.expire(server.now + 100ms).empty());
    CHECK(isRefused(server.queue.expire(*next), 1));
    server.now = *next;
    CHECK(isRefused(server.add(2, "a"), 2));
    CHECK_FALSE(server.queue.nextExpiry(server.now));
}

TEST_CASE("a statement that the server refused as busy starts before all that wait")
{
    BusyServer server;
    server.add(1, "a");
    server.add(2, "b", AdmissionClass::Write, 30s);
    const AdmissionTicket busy = BusyServer::RunningTicket;
    const AdmissionActions actions = server.queue.resend(busy, server.now);
    CHECK(actions == AdmissionActions {{AdmissionActionKind::Start, busy, Duration::zero()}});
    CHECK(server.runAll() == std::vector<AdmissionTicket> {2, 1});
    CHECK(server.queue.resend(busy, server.now).empty());
}

TEST_CASE("after a busy refusal nothing starts before an answer or a service time")
{
    struct Row
    {
        Duration after;
        bool isStarted;
    };
    for (const Row &row : {Row {Service / 2, false}, Row {2 * Service, true}}) {
        CAPTURE(row.after.count());
        BusyServer server;
        server.queue.setBounds(2, 2, 64);
        server.add(1, "a");
        server.add(2, "b");
        CHECK(server.queue.resend(1, server.now).empty());
        const AdmissionActions actions = server.queue.expire(server.now + row.after);
        CHECK_MESSAGE(!actions.empty() == row.isStarted, "actions: ", actions.size());
        if (row.isStarted)
            CHECK(actions.front().ticket == 1);
    }
}

TEST_CASE("a resent statement is given up when it can't finish in time any more")
{
    BusyServer server;
    server.queue.setBounds(2, 2, 64);
    server.add(1, "a", AdmissionClass::Write, 25ms);
    CHECK(isRefused(server.queue.resend(1, server.now + 20ms), 1));
}

TEST_CASE("a statement is given up only when its urgent turn can't save it either")
{
    struct Row
    {
        Duration after;
        bool isRefused;
    };
    for (const Row &row : {Row {290ms, false}, Row {340ms, true}}) {
        CAPTURE(row.after.count());
        BusyServer server;
        for (AdmissionTicket ticket = 1; ticket <= 10; ++ticket)
            server.add(ticket, "writer" + std::to_string(ticket));
        REQUIRE(server.add(11, "reader", AdmissionClass::PlainRead, 350ms).empty());
        server.now += row.after;
        CHECK(isRefused(server.queue.expire(server.now), 11) == row.isRefused);
        const AdmissionActions actions = server.queue.finish(BusyServer::RunningTicket,
                                                             AdmissionEnd::Failed, server.now);
        CHECK(actions.front().ticket == (row.isRefused ? 1 : 11));
    }
}

TEST_CASE("a newcomer must bear one more service time after a busy refusal")
{
    struct Row
    {
        bool isBusySeen;
        Duration timeout;
        bool isRefused;
    };
    const Row rows[] = {{false, 25ms, false}, {true, 25ms, true}, {true, 35ms, false}};
    for (const Row &row : rows) {
        CAPTURE(row.isBusySeen);
        CAPTURE(row.timeout.count());
        BusyServer server;
        if (row.isBusySeen)
            server.queue.resend(BusyServer::RunningTicket, server.now);
        const AdmissionActions actions = server.add(1, "a", AdmissionClass::Write, row.timeout);
        CHECK(isRefused(actions, 1) == row.isRefused);
    }
}

namespace {

constexpr Duration RunTime = 60s;

// One slot, 20 modest sessions and one that sends ten times as much as each of them.
class UnequalSessions
{
public:
    static constexpr int Modest = 20;
    static constexpr int Greedy = Modest; // the last one
    static constexpr double FairShare = RunTime / Service / double(Modest + 1); // statements

    // The load of a modest session is in fair shares.
    UnequalSessions(AdmissionClass kind, double load, Duration timeout)
        : m_kind(kind)
        , m_timeout(timeout)
        , m_gap(std::chrono::duration_cast<Duration>((Modest + 1) / load * Service))
    {
        for (int session = 0; session < Modest; ++session)
            m_due[session] = server.now + session * m_gap / Modest;
        m_due[Greedy] = server.now;
    }

    void run()
    {
        const TimePoint end = server.now + RunTime;
        TimePoint answeredAt = server.now + Service;
        while (server.now < end) {
            const auto next = std::min_element(m_due.begin(), m_due.end(),
                                               [](const auto &left, const auto &right) {
                                                   return left.second < right.second;
                                               });
            if (next->second < answeredAt) {
                server.now = next->second;
                send(next->first);
                next->second += next->first == Greedy ? m_gap / 10 : m_gap;
                continue;
            }
            server.now = answeredAt;
            answeredAt += Service;
            const AdmissionTicket running = m_running;
            ++served[m_sessionOf[running]];
            m_running = 0;
            take(server.queue.finish(running, AdmissionEnd::Answered, server.now));
        }
    }

    BusyServer server;
    std::map<int, int> served;
    std::map<int, int> sent;

private:
    void send(int session)
    {
        const AdmissionTicket ticket = m_next++;
        m_sessionOf[ticket] = session;
        ++sent[session];
        take(server.add(ticket, "session" + std::to_string(session), m_kind, m_timeout));
    }

    void take(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            if (action.kind == AdmissionActionKind::Start)
                m_running = action.ticket;
        }
    }

    const AdmissionClass m_kind;
    const Duration m_timeout;
    const Duration m_gap;
    std::map<int, TimePoint> m_due;
    std::map<AdmissionTicket, int> m_sessionOf {{BusyServer::RunningTicket, Greedy}};
    AdmissionTicket m_running = BusyServer::RunningTicket;
    AdmissionTicket m_next = 10'000;
};

} // namespace

TEST_CASE("a session that sends ten times as much leaves the others their fair share")
{
    struct Row
    {
        AdmissionClass kind;
        double load;
        Duration timeout;
    };
    const Row rows[] = {
            {AdmissionClass::Write, 0.5, 1s},    {AdmissionClass::Write, 1, 1s},
            {AdmissionClass::Write, 2, 1s},      {AdmissionClass::AgedRead, 2, 1s},
            {AdmissionClass::PlainRead, 2, 1s},  {AdmissionClass::Write, 2, 200ms},
            {AdmissionClass::AgedRead, 0.5, 1s},
    };
    for (const Row &row : rows) {
        UnequalSessions sessions(row.kind, row.load, row.timeout);
        sessions.run();
        CAPTURE(int(row.kind));
        CAPTURE(row.load);
        CAPTURE(row.timeout.count());
        // What still waits at the end isn't served yet.
        const double endedShare = 1 - double(row.timeout.count()) / double(RunTime.count());
        for (int session = 0; session < UnequalSessions::Modest; ++session) {
            const double due = std::min<double>(sessions.sent[session], UnequalSessions::FairShare);
            CHECK(sessions.served[session] >= endedShare * due);
        }
    }
}
