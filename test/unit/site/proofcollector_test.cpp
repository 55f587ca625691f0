#include "site/proofcollector.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServiceName Service("db");

// Records what a ProofCollector does with its connections.
struct FakeLinks : ServerLinks
{
    explicit FakeLinks(ServerEvents &events)
        : events(events)
    { }
    void open(ConnectionKey connection, const ServerAnnouncement &server,
              const WorkspaceName & /*workspace*/) override
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

struct CollectorFixture
{
    ProofCache cache;
    FakeLinks *links = nullptr;
    ProofCollector collector {[this](ServerEvents &events) {
                                  auto made = std::make_unique<FakeLinks>(events);
                                  links = made.get();
                                  return made;
                              },
                              cache};
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
        cache.want({Service}, now);
        collector.tick(servers, now);
    }
    void answerBegin(std::optional<StatementFault> fault, LogPosition position)
    {
        ServerReply reply;
        reply.fault = fault;
        reply.position = position;
        links->events.replyReceived(links->opened.back().first, reply);
        if (!fault)
            links->events.replyReceived(links->opened.back().first, {});
    }
};

} // namespace

TEST_CASE("one connection to a wanted service's primary provides a proof four times a second")
{
    CollectorFixture fixture;
    const std::vector<ServerRecord> servers {CollectorFixture::record("p", true, 1),
                                             CollectorFixture::record("r", false, 0)};
    fixture.tick(0ms, servers);
    REQUIRE(fixture.links->opened.size() == 1);
    CHECK(fixture.links->opened.front().second == ServerId("p"));
    fixture.links->events.connectionOpened(fixture.links->opened.front().first);
    for (int i = 0; i < 100; ++i) {
        const std::size_t before = fixture.links->sent.size();
        fixture.tick(30ms, servers);
        if (fixture.links->sent.size() != before)
            fixture.answerBegin({}, {1, 7});
    }
    CHECK(fixture.links->opened.size() == 1);
    CHECK(fixture.links->sent.size() >= 2 * 10);
    CHECK(fixture.links->sent.size() <= 2 * 12);
    CHECK(fixture.cache.proofs({Service}, fixture.now).size() == 1);
}

TEST_CASE(
        "a server that doesn't prove that it leads provides no proof, and its connection is closed")
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
        CollectorFixture fixture;
        const std::vector<ServerRecord> servers {CollectorFixture::record("p", true, 1)};
        fixture.tick(0ms, servers);
        fixture.links->events.connectionOpened(fixture.links->opened.front().first);
        fixture.tick(30ms, servers);
        if (row.refusal)
            fixture.answerBegin(row.refusal, {1, 7});
        else
            fixture.tick(600ms, servers);
        CHECK(fixture.cache.proofs({Service}, fixture.now).empty());
        CHECK(fixture.links->closed.size() == 1);
        fixture.tick(100ms, servers);
        CHECK(fixture.links->opened.size() == 1); // not reopened at once
        fixture.tick(1s, servers);
        CHECK(fixture.links->opened.size() == 2);
    }
}

TEST_CASE("the new primary is asked after a change, and no server while another control VM leads")
{
    CollectorFixture fixture;
    fixture.tick(0ms, {CollectorFixture::record("p", true, 1)});
    fixture.tick(1s,
                 {CollectorFixture::record("p", true, 1), CollectorFixture::record("r", true, 2)});
    REQUIRE(fixture.links->opened.size() == 2);
    CHECK(fixture.links->opened.back().second == ServerId("r"));
    CHECK(fixture.links->closed.size() == 1);
    fixture.collector.closeAll();
    CHECK(fixture.links->closed.size() == 2);
}
