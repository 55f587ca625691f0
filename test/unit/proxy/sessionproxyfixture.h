#pragma once

#include "nutmegtide/proxy/sessionproxy.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace nutmegtide::test {

// Behaviour of one fake backend server.
struct ScriptedServer
{
    ServerAnnouncement announcement;
    bool leads = false;
    std::optional<TimePoint> leavingSince;
    bool takesConnections = true;
    bool ignoresConnections = false; // connection attempts get no reply
    std::optional<StatementFault> connectionRefusal; // reply to a connection attempt
    bool isSilent = false; // accepts commands and never replies
    bool provesAnswers = true;
    std::optional<StatementFault> refusal; // reply to every statement
    LogPosition applied {1, 0};
    LogPosition received {}; // may be ahead of `applied`
    bool receives = false; // its log follows each commit of the primary at once
    Duration ran {}; // run time of a statement as its home reports it
    Duration wait {}; // wait at its home as that reports it
    bool isVouched = true; // its home's connection is vouched for
    int statements = 0; // number of statements that it ran
};

struct GivenAnswer
{
    SessionKey session = 0;
    RequestId request;
    SessionAnswer answer;
};

struct SentCommand
{
    ServerId server;
    ConnectionKey connection = 0;
    ServerCommand command;
    Urgency urgency;
};

// Runs a SessionProxy against fake servers in virtual time. The servers reply only in serve().
//
//   SessionProxyFixture fixture;
//   fixture.session(1, "casks");
//   fixture.ask(1, StatementKind::Read, "q1", "item");
//   fixture.serve();
//   CHECK(fixture.answerTo("q1")->fault == std::nullopt);
class SessionProxyFixture : private SessionProxyDelegate
{
public:
    SessionProxyFixture()
        : proxy(*this, FailureDomain("a"))
    {
        addServer("p", "a", true);
        addServer("r1", "b", false);
        addServer("r2", "c", false);
        RouteTable table;
        table.revision = 1;
        table.idleTransactionTimeout = 3s;
        table.services[Service] = {Service, 21, 1};
        addRoute(table, "casks", Consistency::Latest, 0ms);
        addRoute(table, "aged", Consistency::BoundedAge, 1500ms);
        addRoute(table, "own", Consistency::OwnWrites, 2500ms);
        routes = std::make_shared<RouteTable>(table);
        proxy.setRoutes(routes, now);
        announceServers();
    }

    void addServer(const std::string &id, const std::string &domain, bool leads)
    {
        ScriptedServer server;
        server.announcement.server = ServerId(id);
        server.announcement.service = Service;
        server.announcement.address = {"10.0.0." + std::to_string(servers.size() + 1), 80};
        server.announcement.failureDomain = FailureDomain(domain);
        server.announcement.slots = 3;
        server.announcement.isPrimary = leads;
        server.announcement.sequence = 1;
        server.leads = leads;
        server.applied = {1, 10};
        servers[ServerId(id)] = server;
    }
    ScriptedServer &server(const std::string &id) { return servers.at(ServerId(id)); }
    // Announces the current state of all servers.
    void announceServers()
    {
        std::vector<ServerRecord> records;
        for (auto &[id, server] : servers) {
            ++server.announcement.sequence;
            server.announcement.isLeaving = server.leavingSince.has_value();
            records.push_back({server.announcement, false, 0, server.leavingSince});
        }
        proxy.setServers(records, now);
    }
    void session(SessionKey key, const std::string &database) { session(key, database, {}); }
    void session(SessionKey key, const std::string &database, const KeyDigest &credential)
    {
        proxy.openSession(key, DatabaseName(database), credential, now);
    }
    void ask(SessionKey key, StatementKind kind, const std::string &request,
             const std::string &argument = {}, const std::string &name = {},
             bool preparesWrite = false)
    {
        proxy.receive(key, {RequestId(request), kind, name, argument, preparesWrite}, now);
    }
    // Advances the time and runs each tick that becomes due.
    void advanceTime(Duration time)
    {
        const TimePoint until = now + time;
        while (proxy.wakeAt() <= until) {
            now = std::max(now, proxy.wakeAt());
            proxy.tick(now);
        }
        now = until;
    }
    // Advances the time in small steps, and replies to all commands after each.
    void serveFor(Duration time)
    {
        const TimePoint until = now + time;
        while (now < until) {
            advanceTime(std::min(Duration(2ms), until - now));
            serve();
        }
    }
    // Replies to all commands, including those that the replies lead to.
    void serve()
    {
        while (!m_opening.empty() || !m_pending.empty()) {
            if (!m_opening.empty()) {
                const auto [key, id] = m_opening.front();
                m_opening.pop_front();
                if (servers.at(id).ignoresConnections)
                    continue;
                if (const auto fault = servers.at(id).connectionRefusal)
                    proxy.refused(key, *fault, now);
                else if (servers.at(id).takesConnections)
                    proxy.opened(key, hasHomes, now);
                else
                    proxy.lost(key, Loss::Refused, now);
                continue;
            }
            const SentCommand sent = m_pending.front();
            m_pending.pop_front();
            if (!servers.at(sent.server).isSilent)
                proxy.replied(sent.connection, replyOf(sent), now);
        }
    }
    // Closes a connection as its server would.
    void breakConnection(ConnectionKey key)
    {
        std::erase_if(m_pending, [key](const SentCommand &sent) { return sent.connection == key; });
        proxy.lost(key, Loss::Closed, now);
    }
    const SessionAnswer *answerTo(const std::string &request) const
    {
        const auto found = std::find_if(answers.rbegin(), answers.rend(),
                                        [&request](const GivenAnswer &given) {
                                            return given.request.text() == request;
                                        });
        return found == answers.rend() ? nullptr : &found->answer;
    }
    bool isClosed(ConnectionKey key) const { return m_closed.count(key) != 0; }
    // Returns the commands that were sent for a caller's request.
    std::vector<SentCommand> attemptsOf(const std::string &request) const
    {
        std::vector<SentCommand> attempts;
        for (const SentCommand &sent : sentCommands) {
            if (sent.command.request.text() == request)
                attempts.push_back(sent);
        }
        return attempts;
    }

    static inline const ServiceName Service {"db"};
    std::map<ServerId, ScriptedServer> servers;
    std::shared_ptr<const RouteTable> routes;
    std::vector<SessionKey> accepted;
    std::vector<GivenAnswer> answers;
    std::vector<KeyRefusal> refusals;
    std::vector<RequestDecision> unconfirmed;
    std::vector<ServerAssessment> assessments;
    std::vector<std::pair<WorkspaceName, int>> loanRequests; // with the operations asked for
    std::map<ConnectionKey, WorkspaceName> workspaceOf; // of each connection that was requested
    std::vector<SentCommand> sentCommands;
    bool hasHomes = false; // connections go through homes
    std::vector<std::pair<SessionKey, std::optional<StatementFault>>> ended;
    SessionProxy proxy;
    TimePoint now {100s};

private:
    static void addRoute(RouteTable &table, const std::string &name, Consistency consistency,
                         std::chrono::milliseconds age)
    {
        Route route;
        route.database = DatabaseName(name);
        route.service = Service;
        route.consistency = consistency;
        route.largestAge = age;
        route.statementTimeout = 1000ms;
        route.latencyObjective = 400ms;
        table.routes[route.database] = route;
    }

    void commitAt(ScriptedServer &primary)
    {
        ++primary.applied.index;
        for (auto &[id, server] : servers) {
            if (server.receives)
                server.applied = primary.applied;
        }
    }
    ServerReply replyOf(const SentCommand &sent)
    {
        ScriptedServer &server = servers.at(sent.server);
        TransactionState &state = m_states[sent.connection];
        ServerReply reply;
        reply.position = server.applied;
        reply.wait = server.wait;
        reply.isVouched = server.isVouched;
        if (sent.command.kind == ServerCommandKind::Status) {
            reply.rows = {sent.server.text()};
            return reply;
        }
        using Kind = ServerCommandKind;
        const Kind kind = sent.command.kind;
        const bool isStatement = kind == Kind::Read || kind == Kind::Write || kind == Kind::Execute
                || kind == Kind::Commit;
        const bool needsLead = kind == Kind::Begin || kind == Kind::Write
                || (isStatement && m_readWrite.count(sent.connection) != 0);
        if (isStatement && server.refusal) {
            reply.fault = server.refusal;
        } else if (sent.command.after && *sent.command.after > server.applied) {
            reply.fault = StatementFault::Lagging;
        } else if (needsLead && !server.leads) {
            reply.fault = StatementFault::ReadOnly;
            if (state == TransactionState::Open)
                state = TransactionState::Failed;
        } else {
            if (isStatement && server.provesAnswers)
                reply.detail = "proof";
            server.statements += isStatement ? 1 : 0;
            reply.ran = isStatement ? server.ran : Duration();
            const bool isCommit = (kind == Kind::Write && state == TransactionState::Idle)
                    || (kind == Kind::Commit && m_wrote.count(sent.connection) != 0);
            if (kind == Kind::Write && state == TransactionState::Open)
                m_wrote.insert(sent.connection);
            if (isCommit)
                commitAt(server);
            reply.position = server.applied;
            if (kind == Kind::Begin || kind == Kind::BeginReadOnly)
                state = TransactionState::Open;
            if (kind == Kind::Begin)
                m_readWrite.insert(sent.connection);
            if (kind == Kind::Read)
                reply.rows = {"row of " + sent.server.text()};
        }
        if (kind == Kind::Commit || kind == Kind::Rollback) {
            state = TransactionState::Idle;
            m_readWrite.erase(sent.connection);
            m_wrote.erase(sent.connection);
        }
        reply.state = state;
        return reply;
    }

    void accept(SessionKey session) override { accepted.push_back(session); }
    void answer(SessionKey session, const RequestId &request, const SessionAnswer &answer) override
    {
        answers.push_back({session, request, answer});
    }
    void end(SessionKey session, std::optional<StatementFault> fault) override
    {
        ended.emplace_back(session, fault);
    }
    void open(ConnectionKey connection, const ServerAnnouncement &server,
              const WorkspaceName &workspace) override
    {
        workspaceOf[connection] = workspace;
        m_opening.emplace_back(connection, server.server);
        m_connections[connection] = server.server;
    }
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands,
              const Urgency &urgency) override
    {
        for (const ServerCommand &command : commands) {
            m_pending.push_back({m_connections.at(connection), connection, command, urgency});
            sentCommands.push_back(m_pending.back());
        }
    }
    void close(ConnectionKey connection) override
    {
        m_closed.insert(connection);
        std::erase_if(m_pending, [connection](const SentCommand &sent) {
            return sent.connection == connection;
        });
        std::erase_if(m_opening,
                      [connection](const auto &item) { return item.first == connection; });
    }
    void borrow(const WorkspaceName &workspace, int wanted) override
    {
        loanRequests.emplace_back(workspace, wanted);
    }
    std::optional<ServerReplicationStatus> readStatus(const ServerReply &reply) override
    {
        if (reply.fault || reply.rows.empty())
            return std::nullopt;
        ServerReplicationStatus status;
        status.received = servers.at(ServerId(reply.rows.front())).received;
        return status;
    }
    void requestDecided(const RequestDecision &decision) override
    {
        if (decision.step == "unconfirmed")
            unconfirmed.push_back(decision);
    }
    void keyRefused(const KeyRefusal &refusal) override { refusals.push_back(refusal); }
    void serverAssessed(const ServerAssessment &assessment) override
    {
        assessments.push_back(assessment);
    }

    std::deque<std::pair<ConnectionKey, ServerId>> m_opening;
    std::deque<SentCommand> m_pending;
    std::map<ConnectionKey, ServerId> m_connections;
    std::map<ConnectionKey, TransactionState> m_states;
    std::set<ConnectionKey> m_closed; // closed by the proxy
    std::set<ConnectionKey> m_readWrite; // connections in a read-write transaction
    std::set<ConnectionKey> m_wrote;
};

} // namespace nutmegtide::test
