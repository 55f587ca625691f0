#include "nutmegtide/statement/writequorum.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServerId A("a");
const ServerId B("b");
const ServerId C("c");
const ServerId D("d");
constexpr WriteTicket Ticket = 7;
const TimePoint Deadline = TimePoint(2s);

// One answer of a server: its own term and its durable position.
struct Report
{
    ServerId server;
    Term term;
    LogPosition durable;
};

const WriteActions Nothing = {};
const WriteActions Acknowledged = {{WriteActionKind::Acknowledge, Ticket}};
const WriteActions Unknown = {{WriteActionKind::OutcomeUnknown, Ticket}};

WriteActions run(WriteQuorum &quorum, const std::vector<Report> &reports)
{
    WriteActions all;
    for (const Report &report : reports) {
        const WriteActions actions = quorum.observe(report.server, report.term, report.durable);
        all.insert(all.end(), actions.begin(), actions.end());
    }
    return all;
}

} // namespace

TEST_CASE("a write at 2.10 is acknowledged only by a majority in its own term")
{
    struct Row
    {
        std::string name;
        std::vector<std::vector<ServerId>> voters;
        std::vector<Report> reports;
        WriteActions expected;
    };
    const Row rows[] = {
            {"one of three", {{A, B, C}}, {{A, 2, {2, 10}}}, Nothing},
            {"one server twice", {{A, B, C}}, {{A, 2, {2, 10}}, {A, 2, {2, 11}}}, Nothing},
            {"two of three", {{A, B, C}}, {{A, 2, {2, 10}}, {B, 2, {2, 12}}}, Acknowledged},
            {"short position", {{A, B, C}}, {{A, 2, {2, 10}}, {B, 2, {2, 9}}}, Nothing},
            {"two of four", {{A, B, C, D}}, {{A, 2, {2, 10}}, {B, 2, {2, 10}}}, Nothing},
            {"one not a voter", {{A, B, C}}, {{A, 2, {2, 10}}, {D, 2, {2, 10}}}, Nothing},
            {"voter named twice", {{A, A, B}}, {{A, 2, {2, 10}}}, Nothing},
            {"half of a joint set",
             {{A, B, C}, {B, C, D}},
             {{A, 2, {2, 10}}, {B, 2, {2, 10}}},
             Nothing},
            {"both joint sets",
             {{A, B, C}, {B, C, D}},
             {{A, 2, {2, 10}}, {B, 2, {2, 10}}, {D, 2, {2, 10}}},
             Acknowledged},
            {"a joint set that is behind",
             {{A, B, C}, {B, C, D}},
             {{A, 2, {2, 10}}, {B, 2, {2, 10}}, {D, 2, {2, 9}}},
             Nothing},
            {"no voters known", {}, {{A, 2, {2, 10}}, {B, 2, {2, 10}}}, Nothing},
            {"trap 1: entries of an older term that stand further on",
             {{A, B, C}},
             {{A, 2, {1, 99}}, {B, 2, {1, 99}}, {C, 2, {1, 99}}},
             Nothing},
            {"trap 1: an entry of a higher term than the server's own",
             {{A, B, C}},
             {{A, 2, {3, 1}}, {B, 2, {3, 1}}},
             Nothing},
            {"report of an older term", {{A, B, C}}, {{A, 2, {2, 10}}, {B, 1, {2, 10}}}, Nothing},
            {"trap 4: a fenced server",
             {{A, B, C}},
             {{A, 2, {2, 10}}, {B, 3, {2, 10}}, {C, 3, {2, 10}}},
             Unknown},
            {"trap 4: an answer overtaken by the fence's",
             {{A, B, C}},
             {{A, 2, {2, 10}}, {B, 3, {2, 10}}, {B, 2, {2, 10}}},
             Unknown},
            {"higher term with a longer log",
             {{A, B, C}},
             {{A, 3, {3, 11}}, {B, 3, {3, 11}}},
             Unknown},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        WriteQuorum quorum;
        CHECK(quorum.setTerm(2, Voters(row.voters)) == Nothing);
        CHECK(quorum.add(Ticket, {2, 10}, Deadline) == Nothing);
        CHECK(run(quorum, row.reports) == row.expected);
    }
}

TEST_CASE("a report that came before the write's answer counts")
{
    WriteQuorum quorum;
    quorum.setTerm(2, Voters({{A, B, C}}));
    run(quorum, {{A, 2, {2, 10}}, {B, 2, {2, 10}}});
    CHECK(quorum.add(Ticket, {2, 10}, Deadline) == Acknowledged);
}

TEST_CASE("trap 4: a report of the write's own term counts although its server was fenced since")
{
    WriteQuorum quorum;
    quorum.setTerm(2, Voters({{A, B, C}}));
    run(quorum, {{C, 3, {2, 10}}});
    CHECK(quorum.add(Ticket, {2, 10}, Deadline) == Nothing);
    CHECK(run(quorum, {{A, 2, {2, 10}}, {C, 2, {2, 10}}}) == Acknowledged);
}

TEST_CASE("trap 4: a report from before another server's fence is kept")
{
    WriteQuorum quorum;
    quorum.setTerm(2, Voters({{A, B, C}}));
    run(quorum, {{A, 2, {2, 10}}, {C, 3, {2, 10}}});
    CHECK(quorum.add(Ticket, {2, 10}, Deadline) == Nothing);
    CHECK(run(quorum, {{B, 2, {2, 10}}}) == Acknowledged);
}

TEST_CASE("a new term ends the writes of the older one as unknown")
{
    WriteQuorum quorum;
    quorum.setTerm(2, Voters({{A, B, C}}));
    quorum.add(Ticket, {2, 10}, Deadline);
    CHECK(quorum.setTerm(2, Voters({{A}})) == Nothing);
    CHECK(quorum.setTerm(1, Voters({{A}})) == Nothing);
    CHECK(quorum.observe(A, 2, {2, 10}) == Nothing);
    CHECK(quorum.setTerm(3, Voters({{A, B, C}})) == Unknown);
    CHECK(quorum.add(Ticket, {2, 11}, Deadline) == Unknown);
    CHECK(run(quorum, {{A, 2, {2, 11}}, {B, 2, {2, 11}}}) == Nothing);
}

TEST_CASE("a write of a term not yet published waits for its voters")
{
    WriteQuorum quorum;
    quorum.setTerm(2, Voters({{A, B, C}}));
    run(quorum, {{A, 2, {2, 12}}, {B, 2, {2, 12}}});
    CHECK(quorum.add(Ticket, {3, 11}, Deadline) == Nothing);
    CHECK(run(quorum, {{A, 3, {3, 11}}, {B, 3, {3, 11}}}) == Nothing);
    CHECK(quorum.setTerm(3, Voters({{A, B, C}})) == Acknowledged);
}

TEST_CASE("a write is given up on at its deadline, once, and as unknown")
{
    WriteQuorum quorum;
    quorum.setTerm(2, Voters({{A, B, C}}));
    quorum.add(Ticket, {2, 10}, Deadline);
    CHECK(quorum.nextDeadline() == Deadline);
    CHECK(quorum.expire(Deadline - 1ms) == Nothing);
    CHECK(quorum.expire(Deadline) == Unknown);
    CHECK(quorum.expire(Deadline + 1s) == Nothing);
    CHECK(run(quorum, {{A, 2, {2, 10}}, {B, 2, {2, 10}}}) == Nothing);
    CHECK_FALSE(quorum.nextDeadline());
}
