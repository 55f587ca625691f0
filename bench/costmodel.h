#pragma once

// What a statement costs on its way from the entry proxy through the home proxy to
// a backend server, counted in virtual time: messages, bytes of their content and
// allocations. Admission, quorum and the codecs are the system's own; the backend
// servers are small fakes. Sessions send their next statement after each answer.

#include "nutmegtide/statement/admissionqueue.h"
#include "nutmegtide/statement/writequorum.h"
#include "serve/exchange.h"
#include "serve/wireconvert.h"
#include "support/eventqueue.h"

#include <cstdio>
#include <functional>
#include <set>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace nutmegtide::cost {

// Counts the calls of operator new; the program that uses the model defines both.
extern std::size_t allocationCount;

constexpr int ServerCount = 3;
constexpr int Slots = 3;
constexpr int Connections = Slots; // the fake servers refuse nothing as busy
constexpr int QueueLength = 256;
constexpr Duration OneWay = 500us;
constexpr Duration Service = 5ms;
constexpr Duration SyncInterval = 5ms; // of a backend server's disk
constexpr Duration RunTime = 10s; // what is under way then is finished
constexpr Duration Timeout = 60s; // no statement is refused
constexpr std::size_t FrameBytes = 4; // of a Thrift message

// Who asks the backend servers for their positions while writes wait.
enum class Watching {
    Shared, // one long poll a server for all waiting writes
    Own, // each write polls each server
};

struct Cost
{
    long messages = 0; // a question with its answer
    std::size_t bytes = 0;
    std::size_t allocations = 0;
};

struct Outcome
{
    long statements = 0; // answered
    Cost peer;
    Cost backend;
    Cost watch;
};

// Adds the allocations within its life to a cost.
class Metered
{
public:
    explicit Metered(Cost &cost)
        : m_cost(cost)
        , m_before(allocationCount)
    { }
    ~Metered() { m_cost.allocations += allocationCount - m_before; }
    Metered(const Metered &) = delete;
    Metered &operator=(const Metered &) = delete;

private:
    Cost &m_cost;
    const std::size_t m_before;
};

class Simulation
{
public:
    Simulation(Access access, int sessions, Watching watching)
        : m_access(access)
        , m_sessions(sessions)
        , m_watching(watching)
    {
        m_admission.setBounds(Slots, Connections, QueueLength);
        std::vector<ServerId> voters;
        for (int server = 0; server < ServerCount; ++server)
            voters.push_back(nameOf(server));
        m_quorum.setTerm(1, Voters({voters}));
    }

    Outcome run()
    {
        for (int session = 0; session < m_sessions; ++session)
            schedule(session * 100us, [this, session] { send(session); });
        schedule(SyncInterval, [this] { sync(); });
        while (!m_events.isEmpty())
            m_events.runNext(m_now);
        return m_outcome;
    }

private:
    struct Job
    {
        int session = 0;
        Statement statement;
        ExecuteReply reply;
    };
    struct Server
    {
        std::uint64_t received = 0; // by the last sync
        std::uint64_t durable = 0;
        std::uint64_t known = 0; // to the home proxy
        bool isWatched = false;
        std::multiset<std::uint64_t> polls; // the indexes that they wait for
    };

    static ServerId nameOf(int server) { return ServerId("server-" + std::to_string(server)); }

    void schedule(Duration after, std::function<void()> action)
    {
        m_events.add(m_now + after, std::move(action));
    }

    // Passes a message of the peer protocol through its codec.
    template <typename Message>
    Message pass(const Message &message)
    {
        const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
        apache::thrift::protocol::TBinaryProtocol protocol(buffer);
        message.write(&protocol);
        m_outcome.peer.bytes += buffer->available_read() + FrameBytes;
        Message copy;
        copy.read(&protocol);
        return copy;
    }

    void send(int session)
    {
        if (m_now >= TimePoint() + RunTime)
            return;
        const AdmissionTicket ticket = m_nextTicket++;
        char id[32];
        std::snprintf(id, sizeof id, "%08lu", static_cast<unsigned long>(ticket));
        Statement statement;
        statement.database = DatabaseName("registers");
        statement.caller = CallerId("warehouse");
        statement.session = SessionId("session-" + std::to_string(10 + session));
        statement.id = RequestId(id);
        statement.access = m_access;
        statement.deadline = m_now + Timeout;
        statement.text = "put cask";
        statement.parameters = {{"cask", "4711"}, {"litres", 180}};
        if (m_access == Access::Read)
            statement.maxAge = 1000ms;
        Job &job = m_jobs[ticket];
        job.session = session;
        const Metered metered(m_outcome.peer);
        ++m_outcome.peer.messages;
        job.statement = fromWire(pass(toWire(statement, m_now)), m_now);
        schedule(OneWay, [this, ticket] { admit(ticket); });
    }

    void admit(AdmissionTicket ticket)
    {
        const Statement &statement = m_jobs.at(ticket).statement;
        const Metered metered(m_outcome.backend);
        const auto kind = m_access == Access::Write ? AdmissionClass::Write
                                                    : AdmissionClass::AgedRead;
        start(m_admission.add({ticket, statement.session, kind, statement.deadline}, m_now));
    }

    void start(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            const AdmissionTicket ticket = action.ticket;
            const Json request = makeExecuteRequest(m_jobs.at(ticket).statement, 1);
            m_outcome.backend.bytes += request.dump().size();
            ++m_outcome.backend.messages;
            schedule(OneWay + Service, [this, ticket] { execute(ticket); });
        }
    }

    // The fake backend server: runs the statement and answers.
    void execute(AdmissionTicket ticket)
    {
        ExecuteReply reply;
        reply.requestId = m_jobs.at(ticket).statement.id;
        reply.term = 1;
        reply.role = ServerRole::Primary;
        reply.position = {1, m_access == Access::Write ? ++m_written : m_written};
        reply.result = {{"litres", 180}};
        const std::string body = Json(reply).dump();
        m_outcome.backend.bytes += body.size();
        schedule(OneWay, [this, ticket, body] { answer(ticket, body); });
    }

    void answer(AdmissionTicket ticket, const std::string &body)
    {
        {
            const Metered metered(m_outcome.backend);
            m_jobs.at(ticket).reply = parseMessage<ExecuteReply>(body);
            start(m_admission.finish(ticket, AdmissionEnd::Answered, m_now));
        }
        if (m_access == Access::Read) {
            finish(ticket);
            return;
        }
        const LogPosition position = m_jobs.at(ticket).reply.position;
        {
            const Metered metered(m_outcome.watch);
            settle(m_quorum.add(ticket, position, m_now + Timeout));
        }
        for (int server = 0; server < ServerCount; ++server) {
            if (m_watching == Watching::Own)
                poll(server, position.index);
            else
                watch(server);
        }
    }

    // As the watcher of a backend server does: one long poll while any write waits.
    void watch(int at)
    {
        Server &server = m_servers[at];
        if (server.isWatched || !m_quorum.nextDeadline())
            return;
        server.isWatched = true;
        poll(at, server.known + 1);
    }

    void poll(int at, std::uint64_t index)
    {
        const Metered metered(m_outcome.watch);
        ++m_outcome.watch.messages;
        const std::string path = "/v1/position?term=1&at_least=1." + std::to_string(index)
                + "&wait_ms=1000";
        m_outcome.watch.bytes += path.size();
        schedule(OneWay, [this, at, index] {
            m_servers[at].polls.insert(index);
            answerPolls(at);
        });
    }

    // Disks sync in turns, and a sync holds what had come before the one before it.
    void sync()
    {
        for (int at = 0; at < ServerCount; ++at) {
            Server &server = m_servers[at];
            server.durable = server.received;
            server.received = m_written;
            answerPolls(at);
        }
        if (!m_jobs.empty())
            schedule(SyncInterval, [this] { sync(); });
    }

    void answerPolls(int at)
    {
        Server &server = m_servers[at];
        while (!server.polls.empty() && *server.polls.begin() <= server.durable) {
            server.polls.erase(server.polls.begin());
            const LogPosition position {1, server.durable};
            const PositionReply reply {1, ServerRole::Replica, position, position};
            const std::string body = Json(reply).dump();
            m_outcome.watch.bytes += body.size();
            schedule(OneWay, [this, at, body] { observe(at, body); });
        }
    }

    void observe(int at, const std::string &body)
    {
        {
            const Metered metered(m_outcome.watch);
            const PositionReply reply = parseMessage<PositionReply>(body);
            m_servers[at].known = reply.durable.index;
            settle(m_quorum.observe(nameOf(at), reply.term, reply.durable));
        }
        m_servers[at].isWatched = false;
        if (m_watching == Watching::Shared)
            watch(at);
    }

    void settle(const WriteActions &actions)
    {
        for (const WriteAction &action : actions)
            schedule(Duration::zero(), [this, ticket = action.ticket] { finish(ticket); });
    }

    void finish(AdmissionTicket ticket)
    {
        const Job job = m_jobs.at(ticket);
        m_jobs.erase(ticket);
        const Metered metered(m_outcome.peer);
        fromWire(pass(toWire(makeResult(job.statement, job.reply, nameOf(0)))));
        ++m_outcome.statements;
        schedule(OneWay, [this, session = job.session] { send(session); });
    }

    const Access m_access;
    const int m_sessions;
    const Watching m_watching;
    AdmissionQueue m_admission;
    WriteQuorum m_quorum;
    Server m_servers[ServerCount];
    std::map<AdmissionTicket, Job> m_jobs;
    test::EventQueue m_events;
    std::uint64_t m_written = 0;
    AdmissionTicket m_nextTicket = 1;
    TimePoint m_now;
    Outcome m_outcome;
};

} // namespace nutmegtide::cost
