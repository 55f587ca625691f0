#include "nutmegtide/proxy/commitconfirmations.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServerId Primary("p");
const ServerId Replica("r1");
const ServerId OtherReplica("r2");
const ServerId Unrecorded("n");
const TimePoint Start {100s};
constexpr SessionKey Caller = 7;

CommitConfirmations confirmations()
{
    CommitConfirmations commits;
    commits.setRecorded({Primary, Replica, OtherReplica});
    return commits;
}

} // namespace

TEST_CASE("only a recorded server other than the primary confirms, by a position of the same term")
{
    struct Row
    {
        const char *name;
        ServerId server;
        LogPosition held;
        bool isConfirmed;
    };
    const Row rows[] = {
            {"the same position", Replica, {3, 20}, true},
            {"a higher position", Replica, {3, 25}, true},
            {"a lower position", Replica, {3, 19}, false},
            {"a later term", Replica, {4, 30}, false},
            {"an earlier term", Replica, {2, 30}, false},
            {"a server that isn't recorded", Unrecorded, {3, 25}, false},
            {"the primary that acknowledged it", Primary, {3, 25}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CommitConfirmations commits = confirmations();
        commits.add(Caller, {{3, 20}, Primary, Start});
        const bool isConfirmed = !commits.noteHeld(row.server, row.held).empty();
        CHECK(isConfirmed == row.isConfirmed);
        CHECK(commits.isWaiting() != row.isConfirmed);
    }
}

TEST_CASE("a commit of a primary that isn't recorded needs two recorded replicas")
{
    CommitConfirmations commits = confirmations();
    commits.add(Caller, {{3, 20}, Unrecorded, Start});
    CHECK(commits.noteHeld(Replica, {3, 20}).empty());
    CHECK(commits.noteHeld(Replica, {3, 21}).empty());
    CHECK(commits.noteHeld(OtherReplica, {3, 20}) == std::vector<SessionKey> {Caller});
}

TEST_CASE("a commit whose acknowledgement doesn't count needs two replicas, or the primary's word")
{
    CommitConfirmations commits = confirmations();
    const UnconfirmedCommit commit {{3, 20}, Primary, Start, false};
    commits.add(Caller, commit);
    CHECK(commits.noteHeld(Replica, {3, 20}).empty());
    CHECK(commits.isHolder(Replica));
    CHECK_FALSE(commits.isHolder(Primary));
    const auto question = commits.next({Replica, Primary, OtherReplica}, Start);
    REQUIRE(question);
    CHECK(question->server == Primary);
    CHECK(commits.noteHeld(Primary, {3, 20}) == std::vector<SessionKey> {Caller});
    commits.confirmed();
    commits.add(Caller, commit);
    CHECK(commits.noteHeld(Replica, {3, 20}).empty());
    CHECK(commits.noteHeld(OtherReplica, {3, 20}) == std::vector<SessionKey> {Caller});
}

TEST_CASE("a server whose answer doesn't count is asked again after the others")
{
    CommitConfirmations commits = confirmations();
    commits.add(Caller, {{3, 20}, Primary, Start});
    CHECK(commits.next({Replica, OtherReplica}, Start)->server == Replica);
    commits.missed(ConfirmationMiss::Unvouched, Start);
    CHECK(commits.unvouchedServers() == std::set<ServerId> {Replica});
    CHECK(commits.next({Replica, OtherReplica}, Start)->server == OtherReplica);
    commits.missed(ConfirmationMiss::Unvouched, Start);
    CHECK_FALSE(commits.next({Replica, OtherReplica}, Start));
    CHECK(commits.next({Replica, OtherReplica}, Start + 20ms)->server == Replica);
    CHECK(commits.noteHeld(Replica, {3, 20}) == std::vector<SessionKey> {Caller});
    CHECK(commits.unvouchedServers() == std::set<ServerId> {OtherReplica});
}

TEST_CASE("a server that is recorded later counts from then on")
{
    CommitConfirmations commits = confirmations();
    commits.add(Caller, {{3, 20}, Primary, Start});
    CHECK(commits.noteHeld(Unrecorded, {3, 20}).empty());
    commits.setRecorded({Primary, Unrecorded});
    CHECK(commits.noteHeld(Unrecorded, {3, 20}) == std::vector<SessionKey> {Caller});
}

TEST_CASE("one question at a time asks for the highest commit of the oldest one's term")
{
    CommitConfirmations commits = confirmations();
    CHECK_FALSE(commits.next({Replica}, Start));
    commits.add(1, {{3, 20}, Primary, Start});
    commits.add(2, {{3, 22}, Primary, Start + 1ms});
    commits.add(3, {{4, 5}, OtherReplica, Start + 2ms});
    const auto first = commits.next({Replica, OtherReplica}, Start + 2ms);
    REQUIRE(first);
    CHECK(first->position == LogPosition {3, 22});
    CHECK_FALSE(commits.next({Replica, OtherReplica}, Start + 3ms));
    commits.confirmed();
    CHECK(commits.noteHeld(first->server, first->position) == std::vector<SessionKey> {1, 2});
    const auto second = commits.next({OtherReplica, Replica}, Start + 3ms);
    REQUIRE(second);
    CHECK(second->position == LogPosition {4, 5});
    CHECK(second->server == Replica); // the other one acknowledged it
}

TEST_CASE("a question that isn't confirmed is asked again after a pause, at another server")
{
    struct Row
    {
        ConfirmationMiss miss;
        Duration pause;
    };
    const Row rows[] = {{ConfirmationMiss::Lags, 4ms}, {ConfirmationMiss::Failed, 20ms}};
    for (const Row &row : rows) {
        CAPTURE(row.pause.count());
        CommitConfirmations commits = confirmations();
        commits.add(Caller, {{3, 20}, Primary, Start});
        const std::vector<ServerId> askable {Primary, Unrecorded, Replica, OtherReplica};
        CHECK(commits.next(askable, Start)->server == Replica);
        commits.missed(row.miss, Start);
        CHECK_FALSE(commits.next(askable, Start + row.pause - 1ms));
        CHECK(commits.dueAt() == Start + row.pause);
        CHECK(commits.next(askable, Start + row.pause)->server == OtherReplica);
        commits.missed(row.miss, Start + row.pause);
        CHECK(commits.next(askable, Start + 2 * row.pause)->server == Replica);
    }
}

TEST_CASE("a question is overdue after its time, and none is due without a commit that waits")
{
    CommitConfirmations commits = confirmations();
    CHECK_FALSE(commits.dueAt());
    commits.add(Caller, {{3, 20}, Primary, Start});
    CHECK(commits.next({Replica}, Start));
    CHECK_FALSE(commits.isOverdue(Start + 149ms));
    CHECK(commits.isOverdue(Start + 150ms));
    commits.missed(ConfirmationMiss::Failed, Start + 150ms);
    commits.remove(Caller);
    CHECK_FALSE(commits.dueAt());
    CHECK_FALSE(commits.waitingSince());
}

TEST_CASE("servers that lag are asked for their status once a commit has waited for long")
{
    struct Row
    {
        ConfirmationMiss miss;
        Duration waited;
        QuestionKind asked;
    };
    const Row rows[] = {{ConfirmationMiss::Lags, 39ms, QuestionKind::Applied},
                        {ConfirmationMiss::Lags, 40ms, QuestionKind::Received},
                        {ConfirmationMiss::Failed, 40ms, QuestionKind::Applied}};
    for (const Row &row : rows) {
        CAPTURE(row.waited.count());
        CommitConfirmations commits = confirmations();
        commits.add(Caller, {{3, 20}, Primary, Start});
        CHECK(commits.next({Replica}, Start)->kind == QuestionKind::Applied);
        commits.missed(row.miss, Start);
        const auto second = commits.next({Replica}, Start + row.waited);
        REQUIRE(second);
        CHECK(second->kind == row.asked);
    }
}

TEST_CASE(
        "after a status that doesn't confirm there is a longer pause, and after one that does none")
{
    CommitConfirmations commits = confirmations();
    commits.add(1, {{3, 20}, Primary, Start});
    commits.next({Replica}, Start);
    commits.missed(ConfirmationMiss::Lags, Start);
    REQUIRE(commits.next({Replica}, Start + 40ms)->kind == QuestionKind::Received);
    commits.missed(ConfirmationMiss::Lags, Start + 41ms);
    CHECK(commits.dueAt() == Start + 66ms);
    REQUIRE(commits.next({Replica}, Start + 66ms));
    commits.add(2, {{3, 21}, Primary, Start + 66ms});
    CHECK(commits.noteHeld(Replica, {3, 20}) == std::vector<SessionKey> {1});
    commits.confirmed();
    const auto next = commits.next({Replica}, Start + 67ms);
    REQUIRE(next);
    CHECK(next->kind == QuestionKind::Applied);
}

// Guards against commits that wait until a replica has applied what it received long ago.
TEST_CASE("with status first, no commit waits for a replica to apply it")
{
    struct Row
    {
        const char *name;
        ConfirmationMiss miss;
        std::vector<ServerId> askable;
        Duration pause; // until the next question
        ServerId next;
        QuestionKind kind;
    };
    const Row rows[] = {
            {"another replica has it",
             ConfirmationMiss::Lags,
             {Replica, OtherReplica},
             0ms,
             OtherReplica,
             QuestionKind::Received},
            {"there is no other one",
             ConfirmationMiss::Lags,
             {Replica},
             25ms,
             Replica,
             QuestionKind::Received},
            {"the replica has no free slot",
             ConfirmationMiss::Failed,
             {Replica},
             4ms,
             Replica,
             QuestionKind::Applied},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CommitConfirmations commits = confirmations();
        commits.setAsksReceivedFirst(true);
        commits.add(Caller, {{3, 20}, Primary, Start});
        const auto first = commits.next(row.askable, Start);
        REQUIRE(first);
        CHECK(first->kind == QuestionKind::Received);
        commits.missed(row.miss, Start + 1ms);
        CHECK(commits.dueAt() == Start + 1ms + row.pause);
        const auto second = commits.next(row.askable, Start + 1ms + row.pause);
        REQUIRE(second);
        CHECK(second->server == row.next);
        CHECK(second->kind == row.kind);
    }
}

// Guards against repeated statuses, which take slots, at servers that don't have the commit yet.
TEST_CASE("with status first, all servers that miss a commit are left alone for a while")
{
    CommitConfirmations commits = confirmations();
    commits.setAsksReceivedFirst(true);
    commits.add(Caller, {{3, 20}, Primary, Start});
    const std::vector<ServerId> askable {Replica, OtherReplica};
    commits.next(askable, Start);
    commits.missed(ConfirmationMiss::Lags, Start + 1ms);
    commits.next(askable, Start + 1ms);
    commits.missed(ConfirmationMiss::Lags, Start + 2ms);
    CHECK(commits.dueAt() == Start + 27ms);
}
