#include "site/proofkeeper.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");

// Takes down what a ProofKeeper does with its connections.
struct FakeLinks : ServerLinks
{
    explicit FakeLinks(ServerEvents &events)
        : events(events)
    { }
    void open(ConnectionKey connection, const ServerAnnouncement &server) override
    {
        opened.emplace_back(connection, server.server);
    }
    void send(ConnectionKey /*connection*/, const std::vector<ServerCommand> &commands) override
    {
        for (const ServerCommand &command : commands)
            sent.push_back(command.kind);
    }
    void close(ConnectionKey connection) override { closed.push_back(connection); }

    ServerEvents &events;
    std::vector<std::pair<ConnectionKey, ServerId>> opened;
    std::vector<ServerCommandKind> sent;
    std::vector<ConnectionKey> closed;
};

struct KeeperRig
{
    ProofCache board;
    FakeLinks *links = nullptr;
    ProofKeeper keeper {[this](ServerEvents &events) {
                            auto made = std::make_unique<FakeLinks>(events);
                            links = made.get();
                            return made;
                        },
                        board};
    TimePoint now {100s};

    static ServerRecord record(const std::string &id, bool isPrimary, Term confirmed)
    {
        ServerRecord record;
        record.announcement.server = ServerId(id);
        record.announcement.service = Service;
        record.announcement.isPrimary = isPrimary;
        record.confirmedTerm = confirmed;
        return record;
    }
    void tick(Duration passed, const std::vector<ServerRecord> &servers)
    {
        now += passed;
        board.want({Service}, now);
        keeper.tick(servers, now);
    }
    void answerBegin(std::optional<StatementFault> fault, LogPosition position)
    {
        ServerReply reply;
        reply.fault = fault;
        reply.position = position;
        links->events.replyCame(links->opened.back().first, reply);
        if (!fault)
            links->events.replyCame(links->opened.back().first, {});
    }
};

} // namespace

TEST_CASE("one connection to a wanted service's primary brings a proof four times a second")
{
    KeeperRig rig;
    const std::vector<ServerRecord> servers {KeeperRig::record("p", true, 1),
                                             KeeperRig::record("r", false, 0)};
    rig.tick(0ms, servers);
    REQUIRE(rig.links->opened.size() == 1);
    CHECK(rig.links->opened.front().second == ServerId("p"));
    rig.links->events.connectionOpened(rig.links->opened.front().first);
    for (int i = 0; i < 100; ++i) {
        const std::size_t before = rig.links->sent.size();
        rig.tick(30ms, servers);
        if (rig.links->sent.size() != before)
            rig.answerBegin({}, {1, 7});
    }
    CHECK(rig.links->opened.size() == 1);
    CHECK(rig.links->sent.size() >= 2 * 10);
    CHECK(rig.links->sent.size() <= 2 * 12);
    CHECK(rig.board.proofs({Service}, rig.now).size() == 1);
}

TEST_CASE("a server that doesn't prove its lead brings nothing, and its connection is closed")
{
    struct Row
    {
        const char *what;
        std::optional<StatementFault> refusal;
    };
    const Row rows[] = {{"it has lost the lead", StatementFault::ReadOnly},
                        {"it doesn't answer", std::nullopt}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        KeeperRig rig;
        const std::vector<ServerRecord> servers {KeeperRig::record("p", true, 1)};
        rig.tick(0ms, servers);
        rig.links->events.connectionOpened(rig.links->opened.front().first);
        rig.tick(30ms, servers);
        if (row.refusal)
            rig.answerBegin(row.refusal, {1, 7});
        else
            rig.tick(600ms, servers);
        CHECK(rig.board.proofs({Service}, rig.now).empty());
        CHECK(rig.links->closed.size() == 1);
        rig.tick(100ms, servers);
        CHECK(rig.links->opened.size() == 1); // not at once again
        rig.tick(1s, servers);
        CHECK(rig.links->opened.size() == 2);
    }
}

TEST_CASE("after a change of primary the new one is asked, and nobody while another VM leads")
{
    KeeperRig rig;
    rig.tick(0ms, {KeeperRig::record("p", true, 1)});
    rig.tick(1s, {KeeperRig::record("p", true, 1), KeeperRig::record("r", true, 2)});
    REQUIRE(rig.links->opened.size() == 2);
    CHECK(rig.links->opened.back().second == ServerId("r"));
    CHECK(rig.links->closed.size() == 1);
    rig.keeper.rest();
    CHECK(rig.links->closed.size() == 2);
}
