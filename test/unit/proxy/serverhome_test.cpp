#include "nutmegtide/proxy/serverhome.h"

#include "unit/proxy/homerig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

TEST_CASE("many processes before few connections: a few connections serve many lanes")
{
    HomeRig rig;
    for (std::uint64_t lane = 1; lane <= 80; ++lane) {
        const std::string request = "q" + std::to_string(lane);
        rig.ask(lane, HomeRig::read(request));
        rig.openAll();
        REQUIRE(rig.wasSent(request));
        rig.answer(request);
        CHECK(rig.replies.back().lane == LaneKey {1, lane});
        CHECK(rig.replies.back().reply.detail == "proof");
    }
    CHECK(rig.home.connectionCount() == 1);
}

TEST_CASE("a server gets no more statements than it runs, and the rest waits or is refused")
{
    HomeRig rig;
    rig.askReads(6, {1, 30ms});
    CHECK(rig.unanswered.size() == 4); // three slots, and one on its way
    rig.answer("q1");
    CHECK(rig.wasSent("q5"));
    CHECK_FALSE(rig.wasSent("q6"));
    rig.pass(40ms);
    CHECK_FALSE(rig.wasSent("q6"));
    REQUIRE(rig.replies.size() == 2);
    CHECK(rig.replies.back().lane == LaneKey {1, 6});
    CHECK((rig.replies.back().reply.fault == StatementFault::Busy));
}

TEST_CASE("busy servers behind thin links: homes that share a server share its slots")
{
    struct Row
    {
        int homes;
        std::size_t sent;
    };
    const Row rows[] = {{1, 4}, {2, 2}, {3, 2}}; // of three slots, and one on its way
    for (const Row &row : rows) {
        CAPTURE(row.homes);
        HomeRig rig;
        rig.home.setHomeCounts({{HomeRig::Server, row.homes}});
        rig.askReads(8, {1, 500ms});
        CHECK(rig.unanswered.size() == row.sent);
    }
}

TEST_CASE("a transaction keeps one connection to its end, and nobody else uses it")
{
    HomeRig rig;
    rig.ask(1, HomeRig::command(ServerCommandKind::Begin, "b"));
    rig.openAll();
    rig.answer("b", TransactionState::Open);
    rig.ask(2, HomeRig::read("q"));
    rig.openAll();
    rig.answer("q");
    rig.ask(1, HomeRig::command(ServerCommandKind::Write, "w"));
    rig.answer("w", TransactionState::Open);
    rig.ask(1, HomeRig::command(ServerCommandKind::Commit, "c"));
    rig.answer("c");
    CHECK(rig.connectionOf("w") == rig.connectionOf("b"));
    CHECK(rig.connectionOf("c") == rig.connectionOf("b"));
    CHECK(rig.connectionOf("q") != rig.connectionOf("b"));
    CHECK(rig.home.connectionCount() == 2);
}

TEST_CASE("a lane's values and prepared statements are set on whatever connection it gets")
{
    HomeRig rig;
    ServerCommand set = HomeRig::command(ServerCommandKind::SetValue);
    set.name = "lang";
    set.argument = "es";
    ServerCommand prepare = HomeRig::command(ServerCommandKind::Prepare);
    prepare.name = "r_q2c";
    prepare.argument = "q2c";
    ServerCommand execute = HomeRig::command(ServerCommandKind::Execute, "e");
    execute.name = "r_q2c";
    rig.ask(1, set);
    rig.ask(1, prepare);
    CHECK(rig.replies.size() == 2); // needs no server
    CHECK(rig.sent.empty());
    rig.ask(1, execute);
    rig.openAll();
    rig.answer("e");
    rig.ask(2, HomeRig::read("q")); // a lane without values
    rig.answer("q");
    rig.ask(1, HomeRig::read("q2"));
    std::vector<ServerCommandKind> kinds;
    for (const HomeRig::Sent &one : rig.sent)
        kinds.push_back(one.command.kind);
    using Kind = ServerCommandKind;
    CHECK(kinds
          == std::vector<Kind> {Kind::SetValue, Kind::Prepare, Kind::Execute, Kind::Reset,
                                Kind::Read, Kind::SetValue, Kind::Read});
    CHECK(rig.home.connectionCount() == 1);
}

TEST_CASE("what ends with a lane")
{
    enum class When { Waiting, Running, InTransaction, Idle };
    struct Row
    {
        When when;
        std::size_t closed; // connections
    };
    const Row rows[] = {
            {When::Waiting, 0},
            {When::Running, 1}, // nobody takes the answer
            {When::InTransaction, 1}, // the server rolls back
            {When::Idle, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(static_cast<int>(row.when));
        HomeRig rig;
        const bool isBegun = row.when == When::InTransaction;
        rig.ask(1, isBegun ? HomeRig::command(ServerCommandKind::Begin, "q") : HomeRig::read("q"));
        if (row.when != When::Waiting)
            rig.openAll();
        if (isBegun || row.when == When::Idle)
            rig.answer("q", isBegun ? TransactionState::Open : TransactionState::Idle);
        // A planned stop waits for what is under way, not for lanes that rest.
        CHECK(rig.home.isInUse() == (row.when != When::Idle));
        if (row.when == When::Running)
            rig.home.linkLost(1, rig.now);
        else
            rig.home.closeLane({1, 1}, rig.now);
        CHECK(rig.closed.size() == row.closed);
        CHECK(rig.home.laneCount() == 0);
        CHECK_FALSE(rig.home.isInUse());
        // The slot and the connection are there for others.
        rig.ask(2, HomeRig::read("after"));
        rig.openAll();
        CHECK(rig.wasSent("after"));
    }
}

TEST_CASE("a lost connection ends its lane; a statement that wasn't sent is answered as not run")
{
    HomeRig rig;
    rig.ask(1, HomeRig::read("q1"));
    rig.openAll();
    rig.home.lost(rig.connectionOf("q1"), Loss::Closed, rig.now);
    CHECK(rig.lostLanes == std::vector<LaneKey> {{1, 1}});
    struct Row
    {
        const char *what;
        std::optional<StatementFault> refusal;
        std::optional<Loss> loss;
        std::vector<ServerEvidence> evidence;
        bool isAnsweredAtOnce;
    };
    const Row rows[] = {
            {"nobody listens", {}, Loss::Refused, {ServerEvidence::Refuses}, true},
            {"it doesn't answer", {}, Loss::Silent, {ServerEvidence::Silent}, true},
            {"another server", StatementFault::Misrouted, {}, {ServerEvidence::Elsewhere}, true},
            {"no connection is left", StatementFault::TooManyConnections, {}, {}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        HomeRig refused;
        refused.ask(1, HomeRig::command(ServerCommandKind::Write, "w"));
        const ConnectionKey key = refused.opening.front();
        if (row.refusal)
            refused.home.refused(key, *row.refusal, refused.now);
        else
            refused.home.lost(key, *row.loss, refused.now);
        CHECK(refused.evidence == row.evidence);
        CHECK(refused.replies.size() == (row.isAnsweredAtOnce ? 1U : 0U));
        refused.pass(100ms);
        REQUIRE(refused.replies.size() == 1);
        CHECK((refused.replies.front().reply.fault == StatementFault::Busy));
        CHECK_FALSE(refused.wasSent("w"));
        CHECK(refused.lostLanes.empty());
    }
}

TEST_CASE("a proof that can't be asked for is refused as a whole")
{
    HomeRig rig;
    rig.home.take({1, 1}, HomeRig::Server,
                  {HomeRig::command(ServerCommandKind::Begin),
                   HomeRig::command(ServerCommandKind::Rollback)},
                  {0, 20ms}, rig.now);
    rig.pass(30ms);
    REQUIRE(rig.replies.size() == 2);
    CHECK((rig.replies[0].reply.fault == StatementFault::Busy));
    CHECK_FALSE(rig.replies[1].reply.fault);
    CHECK((rig.replies[1].reply.state == TransactionState::Idle));
}

TEST_CASE("a saturated primary: a proof needs no slot, so it waits for none")
{
    HomeRig rig;
    rig.askReads(12, {2, 150ms});
    REQUIRE(rig.unanswered.size() == 4); // all slots, and one on its way
    rig.home.take({2, 1}, HomeRig::Server,
                  {HomeRig::command(ServerCommandKind::Begin, "b"),
                   HomeRig::command(ServerCommandKind::Rollback, "r")},
                  {0, 100ms}, rig.now);
    rig.openAll();
    REQUIRE(rig.wasSent("b"));
    rig.answer("b", TransactionState::Open);
    rig.answer("r");
    CHECK(rig.unanswered.size() == 4); // what waits for a slot still does
    // The next one finds the connection that this one leaves.
    rig.home.take({3, 1}, HomeRig::Server,
                  {HomeRig::command(ServerCommandKind::Begin, "b2"),
                   HomeRig::command(ServerCommandKind::Rollback, "r2")},
                  {0, 100ms}, rig.now);
    CHECK(rig.opening.empty());
    CHECK(rig.wasSent("b2"));
}

TEST_CASE("a saturated primary: a transaction waits for a slot before it begins")
{
    HomeRig rig;
    rig.askReads(12, {2, 150ms});
    rig.ask(20, HomeRig::command(ServerCommandKind::Begin, "b"), {2, 50ms});
    rig.openAll();
    CHECK_FALSE(rig.wasSent("b"));
}

TEST_CASE("connections that no lane needs are given back")
{
    HomeRig rig;
    rig.ask(1, HomeRig::read("q"));
    rig.openAll();
    rig.answer("q");
    rig.pass(1s);
    CHECK(rig.home.connectionCount() == 1);
    rig.pass(3s);
    CHECK(rig.home.connectionCount() == 0);
}

TEST_CASE("commands for a lane that was lost meanwhile are not run, and leave nothing behind")
{
    HomeRig rig;
    rig.ask(1, HomeRig::read("q1"));
    rig.openAll();
    rig.home.lost(rig.connectionOf("q1"), Loss::Closed, rig.now);
    rig.home.take({1, 1}, ServerId(), {HomeRig::command(ServerCommandKind::Write, "w")}, {0, 100ms},
                  rig.now);
    CHECK_FALSE(rig.wasSent("w"));
    REQUIRE(rig.replies.size() == 1);
    CHECK((rig.replies.front().reply.fault == StatementFault::Busy));
    CHECK(rig.home.laneCount() == 0);
}

TEST_CASE("a server that can't be reached: who comes is refused at once, and it is looked for")
{
    HomeRig rig;
    rig.ask(1, HomeRig::read("q1"));
    rig.home.lost(rig.opening.front(), Loss::Refused, rig.now);
    rig.opening.clear();
    CHECK(rig.replies.size() == 1);
    rig.ask(2, HomeRig::read("q2"));
    CHECK(rig.replies.size() == 2);
    CHECK(rig.opening.empty());
    rig.pass(310ms);
    REQUIRE(rig.opening.size() == 1);
    rig.openAll();
    rig.ask(3, HomeRig::read("q3"));
    CHECK(rig.wasSent("q3"));
}

TEST_CASE("a lost answer among others is no silence; no answer at all is")
{
    struct Row
    {
        const char *what;
        bool answersOthers;
        std::size_t told;
    };
    const Row rows[] = {{"others are answered", true, 0}, {"nobody is", false, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.what);
        HomeRig rig;
        rig.ask(1, HomeRig::read("lost"));
        rig.openAll();
        for (int i = 0; i < 4; ++i) {
            const std::string request = "q" + std::to_string(i);
            if (row.answersOthers) {
                rig.ask(2, HomeRig::read(request));
                rig.openAll();
                rig.answer(request);
            }
            rig.pass(100ms);
        }
        CHECK(rig.evidence.size() == row.told);
        for (const ServerEvidence evidence : rig.evidence)
            CHECK((evidence == ServerEvidence::Silent));
    }
}

TEST_CASE("a home that stood still itself takes no server for silent")
{
    HomeRig rig;
    rig.ask(1, HomeRig::read("q1"));
    rig.openAll();
    rig.ask(2, HomeRig::read("q2"));
    rig.ask(3, HomeRig::read("q3"));
    REQUIRE(rig.opening.size() + rig.unanswered.size() > 1);
    rig.now += 2s; // no tick in between
    rig.home.tick(rig.now);
    CHECK(rig.evidence.empty());
    rig.pass(400ms);
    CHECK_FALSE(rig.evidence.empty());
}

TEST_CASE("a busy server that lets new connections wait is not taken for unreachable")
{
    HomeRig rig;
    rig.ask(1, HomeRig::read("q1"));
    rig.openAll();
    rig.ask(2, HomeRig::read("q2"), {1, 500ms});
    REQUIRE(rig.opening.size() == 1);
    rig.pass(200ms);
    rig.answer("q1");
    rig.ask(3, HomeRig::read("q3"), {1, 500ms});
    rig.pass(200ms);
    CHECK(rig.evidence.empty());
    CHECK(rig.wasSent("q2"));
}

TEST_CASE("a server whose time to leave is over: only proofs and open transactions go on")
{
    HomeRig rig;
    rig.home.setLeaveTime(6s);
    rig.ask(1, HomeRig::command(ServerCommandKind::Begin, "b"));
    rig.openAll();
    rig.answer("b", TransactionState::Open);
    rig.tellServer(rig.now - 6s);
    rig.ask(2, HomeRig::read("late"));
    CHECK_FALSE(rig.wasSent("late"));
    REQUIRE(!rig.replies.empty());
    CHECK((rig.replies.back().reply.fault == StatementFault::Busy)); // it has not run
    rig.ask(1, HomeRig::read("in_transaction"));
    CHECK(rig.wasSent("in_transaction"));
    rig.home.take({2, 1}, HomeRig::Server,
                  {HomeRig::command(ServerCommandKind::Begin, "proof"),
                   HomeRig::command(ServerCommandKind::Rollback)},
                  {1, 50ms}, rig.now);
    rig.openAll();
    CHECK(rig.wasSent("proof"));
}
