#include "nutmegtide/proxy/serverhome.h"

#include "unit/proxy/serverhomefixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("a few connections serve many lanes")
{
    ServerHomeFixture fixture;
    for (std::uint64_t lane = 1; lane <= 80; ++lane) {
        const std::string request = "q" + std::to_string(lane);
        fixture.ask(lane, ServerHomeFixture::read(request));
        fixture.openAll();
        REQUIRE(fixture.wasSent(request));
        fixture.answer(request);
        CHECK(fixture.replies.back().lane == LaneKey {1, lane});
        CHECK(fixture.replies.back().reply.detail == "proof");
    }
    CHECK(fixture.home.connectionCount() == 1);
}

TEST_CASE("a server gets no more statements than it can run; the others wait or are refused")
{
    ServerHomeFixture fixture;
    fixture.askReads(6, {1, 30ms});
    CHECK(fixture.unanswered.size() == 4); // three slots, and one for the network delay
    fixture.answer("q1");
    CHECK(fixture.wasSent("q5"));
    CHECK_FALSE(fixture.wasSent("q6"));
    fixture.advanceTime(40ms);
    CHECK_FALSE(fixture.wasSent("q6"));
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies.back().lane == LaneKey {1, 6});
    CHECK((fixture.replies.back().reply.fault == StatementFault::Busy));
}

TEST_CASE("homes that share a server divide its slots")
{
    struct Row
    {
        int homes;
        std::size_t sent;
    };
    const Row rows[] = {{1, 4}, {2, 2}, {3, 2}}; // of three slots, and one for the network delay
    for (const Row &row : rows) {
        CAPTURE(row.homes);
        ServerHomeFixture fixture;
        fixture.home.setHomeCounts({{ServerHomeFixture::Server, row.homes}});
        fixture.askReads(8, {1, 500ms});
        CHECK(fixture.unanswered.size() == row.sent);
    }
}

TEST_CASE("a transaction keeps its connection to its end, and no other lane uses it")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::command(ServerCommandKind::Begin, "b"));
    fixture.openAll();
    fixture.answer("b", TransactionState::Open);
    fixture.ask(2, ServerHomeFixture::read("q"));
    fixture.openAll();
    fixture.answer("q");
    fixture.ask(1, ServerHomeFixture::command(ServerCommandKind::Write, "w"));
    fixture.answer("w", TransactionState::Open);
    fixture.ask(1, ServerHomeFixture::command(ServerCommandKind::Commit, "c"));
    fixture.answer("c");
    CHECK(fixture.connectionOf("w") == fixture.connectionOf("b"));
    CHECK(fixture.connectionOf("c") == fixture.connectionOf("b"));
    CHECK(fixture.connectionOf("q") != fixture.connectionOf("b"));
    CHECK(fixture.home.connectionCount() == 2);
}

TEST_CASE("a lane's values and prepared statements are restored on each connection it gets")
{
    ServerHomeFixture fixture;
    ServerCommand set = ServerHomeFixture::command(ServerCommandKind::SetValue);
    set.name = "lang";
    set.argument = "es";
    ServerCommand prepare = ServerHomeFixture::command(ServerCommandKind::Prepare);
    prepare.name = "r_q2c";
    prepare.argument = "q2c";
    ServerCommand execute = ServerHomeFixture::command(ServerCommandKind::Execute, "e");
    execute.name = "r_q2c";
    fixture.ask(1, set);
    fixture.ask(1, prepare);
    CHECK(fixture.replies.size() == 2); // answered without the server
    CHECK(fixture.sent.empty());
    fixture.ask(1, execute);
    fixture.openAll();
    fixture.answer("e");
    fixture.ask(2, ServerHomeFixture::read("q")); // a lane without session values
    fixture.answer("q");
    fixture.ask(1, ServerHomeFixture::read("q2"));
    std::vector<ServerCommandKind> kinds;
    for (const ServerHomeFixture::Sent &one : fixture.sent)
        kinds.push_back(one.command.kind);
    using Kind = ServerCommandKind;
    CHECK(kinds
          == std::vector<Kind> {Kind::SetValue, Kind::Prepare, Kind::Execute, Kind::Reset,
                                Kind::Read, Kind::SetValue, Kind::Read});
    CHECK(fixture.home.connectionCount() == 1);
}

// Guards against an entry VM of another version, whose name for a statement isn't the one that this
// home prepares it under.
TEST_CASE("a statement is executed under the name that it was prepared under on the connection")
{
    ServerHomeFixture fixture;
    ServerCommand prepare = ServerHomeFixture::command(ServerCommandKind::Prepare);
    prepare.name = "r_select balance";
    prepare.argument = "select balance";
    ServerCommand execute = ServerHomeFixture::command(ServerCommandKind::Execute, "e");
    execute.name = prepare.name;
    fixture.ask(1, prepare);
    fixture.ask(1, execute);
    fixture.openAll();
    REQUIRE(fixture.sent.size() == 2);
    const std::string name = fixture.sent.front().command.name;
    CHECK(name == PreparedStatement {false, "select balance"}.serverName());
    CHECK(fixture.sent.back().command.name == name);
}

TEST_CASE("closing a lane closes its connection only if a statement or transaction is open on it")
{
    enum class When { Waiting, Running, InTransaction, Idle };
    struct Row
    {
        When when;
        std::size_t closed; // number of closed connections
    };
    const Row rows[] = {
            {When::Waiting, 0},
            {When::Running, 1}, // the reply is discarded
            {When::InTransaction, 1}, // the server rolls back the transaction
            {When::Idle, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.when));
        ServerHomeFixture fixture;
        const bool isBegun = row.when == When::InTransaction;
        fixture.ask(1,
                    isBegun ? ServerHomeFixture::command(ServerCommandKind::Begin, "q")
                            : ServerHomeFixture::read("q"));
        if (row.when != When::Waiting)
            fixture.openAll();
        if (isBegun || row.when == When::Idle)
            fixture.answer("q", isBegun ? TransactionState::Open : TransactionState::Idle);
        // A planned stop waits for running statements and open transactions, not for idle lanes.
        CHECK(fixture.home.isInUse() == (row.when != When::Idle));
        if (row.when == When::Running)
            fixture.home.linkLost(1, fixture.now);
        else
            fixture.home.closeLane({1, 1}, fixture.now);
        CHECK(fixture.closed.size() == row.closed);
        CHECK(fixture.home.laneCount() == 0);
        CHECK_FALSE(fixture.home.isInUse());
        // Other lanes can use the slot and the connection.
        fixture.ask(2, ServerHomeFixture::read("after"));
        fixture.openAll();
        CHECK(fixture.wasSent("after"));
    }
}

TEST_CASE("a lost connection ends its lane; an unsent statement is answered with Busy")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::read("q1"));
    fixture.openAll();
    fixture.home.lost(fixture.connectionOf("q1"), Loss::Closed, fixture.now);
    CHECK(fixture.lostLanes == std::vector<LaneKey> {{1, 1}});
    struct Row
    {
        const char *what;
        std::optional<StatementFault> refusal;
        std::optional<Loss> loss;
        std::vector<ServerEvidence> evidence;
        bool isAnsweredAtOnce;
    };
    const Row rows[] = {
            {"connection refused", {}, Loss::Refused, {ServerEvidence::Refuses}, true},
            {"no reply", {}, Loss::Silent, {ServerEvidence::Silent}, true},
            {"another server at the address",
             StatementFault::Misrouted,
             {},
             {ServerEvidence::WrongAddress},
             true},
            {"no connection is left", StatementFault::TooManyConnections, {}, {}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ServerHomeFixture refused;
        refused.ask(1, ServerHomeFixture::command(ServerCommandKind::Write, "w"));
        const ConnectionKey key = refused.opening.front();
        if (row.refusal)
            refused.home.refused(key, *row.refusal, refused.now);
        else
            refused.home.lost(key, *row.loss, refused.now);
        CHECK(refused.evidence == row.evidence);
        CHECK(refused.replies.size() == (row.isAnsweredAtOnce ? 1U : 0U));
        refused.advanceTime(100ms);
        REQUIRE(refused.replies.size() == 1);
        CHECK((refused.replies.front().reply.fault == StatementFault::Busy));
        CHECK_FALSE(refused.wasSent("w"));
        CHECK(refused.lostLanes.empty());
    }
}

TEST_CASE("if the begin of a proof is refused, its rollback is answered too")
{
    ServerHomeFixture fixture;
    fixture.home.take({1, 1}, {ServerHomeFixture::Server, {}},
                      {ServerHomeFixture::command(ServerCommandKind::Begin),
                       ServerHomeFixture::command(ServerCommandKind::Rollback)},
                      {0, 20ms}, fixture.now);
    fixture.advanceTime(30ms);
    REQUIRE(fixture.replies.size() == 2);
    CHECK((fixture.replies[0].reply.fault == StatementFault::Busy));
    CHECK_FALSE(fixture.replies[1].reply.fault);
    CHECK((fixture.replies[1].reply.state == TransactionState::Idle));
}

TEST_CASE("proofs of position don't wait for a slot of a saturated primary")
{
    ServerHomeFixture fixture;
    fixture.askReads(12, {2, 150ms});
    REQUIRE(fixture.unanswered.size() == 4); // three slots, and one for the network delay
    fixture.home.take({2, 1}, {ServerHomeFixture::Server, {}},
                      {ServerHomeFixture::command(ServerCommandKind::Begin, "b"),
                       ServerHomeFixture::command(ServerCommandKind::Rollback, "r")},
                      {0, 100ms}, fixture.now);
    fixture.openAll();
    REQUIRE(fixture.wasSent("b"));
    fixture.answer("b", TransactionState::Open);
    fixture.answer("r");
    CHECK(fixture.unanswered.size() == 4); // statements still wait for a slot
    // The next proof uses the same connection.
    fixture.home.take({3, 1}, {ServerHomeFixture::Server, {}},
                      {ServerHomeFixture::command(ServerCommandKind::Begin, "b2"),
                       ServerHomeFixture::command(ServerCommandKind::Rollback, "r2")},
                      {0, 100ms}, fixture.now);
    CHECK(fixture.opening.empty());
    CHECK(fixture.wasSent("b2"));
}

TEST_CASE("questions for a commit don't wait for a slot of a saturated server")
{
    for (const ServerCommandKind kind :
         {ServerCommandKind::BeginReadOnly, ServerCommandKind::Status}) {
        CAPTURE(static_cast<int>(kind));
        ServerHomeFixture fixture;
        fixture.askReads(12, {2, 150ms});
        fixture.home.take({2, 1}, {ServerHomeFixture::Server, {}},
                          {ServerHomeFixture::command(kind, "b"),
                           ServerHomeFixture::command(ServerCommandKind::Rollback, "r")},
                          {0, 100ms}, fixture.now);
        fixture.openAll();
        CHECK(fixture.wasSent("b"));
    }
}

TEST_CASE("a transaction waits for a slot of a saturated primary before it begins")
{
    ServerHomeFixture fixture;
    fixture.askReads(12, {2, 150ms});
    fixture.ask(20, ServerHomeFixture::command(ServerCommandKind::Begin, "b"), {2, 50ms});
    fixture.openAll();
    CHECK_FALSE(fixture.wasSent("b"));
}

TEST_CASE("unused connections are closed")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::read("q"));
    fixture.openAll();
    fixture.answer("q");
    fixture.advanceTime(1s);
    CHECK(fixture.home.connectionCount() == 1);
    fixture.advanceTime(3s);
    CHECK(fixture.home.connectionCount() == 0);
}

TEST_CASE("commands for a lost lane are not run and don't create a lane")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::read("q1"));
    fixture.openAll();
    fixture.home.lost(fixture.connectionOf("q1"), Loss::Closed, fixture.now);
    fixture.home.take({1, 1}, {}, {ServerHomeFixture::command(ServerCommandKind::Write, "w")},
                      {0, 100ms}, fixture.now);
    CHECK_FALSE(fixture.wasSent("w"));
    REQUIRE(fixture.replies.size() == 1);
    CHECK((fixture.replies.front().reply.fault == StatementFault::Busy));
    CHECK(fixture.home.laneCount() == 0);
}

TEST_CASE("statements for an unreachable server are refused immediately, while it is probed")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::read("q1"));
    fixture.home.lost(fixture.opening.front(), Loss::Refused, fixture.now);
    fixture.opening.clear();
    CHECK(fixture.replies.size() == 1);
    fixture.ask(2, ServerHomeFixture::read("q2"));
    CHECK(fixture.replies.size() == 2);
    CHECK(fixture.opening.empty());
    fixture.advanceTime(310ms);
    REQUIRE(fixture.opening.size() == 1);
    fixture.openAll();
    fixture.ask(3, ServerHomeFixture::read("q3"));
    CHECK(fixture.wasSent("q3"));
}

TEST_CASE("a server is silent if it sends no reply at all, not if one reply is lost")
{
    struct Row
    {
        const char *what;
        bool answersOthers;
        std::size_t reportCount;
    };
    const Row rows[] = {{"other commands get replies", true, 0},
                        {"no command gets a reply", false, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ServerHomeFixture fixture;
        fixture.ask(1, ServerHomeFixture::read("lost"));
        fixture.openAll();
        for (int i = 0; i < 4; ++i) {
            const std::string request = "q" + std::to_string(i);
            if (row.answersOthers) {
                fixture.ask(2, ServerHomeFixture::read(request));
                fixture.openAll();
                fixture.answer(request);
            }
            fixture.advanceTime(100ms);
        }
        CHECK(fixture.evidence.size() == row.reportCount);
        for (const ServerEvidence evidence : fixture.evidence)
            CHECK((evidence == ServerEvidence::Silent));
    }
}

TEST_CASE("after a stall of its own process a home reports no server as silent")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::read("q1"));
    fixture.openAll();
    fixture.ask(2, ServerHomeFixture::read("q2"));
    fixture.ask(3, ServerHomeFixture::read("q3"));
    REQUIRE(fixture.opening.size() + fixture.unanswered.size() > 1);
    fixture.now += 2s; // without a tick in between
    fixture.home.tick(fixture.now);
    CHECK(fixture.evidence.empty());
    fixture.advanceTime(400ms);
    CHECK_FALSE(fixture.evidence.empty());
}

TEST_CASE("a busy server that delays new connections doesn't count as unreachable")
{
    ServerHomeFixture fixture;
    fixture.ask(1, ServerHomeFixture::read("q1"));
    fixture.openAll();
    fixture.ask(2, ServerHomeFixture::read("q2"), {1, 500ms});
    REQUIRE(fixture.opening.size() == 1);
    fixture.advanceTime(200ms);
    fixture.answer("q1");
    fixture.ask(3, ServerHomeFixture::read("q3"), {1, 500ms});
    fixture.advanceTime(200ms);
    CHECK(fixture.evidence.empty());
    CHECK(fixture.wasSent("q2"));
}

TEST_CASE("a server past its leave time gets only proofs and statements of open transactions")
{
    ServerHomeFixture fixture;
    fixture.home.setLeaveTime(6s);
    fixture.ask(1, ServerHomeFixture::command(ServerCommandKind::Begin, "b"));
    fixture.openAll();
    fixture.answer("b", TransactionState::Open);
    fixture.announceServer(fixture.now - 6s);
    fixture.ask(2, ServerHomeFixture::read("late"));
    CHECK_FALSE(fixture.wasSent("late"));
    REQUIRE(!fixture.replies.empty());
    CHECK((fixture.replies.back().reply.fault == StatementFault::Busy)); // it was not run
    fixture.ask(1, ServerHomeFixture::read("in_transaction"));
    CHECK(fixture.wasSent("in_transaction"));
    fixture.home.take({2, 1}, {ServerHomeFixture::Server, {}},
                      {ServerHomeFixture::command(ServerCommandKind::Begin, "proof"),
                       ServerHomeFixture::command(ServerCommandKind::Rollback)},
                      {1, 50ms}, fixture.now);
    fixture.openAll();
    CHECK(fixture.wasSent("proof"));
}

// Guards against a confirmation by a server that started again after a change had held it.
TEST_CASE("a lane is told that a reply came on a connection that isn't vouched for")
{
    ServerHomeFixture fixture;
    fixture.home.vouches().setTold(true);
    fixture.ask(1, ServerHomeFixture::read("q1"));
    fixture.openAll();
    fixture.answer("q1");
    CHECK_FALSE(fixture.replies.back().reply.isVouched);
    fixture.ask(1, ServerHomeFixture::read("q2"));
    fixture.home.vouches().learn({{}, fixture.now}, fixture.now + 1ms);
    fixture.answer("q2");
    CHECK_FALSE(fixture.replies.back().reply.isVouched); // it was sent before
    fixture.advanceTime(1ms);
    fixture.ask(1, ServerHomeFixture::read("q3"));
    fixture.answer("q3");
    CHECK(fixture.replies.back().reply.isVouched);
}
