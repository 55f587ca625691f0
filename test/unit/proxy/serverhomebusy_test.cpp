// Busy refusals of a server at its home.
#include "unit/proxy/serverhomefixture.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// A home of a balanced service's server.
struct BalancedHome : ServerHomeFixture
{
    BalancedHome() { home.setBalancedServices({ServiceName("db")}); }

    int timesSent(const std::string &request) const
    {
        return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](const Sent &one) {
            return one.command.request.text() == request;
        }));
    }
    void refuse(const std::string &request, TransactionState state = TransactionState::Idle)
    {
        answer(request, state, StatementFault::Busy);
    }
};

} // namespace

// Guards against refusals that cost a way back to the entry VM, a pause there and a place in the
// queue, while a slot is free within milliseconds.
TEST_CASE("a statement that the server refused as busy is sent again and answered once")
{
    BalancedHome home;
    home.askReads(2, {1, 50ms});
    home.refuse("q1");
    CHECK(home.replies.empty());
    home.answer("q2");
    home.advanceTime(10ms);
    CHECK(home.timesSent("q1") == 2);
    CHECK(home.connectionOf("q1") != 0);
    home.answer("q1");
    REQUIRE(home.replies.size() == 2);
    CHECK_FALSE(home.replies.back().reply.fault);
    CHECK(home.home.resentCount() == 1);
}

TEST_CASE("the statement that is sent again goes before the others that wait")
{
    BalancedHome home;
    home.askReads(6, {1, 500ms}); // three slots, and one for the network delay
    CHECK(home.unanswered.size() == 4);
    home.refuse("q2");
    home.answer("q1");
    CHECK(home.timesSent("q2") == 2);
}

// Guards against a refusal that comes after the caller's time, and against one that is never told.
TEST_CASE("a statement that the server refuses all along is refused at the end of its wait")
{
    BalancedHome home;
    home.ask(1, ServerHomeFixture::read("q"), {1, 40ms});
    home.openAll();
    const TimePoint until = home.now + 50ms;
    while (home.now < until) {
        if (!home.unanswered.empty())
            home.refuse("q");
        home.advanceTime(1ms);
    }
    REQUIRE(home.replies.size() == 1);
    CHECK((home.replies.back().reply.fault == StatementFault::Busy));
    CHECK(home.timesSent("q") > 1);
    CHECK(home.unanswered.empty());
}

TEST_CASE("a write in a transaction is sent again on its connection, unless the transaction failed")
{
    struct Row
    {
        TransactionState state; // of the refusal
        int sent;
    };
    const Row rows[] = {{TransactionState::Open, 2}, {TransactionState::Failed, 1}};
    for (const Row &row : rows) {
        BalancedHome home;
        home.ask(1, ServerHomeFixture::command(ServerCommandKind::Begin, "b"));
        home.openAll();
        home.answer("b", TransactionState::Open);
        home.ask(1, ServerHomeFixture::command(ServerCommandKind::Write, "w"));
        home.refuse("w", row.state);
        home.advanceTime(10ms);
        CHECK(home.timesSent("w") == row.sent);
        CHECK(home.home.connectionCount() == 1);
    }
}

// Guards against a change for deployments that don't ask for it.
TEST_CASE("the refusal of a server whose service isn't balanced is passed on at once")
{
    ServerHomeFixture home;
    home.ask(1, ServerHomeFixture::read("q"));
    home.openAll();
    home.answer("q", TransactionState::Idle, StatementFault::Busy);
    REQUIRE(home.replies.size() == 1);
    CHECK((home.replies.back().reply.fault == StatementFault::Busy));
}

TEST_CASE("a lane that closes while its statement waits to be sent again takes nothing with it")
{
    BalancedHome home;
    home.askReads(2, {1, 50ms});
    home.refuse("q1");
    home.home.closeLane({1, 1}, home.now);
    home.answer("q2");
    home.advanceTime(20ms);
    CHECK(home.timesSent("q1") == 1);
    CHECK(home.home.laneCount() == 1);
}

// Guards against statements that wait for the next tick, up to 50 ms, though the pause after a busy
// refusal is over within a few: a tick while nothing was queued forgot when the pause ends.
TEST_CASE("a statement that arrives during the pause after a refusal starts when the pause ends")
{
    BalancedHome home;
    home.ask(1, ServerHomeFixture::read("q1"), {1, 2ms});
    home.openAll();
    home.refuse("q1"); // too late to be sent again
    home.advanceTime(3ms);
    home.ask(2, ServerHomeFixture::read("q2"), {1, 150ms});
    CHECK_FALSE(home.wasSent("q2"));
    home.advanceTime(5ms);
    CHECK(home.wasSent("q2"));
}

// Guards against new work for a leaving server that is only a statement it has refused before.
TEST_CASE("a refused statement isn't sent again after the server's leave time")
{
    BalancedHome home;
    home.home.setLeaveTime(10ms);
    home.ask(1, ServerHomeFixture::read("q"), {1, 100ms});
    home.openAll();
    home.announceServer(home.now);
    home.advanceTime(20ms);
    home.refuse("q");
    home.advanceTime(50ms);
    CHECK(home.timesSent("q") == 1);
    REQUIRE(home.replies.size() == 1);
    CHECK((home.replies.back().reply.fault == StatementFault::Busy));
}

// Guards against homes that keep the text of each lane's latest statement, of up to 1 MiB, for as
// long as the lane lives.
TEST_CASE("a home holds the text of a statement only until it is answered")
{
    BalancedHome balanced;
    ServerHomeFixture plain;
    for (ServerHomeFixture *home : {static_cast<ServerHomeFixture *>(&balanced), &plain}) {
        ServerCommand read = ServerHomeFixture::read("q");
        read.argument = std::string(1'000, 'x');
        home->ask(1, read);
        CHECK(home->home.heldBytes() >= 1'000);
        home->openAll();
        home->answer("q");
        CHECK(home->home.heldBytes() == 0);
    }
}
