#include "nutmegtide/control/configledger.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

ConfigSubmission change(const std::string &id, Revision base, const std::string &toml = "")
{
    return {ChangeId(id), base, toml.empty() ? "# by " + id + "\n" : toml, "ana"};
}

// Applies a submission as a control VM does, and returns its decision.
ConfigDecision submit(ConfigLedger &ledger, const ConfigSubmission &submission)
{
    ledger.apply(0, encode(submission));
    return ledger.find(submission).value_or(ConfigDecision {});
}

// Accepts all revisions up to `last`, with the change ids r1, r2 and so on.
void acceptUpTo(ConfigLedger &ledger, Revision last)
{
    for (Revision revision = ledger.latest().revision + 1; revision <= last; ++revision)
        submit(ledger, change("r" + std::to_string(revision), revision - 1));
}

} // namespace

TEST_CASE("a submission is decided by its base, its change id and its content")
{
    struct Row
    {
        const char *what;
        ConfigSubmission submission;
        ConfigDecision decision;
    };
    const char *reused = "the change id came before with other settings";
    const Row rows[] = {
            {"on the latest", change("a", 3), {ConfigOutcome::Accepted, 4, {}, ""}},
            {"same base as r3", change("a", 2), {ConfigOutcome::Conflict, 3, ChangeId("r3"), ""}},
            {"far behind", change("a", 0), {ConfigOutcome::Conflict, 3, ChangeId("r1"), ""}},
            {"not yet accepted", change("a", 9), {ConfigOutcome::Conflict, 3, ChangeId("r3"), ""}},
            {"resent", change("r2", 1), {ConfigOutcome::Accepted, 2, {}, ""}},
            {"resent on a base looked up again",
             change("r2", 3),
             {ConfigOutcome::Accepted, 2, {}, ""}},
            {"other content", change("r2", 1, "x"), {ConfigOutcome::ChangeIdReused, 3, {}, reused}},
            {"other content on the latest",
             change("r2", 3, "x"),
             {ConfigOutcome::ChangeIdReused, 3, {}, reused}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ConfigLedger ledger;
        acceptUpTo(ledger, 3);
        CHECK(submit(ledger, row.submission) == row.decision);
        const bool isNew = row.submission.changeId == ChangeId("a")
                && row.decision.outcome == ConfigOutcome::Accepted;
        CHECK(ledger.latest().revision == (isNew ? 4 : 3));
    }
}

TEST_CASE("of two submissions with the same base the first is accepted, in either order")
{
    const ConfigSubmission changes[] = {change("ana", 0), change("ben", 0)};
    for (const int first : {0, 1}) {
        CAPTURE(first);
        ConfigLedger ledger;
        CHECK(submit(ledger, changes[first]).outcome == ConfigOutcome::Accepted);
        const ConfigDecision lost = submit(ledger, changes[1 - first]);
        CHECK(lost.outcome == ConfigOutcome::Conflict);
        CHECK(lost.winner == changes[first].changeId);
        CHECK(ledger.latest().toml == changes[first].toml);
        // A resend of the rejected change is rejected again, also after further changes.
        submit(ledger, change("cem", 1));
        CHECK(submit(ledger, changes[1 - first]) == lost);
    }
}

TEST_CASE("a new leader gives a resent change its original answer, from the log or a snapshot")
{
    const ConfigSubmission lost = change("lost", 500);
    ConfigLedger oldLeader;
    ConfigLedger follower;
    acceptUpTo(oldLeader, 500);
    acceptUpTo(follower, 500);
    const ConfigDecision first = submit(oldLeader, lost);
    follower.apply(501, encode(lost));
    CHECK(submit(follower, lost) == first);

    ConfigLedger installed;
    installed.restore(oldLeader.snapshot());
    CHECK(installed.latest() == oldLeader.latest());
    CHECK(submit(installed, lost) == first);
    CHECK(submit(installed, change("late", 499)).winner == ChangeId("r500"));
    CHECK(installed.snapshot() != oldLeader.snapshot());
}

TEST_CASE("decisions are kept up to the limit, and at least 10,000 by default")
{
    static_assert(ConfigLedger::DefaultMaxDecisions >= 10'000);
    ConfigLedger ledger(3);
    acceptUpTo(ledger, 5);
    CHECK(ledger.decisionCount() == 3);
    CHECK_FALSE(ledger.find(change("r2", 1)));
    CHECK(ledger.find(change("r3", 2))->outcome == ConfigOutcome::Accepted);
    // A change whose decision was dropped can't be accepted again on its old base.
    const ConfigDecision decision = submit(ledger, change("r1", 0));
    CHECK(decision == ConfigDecision {ConfigOutcome::Conflict, 5, ChangeId("r5"), ""});

    ConfigLedger restored(3);
    restored.restore(ledger.snapshot());
    CHECK(restored.snapshot() == ledger.snapshot());
}

TEST_CASE("an empty ledger continues the revisions of the fleet")
{
    ConfigLedger ledger;
    CHECK(submit(ledger, change("a", 500)).revision == 501);
    CHECK(submit(ledger, change("b", 500)).outcome == ConfigOutcome::Conflict);
}

TEST_CASE("malformed entries and snapshots change nothing")
{
    ConfigLedger ledger;
    acceptUpTo(ledger, 2);
    const std::string before = ledger.snapshot();
    for (const char *text : {"", "[]", "{}", R"({"change_id":1})", R"({"revision":"x"})"}) {
        CAPTURE(text);
        ledger.apply(3, text);
        CHECK_THROWS_AS(ledger.restore(text), MessageError);
        CHECK(ledger.snapshot() == before);
    }
}

TEST_CASE("errors are reported before a submission is proposed")
{
    const std::string longId(65, 'x');
    struct Row
    {
        const char *what;
        ConfigSubmission submission;
        const char *fault; // how the error begins
    };
    const Row rows[] = {
            {"good", change("a", 0, "[database.casks]\nvoters = 3\n"), ""},
            {"unknown key", change("a", 0, "[database.casks]\nx = 3\n"), "settings:2: database"},
            {"no TOML", change("a", 0, "[[["), "settings:1"},
            {"no change id", change("", 0, "[reads]\n"), "change_id"},
            {"change id too long", change(longId, 0, "[reads]\n"), "change_id"},
            {"change id with a line end", change("a\n", 0, "[reads]\n"), "change_id"},
            {"operator", {ChangeId("a"), 0, "[reads]\n", "a b"}, "operator"},
            {"too large", change("a", 0, std::string(2'000'000, '\n')), "toml"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const std::string fault = validationError(row.submission);
        CAPTURE(fault);
        CHECK(fault.substr(0, std::string(row.fault).size()) == row.fault);
        CHECK(fault.empty() == std::string(row.fault).empty());
    }
}

TEST_CASE("with the highest-number rule the highest number is accepted and no revision goes back")
{
    ConfigLedger ledger(4, highestNumberRule());
    struct Row
    {
        const char *what;
        Revision number;
        const char *text;
        Revision latest;
        const char *inForce;
    };
    const Row rows[] = {
            {"the first", 4, "four", 4, "four"},
            {"a gap", 9, "nine", 9, "nine"},
            {"an older one", 6, "six", 9, "nine"},
            {"the same again", 9, "nine", 9, "nine"},
            {"other content under the number held", 9, "other", 9, "nine"},
            {"the next", 10, "ten", 10, "ten"},
    };
    std::uint64_t index = 0;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const ConfigSubmission submission {ChangeId(std::to_string(row.number)), row.number,
                                           row.text, "operator"};
        ledger.apply(++index, encode(submission));
        CHECK(ledger.latest().revision == row.latest);
        CHECK(ledger.latest().toml == row.inForce);
    }
    ConfigLedger copy(4, highestNumberRule());
    copy.restore(ledger.snapshot());
    copy.apply(++index, encode({ChangeId("7"), 7, "seven", "operator"}));
    CHECK(copy.latest().revision == 10);
}
