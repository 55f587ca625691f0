#include "serve/configsubmitter.h"

#include "serve/configwire.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

// Commits at once, or fails as told; `isAnswerLost` commits and then says that it doesn't know.
class FakeLog : public ReplicatedLog
{
public:
    explicit FakeLog(StateMachine &machine)
        : m_machine(machine)
    { }

    bool isLeader() const override { return otherLeader.isEmpty(); }
    VmName leader() const override { return otherLeader; }
    std::uint64_t propose(const Command &command, std::chrono::milliseconds) override
    {
        if (!isLeader())
            throw NotLeaderError("c2 leads", otherLeader);
        ++proposals;
        m_machine.apply(static_cast<std::uint64_t>(proposals), command.payload);
        if (isAnswerLost)
            throw ProposalUnknownError("no majority in time");
        return static_cast<std::uint64_t>(proposals);
    }

    VmName otherLeader;
    bool isAnswerLost = false;
    int proposals = 0;

private:
    StateMachine &m_machine;
};

struct Fixture
{
    Identity identity {FleetId("f"), VmName("c1"), FailureDomain("fd-a"), 1};
    Directory directory;
    PeerClients peers {[] { return wire::Header(); }};
    Recorder recorder {{VmName("c1"), FailureDomain("fd-a"), 1}, 100};
    LedgerMachine ledger {[] {}};
    ConfigSubmitter submitter {identity, directory, peers, recorder, ledger};
    FakeLog log {ledger};
};

ConfigSubmission change(const std::string &id, Revision base, const std::string &toml)
{
    return {ChangeId(id), base, toml, "ana"};
}

} // namespace

TEST_CASE("the leader decides each change once, whatever becomes of the answers")
{
    Fixture fixture;
    ConfigSubmitter &submitter = fixture.submitter;
    const ConfigSubmission first = change("a", 0, "[reads]\n");
    CHECK(submitter.decideHere(first).decision.outcome == ConfigOutcome::NotLeader);
    submitter.attach(fixture.log);

    fixture.log.isAnswerLost = true;
    CHECK(submitter.decideHere(first).decision.outcome == ConfigOutcome::Unknown);
    fixture.log.isAnswerLost = false;
    CHECK(submitter.decideHere(first).decision.revision == 1);
    CHECK(fixture.log.proposals == 1);

    const ConfigDecision lost = submitter.decideHere(change("b", 0, "[limits]\n")).decision;
    CHECK(lost == ConfigDecision {ConfigOutcome::Conflict, 1, ChangeId("a"), ""});
    CHECK(submitter.decideHere(change("a", 0, "[limits]\n")).decision.outcome
          == ConfigOutcome::ChangeIdReused);
    CHECK(submitter.decideHere(change("c", 1, "[nothing]\n")).decision.outcome
          == ConfigOutcome::Invalid);
    CHECK(submitter.submit(change("c", 1, "[nothing]\n")).outcome == ConfigOutcome::Invalid);
    CHECK(fixture.log.proposals == 2);
    CHECK(fixture.ledger.latest() == ConfigRevision {1, "[reads]\n", ChangeId("a")});
}

TEST_CASE("a control VM that doesn't lead names the leader")
{
    Fixture fixture;
    fixture.submitter.attach(fixture.log);
    fixture.log.otherLeader = VmName("c2");
    CHECK_FALSE(fixture.submitter.decideHere(change("a", 0, "[reads]\n")).leader);
    VmRecord leader;
    leader.vm = VmName("c2");
    leader.peers = {"127.0.0.1", 9};
    fixture.directory.put(leader);
    const SubmitAnswer answer = fixture.submitter.decideHere(change("a", 0, "[reads]\n"));
    CHECK(answer.decision.outcome == ConfigOutcome::NotLeader);
    REQUIRE(answer.leader);
    CHECK(toString(*answer.leader) == "127.0.0.1:9");
    CHECK(fromWire(toWire(answer)).leader.has_value());
}

TEST_CASE("outcomes have a name, a status and a form between processes")
{
    struct Row
    {
        ConfigOutcome outcome;
        const char *name;
        int status;
        ConfigOutcome readBack;
    };
    const Row rows[] = {
            {ConfigOutcome::Accepted, "accepted", 200, ConfigOutcome::Accepted},
            {ConfigOutcome::Conflict, "conflict", 409, ConfigOutcome::Conflict},
            {ConfigOutcome::Invalid, "invalid", 400, ConfigOutcome::Invalid},
            {ConfigOutcome::ChangeIdReused, "invalid", 400, ConfigOutcome::Invalid},
            {ConfigOutcome::Unknown, "unknown", 504, ConfigOutcome::Unknown},
            {ConfigOutcome::NotLeader, "unknown", 503, ConfigOutcome::NotLeader},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const ConfigDecision decision {row.outcome, 7, ChangeId("w"), "m"};
        const HttpResponse response = toHttp(decision);
        CHECK(response.status == row.status);
        CHECK(response.body.find(row.name) != std::string::npos);
        const ConfigDecision read = fromWire(toWire(SubmitAnswer {decision, {}})).decision;
        CHECK(read == ConfigDecision {row.readBack, 7, ChangeId("w"), "m"});
    }
}

TEST_CASE("an operator's request is read whole or refused")
{
    const char *good = R"({"change_id":"a","base_revision":3,"toml":"[reads]\n"})";
    CHECK(submissionFromJson(good) == ConfigSubmission {ChangeId("a"), 3, "[reads]\n", ""});
    const char *faulty[] = {
            "",
            "[]",
            R"({"change_id":"a","base_revision":3})",
            R"({"change_id":7,"base_revision":3,"toml":""})",
            R"({"change_id":"a","base_revision":-1,"toml":""})",
            R"({"change_id":"a","base_revision":1.5,"toml":""})",
            R"({"change_id":"a","base_revision":"3","toml":""})",
    };
    for (const char *body : faulty) {
        CAPTURE(body);
        CHECK_THROWS_AS(submissionFromJson(body), MessageError);
    }
}
