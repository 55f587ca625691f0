#include "standin/state.h"

#include "standin/errors.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <unistd.h>

using namespace nutmegtide;
using namespace nutmegtide::standin;

namespace {

const TimePoint Start = TimePoint(1h);
const Endpoint PrimaryAddress = {"127.0.0.1", 1};
const Endpoint OtherAddress = {"127.0.0.1", 2};

ExecuteRequest request(Term term, const std::string &id, const std::string &statement,
                       Json parameters, Access access = Access::Write)
{
    return {term,         RequestId(id), CallerId("caller"),   access,
            std::nullopt, statement,     std::move(parameters)};
}

ExecuteRequest put(Term term, const std::string &id, int value)
{
    return request(term, id, "put", {{"key", "k"}, {"value", value}});
}

ExecuteRequest inTransaction(const std::string &id, const std::string &statement, Json parameters)
{
    ExecuteRequest message = request(1, id, statement, std::move(parameters));
    message.transaction = TransactionId("t");
    return message;
}

Json valueOf(StandinState &state, Term term, TimePoint now = Start)
{
    const ExecuteRequest get = request(term, "get", "get", {{"key", "k"}}, Access::Read);
    return state.execute(get, 1, now).result.at("value");
}

// Returns the type of the refusal, or "none".
template <typename Call>
std::string refusalOf(Call call)
{
    try {
        call();
    } catch (const RefusalError &error) {
        return error.refusal().type;
    }
    return "none";
}

// Pulls until the replica has looked at the whole log of its primary.
void replicate(StandinState &primary, StandinState &replica, TimePoint now = Start)
{
    constexpr int Rounds = 20;
    for (int round = 0; round < Rounds; ++round) {
        const std::optional<ReplicationSource> source = replica.source();
        if (source)
            replica.receive(*source, primary.feed(replica.probe().index, 0ms), now);
    }
}

struct Pair
{
    Pair()
    {
        primary.startAsPrimary(Start);
        replica.startAsReplica(PrimaryAddress);
    }

    StandinState primary = StandinState(nullptr, {}, ServerState::Ready);
    StandinState replica = StandinState(nullptr, {}, ServerState::Joining);
};

} // namespace

TEST_CASE("a request is refused before execution")
{
    struct Row
    {
        const char *type;
        bool isAtPrimary;
        ExecuteRequest message;
    };
    const Row rows[] = {
            {"stale_term", true, put(0, "new", 1)},
            {"stale_term", true, put(2, "new", 1)},
            {"stale_term", false, put(2, "new", 1)},
            {"not_primary", false, put(1, "new", 1)},
            {"not_primary", false, inTransaction("new", "begin", Json::object())},
            {"key_reused", true, put(1, "first", 2)},
            {"no_transaction", true, inTransaction("new", "get", {{"key", "k"}})},
            {"no_transaction", true, inTransaction("new", "commit", Json::object())},
            {"no_transaction", true, request(1, "new", "commit", Json::object())},
            {"rejected", true, request(1, "new", "begin", Json::object())},
            {"rejected", true, request(1, "new", "put", {{"key", "k"}, {"value", 1}}, Access::Read)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.type);
        CAPTURE(row.message.statement);
        Pair pair;
        pair.primary.execute(put(1, "first", 1), 1, Start);
        replicate(pair.primary, pair.replica);
        StandinState &state = row.isAtPrimary ? pair.primary : pair.replica;
        CHECK(refusalOf([&] { state.execute(row.message, 1, Start); }) == row.type);
        CHECK(state.log().size() == 2);
        CHECK(valueOf(state, 1) == 1);
    }
}

TEST_CASE("a repeated request gets its first result, also after a change of primary")
{
    Pair pair;
    const ExecuteRequest add = request(1, "r", "add", {{"key", "k"}, {"amount", 5}});
    const ExecuteReply first = pair.primary.execute(add, 1, Start);
    pair.primary.execute(put(1, "other", 9), 1, Start);
    replicate(pair.primary, pair.replica);
    const ExecuteReply again = pair.primary.execute(add, 2, Start);
    CHECK_FALSE(first.isReplay);
    CHECK(again.isReplay);
    CHECK(again.result == first.result);
    CHECK(again.position == first.position);

    CHECK(pair.replica.requestFate(CallerId("caller"), RequestId("r")).ran);
    CHECK_FALSE(pair.replica.requestFate(CallerId("another"), RequestId("r")).ran);
    pair.replica.fence({2}, Start);
    pair.replica.promote({2, {}}, Start);
    ExecuteRequest resent = add;
    resent.term = 2;
    CHECK(pair.replica.execute(resent, 1, Start).isReplay);
    CHECK(valueOf(pair.replica, 2) == 9);
}

TEST_CASE("an entry is durable on receipt and applied after the lag")
{
    Pair pair;
    pair.replica.setDelays({100ms, 0ms, false});
    const LogPosition written = pair.primary.execute(put(1, "r", 1), 1, Start).position;
    replicate(pair.primary, pair.replica);
    CHECK(pair.replica.position(Start + 99ms).durable == written);
    CHECK(pair.replica.position(Start + 99ms).last == LogPosition());
    CHECK(valueOf(pair.replica, 1, Start + 99ms) == Json());
    CHECK(pair.replica.position(Start + 100ms).last == written);
    CHECK(valueOf(pair.replica, 1, Start + 100ms) == 1);

    pair.replica.setDelays({0ms, 0ms, true});
    pair.primary.execute(put(1, "r2", 2), 1, Start);
    replicate(pair.primary, pair.replica);
    CHECK(valueOf(pair.replica, 1, Start + 1h) == 1);
    CHECK(pair.replica.requestFate(CallerId("caller"), RequestId("r2")).ran);
}

TEST_CASE("a joining server is ready once it holds the primary's log")
{
    Pair pair;
    Announcement announcement;
    pair.replica.describe(announcement, Start);
    CHECK(announcement.state == ServerState::Joining);
    replicate(pair.primary, pair.replica);
    pair.replica.describe(announcement, Start);
    CHECK(announcement.state == ServerState::Ready);
}

TEST_CASE("a transaction becomes one entry at its commit")
{
    Pair pair;
    const ExecuteRequest commit = inTransaction("commit", "commit", Json::object());
    pair.primary.execute(inTransaction("1", "begin", Json::object()), 1, Start);
    pair.primary.execute(inTransaction("2", "put", {{"key", "k"}, {"value", 3}}), 1, Start);
    const ExecuteRequest get = inTransaction("3", "get", {{"key", "k"}});
    CHECK(pair.primary.execute(get, 1, Start).result.at("value") == 3);
    CHECK(valueOf(pair.primary, 1) == Json());
    CHECK(refusalOf([&] { pair.primary.execute(commit, 2, Start); }) == "no_transaction");

    const ExecuteReply committed = pair.primary.execute(commit, 1, Start);
    CHECK(committed.position == LogPosition {1, 2});
    CHECK(pair.primary.log().size() == 2);
    CHECK(valueOf(pair.primary, 1) == 3);
    CHECK(pair.primary.execute(commit, 2, Start).isReplay);
}

TEST_CASE("an abandoned transaction leaves nothing")
{
    struct Row
    {
        const char *name;
        void (*abandon)(StandinState &state);
        const char *refusal; // of the commit that follows
    };
    const Row rows[] = {
            {"connection closed", [](StandinState &state) { state.rollBackTransactionsOf(1); },
             "no_transaction"},
            {"rolled back",
             [](StandinState &state) {
                 state.execute(inTransaction("3", "rollback", Json::object()), 1, Start);
             },
             "no_transaction"},
            {"fenced", [](StandinState &state) { state.fence({2}, Start); }, "stale_term"},
            {"read value changed",
             [](StandinState &state) { state.execute(put(1, "4", 8), 1, Start); }, "rejected"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Pair pair;
        pair.primary.execute(inTransaction("1", "begin", Json::object()), 1, Start);
        const ExecuteRequest add = inTransaction("2", "add", {{"key", "k"}, {"amount", 3}});
        pair.primary.execute(add, 1, Start);
        row.abandon(pair.primary);
        const std::size_t entries = pair.primary.log().size();
        const ExecuteRequest commit = inTransaction("5", "commit", Json::object());
        CHECK(refusalOf([&] { pair.primary.execute(commit, 1, Start); }) == row.refusal);
        CHECK(pair.primary.log().size() == entries);
    }
}

TEST_CASE("fence, promote and follow keep one primary in a term")
{
    struct Row
    {
        const char *name;
        void (*call)(StandinState &state);
        const char *atPrimary;
        const char *atReplica;
        const char *atFenced; // at term 2
    };
    const Row rows[] = {
            {"fence 0", [](StandinState &state) { state.fence({0}, Start); }, "stale_term",
             "stale_term", "stale_term"},
            {"fence 1", [](StandinState &state) { state.fence({1}, Start); }, "none", "none",
             "stale_term"},
            {"fence 2", [](StandinState &state) { state.fence({2}, Start); }, "none", "none",
             "none"},
            {"promote 1",
             [](StandinState &state) {
                 state.promote({1, {}}, Start);
             },
             "none", "stale_term", "stale_term"},
            {"promote 2",
             [](StandinState &state) {
                 state.promote({2, {}}, Start);
             },
             "none", "none", "none"},
            {"follow 1",
             [](StandinState &state) {
                 state.follow({1, OtherAddress, {}}, Start);
             },
             "stale_term", "none", "stale_term"},
            {"follow 2",
             [](StandinState &state) {
                 state.follow({2, OtherAddress, {}}, Start);
             },
             "none", "none", "none"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Pair pair;
        Pair fenced;
        fenced.primary.fence({2}, Start);
        CHECK(refusalOf([&] { row.call(pair.primary); }) == row.atPrimary);
        CHECK(refusalOf([&] { row.call(pair.replica); }) == row.atReplica);
        CHECK(refusalOf([&] { row.call(fenced.primary); }) == row.atFenced);
    }
}

TEST_CASE("a fenced server takes no write and stops replicating")
{
    Pair pair;
    replicate(pair.primary, pair.replica);
    const ReplicationSource old = *pair.replica.source();
    pair.replica.fence({2}, Start);
    pair.primary.execute(put(1, "late", 1), 1, Start);
    CHECK_FALSE(pair.replica.source().has_value());
    pair.replica.receive(old, pair.primary.feed(1, 0ms), Start);
    CHECK(pair.replica.position(Start).durable == LogPosition {1, 1});

    pair.primary.fence({2}, Start);
    CHECK(refusalOf([&] { pair.primary.execute(put(1, "r", 1), 1, Start); }) == "stale_term");
    CHECK(refusalOf([&] { pair.primary.execute(put(2, "r", 1), 1, Start); }) == "not_primary");
}

TEST_CASE("a repeated promotion gets its first answer")
{
    Pair pair;
    pair.replica.fence({2}, Start);
    const LogPosition barrier = pair.replica.promote({2, {ServerId("b")}}, Start).barrier;
    CHECK(pair.replica.promote({2, {ServerId("b")}}, Start).barrier == barrier);
    CHECK(barrier == LogPosition {2, 1});
    CHECK(pair.replica.position(Start).durable == barrier);
    Announcement announcement;
    pair.replica.describe(announcement, Start);
    CHECK(announcement.role == ServerRole::Primary);
    CHECK(announcement.voters == std::vector {ServerId("b")});
}

TEST_CASE("an old primary cuts off what the new one doesn't have")
{
    for (int lost = 0; lost < 5; ++lost) {
        CAPTURE(lost);
        Pair pair;
        pair.primary.execute(put(1, "kept", 1), 1, Start);
        replicate(pair.primary, pair.replica);
        for (int number = 0; number < lost; ++number)
            pair.primary.execute(put(1, "lost" + std::to_string(number), 100), 1, Start);
        pair.replica.promote({2, {}}, Start);
        pair.replica.execute(put(2, "new", 2), 1, Start);
        pair.primary.follow({2, OtherAddress, {}}, Start);
        replicate(pair.replica, pair.primary);
        CHECK(Json(pair.primary.log()) == Json(pair.replica.log()));
        CHECK(valueOf(pair.primary, 2) == 2);
        CHECK_FALSE(pair.primary.requestFate(CallerId("caller"), RequestId("lost0")).ran);
    }
}

TEST_CASE("a restarted server comes back as replica of its last term")
{
    const std::string path = std::filesystem::temp_directory_path()
            / ("standin-state-" + std::to_string(getpid()));
    std::filesystem::remove(path);
    Json before;
    {
        Journal journal(path);
        StandinState state(&journal, {ServerId("a")}, ServerState::Ready);
        CHECK_FALSE(state.isRestarted());
        state.startAsPrimary(Start);
        state.execute(put(1, "kept", 1), 1, Start);
        state.execute(put(1, "lost", 100), 1, Start);
        Pair pair;
        pair.primary.execute(put(1, "kept", 1), 1, Start);
        state.follow({2, OtherAddress, {ServerId("b")}}, Start);
        pair.primary.promote({2, {}}, Start);
        replicate(pair.primary, state);
        before = state.log();
    }
    Journal journal(path);
    StandinState state(&journal, {ServerId("a")}, ServerState::Ready);
    CHECK(state.isRestarted());
    CHECK(Json(state.log()) == before);
    CHECK(valueOf(state, 2) == 1);
    CHECK(refusalOf([&] { state.execute(put(2, "r", 1), 1, Start); }) == "not_primary");
    CHECK(refusalOf([&] { state.promote({2, {}}, Start); }) == "stale_term");
    Announcement announcement;
    state.describe(announcement, Start);
    CHECK(announcement.incarnation == 2);
    CHECK(announcement.voters == std::vector {ServerId("b")});
    CHECK(state.promote({3, {}}, Start).barrier == LogPosition {3, before.size() + 1});
    std::filesystem::remove(path);
}
