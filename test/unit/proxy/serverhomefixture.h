#pragma once

#include "nutmegtide/proxy/serverhome.h"

#include <algorithm>

namespace nutmegtide::test {

// Runs a ServerHome in virtual time, between lanes and fake server connections that reply only when
// the test calls answer().
//
//   ServerHomeFixture fixture;
//   fixture.ask(1, fixture.read("q1"));
//   fixture.openAll();
//   fixture.answer("q1");
//   CHECK(fixture.replies.back().reply.detail == "proof");
class ServerHomeFixture : private ServerHomeDelegate
{
public:
    struct Sent
    {
        ConnectionKey connection = 0;
        ServerCommand command;
    };
    struct Replied
    {
        LaneKey lane;
        ServerReply reply;
    };

    ServerHomeFixture() { announceServer(); }

    // Announces the server, as leaving since the given time if there is one.
    void announceServer(std::optional<TimePoint> leavingSince = {})
    {
        ServerRecord record;
        record.announcement.server = Server;
        record.announcement.service = ServiceName("db");
        record.announcement.slots = 3;
        record.announcement.address = {"10.0.0.1", 80};
        record.announcement.isLeaving = leavingSince.has_value();
        record.leavingSince = leavingSince;
        home.setServers({record}, now);
    }

    static ServerCommand command(ServerCommandKind kind, const std::string &request = {})
    {
        ServerCommand command;
        command.kind = kind;
        command.request = RequestId(request);
        return command;
    }
    static ServerCommand read(const std::string &request)
    {
        return command(ServerCommandKind::Read, request);
    }
    void ask(std::uint64_t lane, const ServerCommand &command, Urgency urgency = {1, 50ms})
    {
        home.take({1, lane}, {Server, {}}, {command}, urgency, now);
    }
    // Sends a read on each of the lanes 1 to `lanes`, named "q1" and so on, and opens the
    // connections that each one requests.
    void askReads(std::uint64_t lanes, const Urgency &urgency)
    {
        for (std::uint64_t lane = 1; lane <= lanes; ++lane) {
            ask(lane, read("q" + std::to_string(lane)), urgency);
            openAll();
        }
    }
    // Opens all requested connections, including those that are requested meanwhile.
    void openAll()
    {
        while (!opening.empty()) {
            const ConnectionKey key = opening.front();
            opening.erase(opening.begin());
            home.opened(key, now);
        }
    }
    // Replies to the command of the request and to the ones sent before it on its connection.
    void answer(const std::string &request, TransactionState state = TransactionState::Idle,
                std::optional<StatementFault> fault = {})
    {
        const auto asked = std::find_if(unanswered.begin(), unanswered.end(),
                                        [&request](const Sent &sent) {
                                            return sent.command.request.text() == request;
                                        });
        const ConnectionKey connection = asked->connection;
        bool isLast = false;
        while (!isLast) {
            const auto next = std::find_if(unanswered.begin(), unanswered.end(),
                                           [connection](const Sent &sent) {
                                               return sent.connection == connection;
                                           });
            isLast = next->command.request.text() == request;
            unanswered.erase(next);
            ServerReply reply;
            reply.state = state;
            if (isLast) {
                reply.fault = fault;
                reply.detail = "proof";
            }
            home.replied(connection, reply, now);
        }
    }
    void advanceTime(Duration time)
    {
        const TimePoint until = now + time;
        while (home.wakeAt() <= until) {
            now = std::max(now, home.wakeAt());
            home.tick(now);
        }
        now = until;
    }
    bool wasSent(const std::string &request) const { return connectionOf(request) != 0; }
    // Returns the connection that the request was sent on, or 0 if it was not sent.
    ConnectionKey connectionOf(const std::string &request) const
    {
        for (const Sent &one : sent) {
            if (one.command.request.text() == request)
                return one.connection;
        }
        return 0;
    }

    std::map<ConnectionKey, WorkspaceName> workspaceOf; // of each connection that was requested
    static inline const ServerId Server {"s"};
    TimePoint now {100s};
    std::vector<ConnectionKey> opening;
    std::vector<Sent> sent;
    std::vector<Sent> unanswered;
    std::vector<ConnectionKey> closed;
    std::vector<Replied> replies;
    std::vector<LaneKey> lostLanes;
    std::vector<ServerEvidence> evidence;
    ServerHome home {*this};

private:
    void open(ConnectionKey connection, const ServerAnnouncement & /*server*/,
              const WorkspaceName &workspace) override
    {
        workspaceOf[connection] = workspace;
        opening.push_back(connection);
    }
    void send(ConnectionKey connection, const std::vector<ServerCommand> &commands) override
    {
        for (const ServerCommand &command : commands) {
            sent.push_back({connection, command});
            unanswered.push_back(sent.back());
        }
    }
    void close(ConnectionKey connection) override
    {
        closed.push_back(connection);
        std::erase(opening, connection);
        std::erase_if(unanswered,
                      [connection](const Sent &one) { return one.connection == connection; });
    }
    void reply(const LaneKey &lane, const ServerReply &reply) override
    {
        replies.push_back({lane, reply});
    }
    void laneLost(const LaneKey &lane) override { lostLanes.push_back(lane); }
    void reportEvidence(std::uint64_t /*link*/, const ServerId & /*server*/,
                        ServerEvidence found) override
    {
        evidence.push_back(found);
    }
};

} // namespace nutmegtide::test
