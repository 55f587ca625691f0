#include "nutmegtide/statement/leadershipproof.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

const ServerId A("a");
const ServerId B("b");
const ServerId C("c");
constexpr Duration Detection = 400ms;

TimePoint at(Duration time)
{
    return TimePoint(time);
}

} // namespace

TEST_CASE("trap 5: leadership counts from the send time that a majority has passed")
{
    struct Confirmation
    {
        ServerId server;
        Term term;
        Duration sentAt;
    };
    struct Row
    {
        std::string name;
        std::vector<Confirmation> confirmations;
        Duration now;
        bool isConfirmed;
    };
    const Row rows[] = {
            {"nobody", {}, 0ms, false},
            {"the primary alone", {{A, 2, 100ms}}, 100ms, false},
            {"two of three", {{A, 2, 100ms}, {B, 2, 100ms}}, 500ms, true},
            {"two of three, too long ago", {{A, 2, 100ms}, {B, 2, 100ms}}, 501ms, false},
            {"the primary goes on alone",
             {{A, 2, 100ms}, {B, 2, 100ms}, {A, 2, 600ms}},
             600ms,
             false},
            {"the majority changes",
             {{A, 2, 100ms}, {B, 2, 100ms}, {A, 2, 600ms}, {C, 2, 590ms}},
             600ms,
             true},
            {"answers out of order", {{A, 2, 500ms}, {B, 2, 500ms}, {B, 2, 10ms}}, 600ms, true},
            {"another term", {{A, 2, 100ms}, {B, 1, 100ms}}, 100ms, false},
            {"fenced since", {{A, 2, 100ms}, {B, 2, 100ms}, {B, 3, 110ms}}, 120ms, false},
            {"late answer of a fenced server",
             {{A, 2, 100ms}, {B, 3, 110ms}, {B, 2, 100ms}},
             120ms,
             false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        LeadershipProof proof;
        proof.setTerm(2, Voters({{A, B, C}}));
        for (const Confirmation &answer : row.confirmations)
            proof.confirm(answer.server, answer.term, at(answer.sentAt));
        CHECK(proof.isConfirmedWithin(Detection, at(row.now)) == row.isConfirmed);
    }
}

TEST_CASE("a new term needs its own confirmations")
{
    LeadershipProof proof;
    proof.setTerm(2, Voters({{A, B, C}}));
    proof.confirm(A, 2, at(100ms));
    proof.confirm(B, 2, at(100ms));
    CHECK(proof.confirmedAt() == at(100ms));
    proof.setTerm(3, Voters({{A, B, C}}));
    CHECK_FALSE(proof.confirmedAt());
    proof.setTerm(2, Voters({{A}}));
    CHECK(proof.term() == 3);
    proof.confirm(B, 3, at(150ms));
    proof.confirm(C, 3, at(140ms));
    CHECK(proof.confirmedAt() == at(140ms));
}
