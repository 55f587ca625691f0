#include "nutmegtide/failover/groupledger.h"

#include "nutmegtide/base/errors.h"
#include "unit/failover/changerig.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

const DatabaseName Database("casks");
const std::vector<ServerId> Old = serversNamed({"s1", "s2", "s3"});
const std::vector<ServerId> New = serversNamed({"s4", "s2", "s3"});
const std::vector<ServerId> Third = serversNamed({"s5", "s2", "s3"});

GroupCommand command(GroupCommandKind kind, Term term, const std::string &owner,
                     const std::vector<ServerId> &voters)
{
    const ServerId primary(kind == GroupCommandKind::Reserve ? "" : "s2");
    return {kind, Database, term, owner, primary, voters};
}

} // namespace

TEST_CASE("a term belongs to the first change that reserves it")
{
    using Kind = GroupCommandKind;
    struct Row
    {
        const char *name;
        std::vector<GroupCommand> commands; // after an adoption at term 3
        Term term;
        Term attempt;
        std::string owner;
        std::vector<ServerId> pending;
    };
    const Row rows[] = {
            {"second adoption", {command(Kind::Adopt, 9, "", New)}, 3, 3, "", {}},
            {"reservation", {command(Kind::Reserve, 4, "a", Old)}, 3, 4, "a", {}},
            {"reservation of a used term", {command(Kind::Reserve, 3, "a", Old)}, 3, 3, "", {}},
            {"two reservations of one term",
             {command(Kind::Reserve, 4, "a", Old), command(Kind::Reserve, 4, "b", Old)},
             3,
             4,
             "a",
             {}},
            {"publication by another change",
             {command(Kind::Reserve, 4, "a", Old), command(Kind::Publish, 4, "b", Old)},
             3,
             4,
             "a",
             {}},
            {"publication after a later reservation",
             {command(Kind::Reserve, 4, "a", Old), command(Kind::Reserve, 5, "b", Old),
              command(Kind::Publish, 4, "a", Old)},
             3,
             5,
             "b",
             {}},
            {"publication",
             {command(Kind::Reserve, 4, "a", Old), command(Kind::Publish, 4, "a", Old)},
             4,
             4,
             "a",
             {}},
            {"new voters", {command(Kind::Reserve, 4, "a", New)}, 3, 4, "a", New},
            {"a third set while one is pending",
             {command(Kind::Reserve, 4, "a", New), command(Kind::Reserve, 5, "b", Third)},
             3,
             4,
             "a",
             New},
            {"back to the old voters",
             {command(Kind::Reserve, 4, "a", New), command(Kind::Reserve, 5, "b", Old)},
             3,
             5,
             "b",
             New},
            {"new voters are final",
             {command(Kind::Reserve, 4, "a", New), command(Kind::Publish, 4, "a", New)},
             4,
             4,
             "a",
             {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        GroupLedger ledger;
        ledger.apply(1, encode({Kind::Adopt, Database, 3, "", ServerId("s1"), Old}));
        for (const GroupCommand &entry : row.commands)
            ledger.apply(2, encode(entry));
        const GroupRecord &record = *ledger.find(Database);
        CHECK(record.term == row.term);
        CHECK(record.attempt == row.attempt);
        CHECK(record.attemptOwner == row.owner);
        CHECK(record.pendingVoters == row.pending);

        GroupLedger restored;
        restored.restore(ledger.snapshot());
        CHECK(restored.records() == ledger.records());
    }
}

TEST_CASE("malformed group commands and snapshots are refused")
{
    const char *const texts[] =
            {"", "{", "[]", "{}", R"({"kind":"none"})", R"({"kind":"adopt","database":4})"};
    for (const char *text : texts) {
        CAPTURE(text);
        CHECK_THROWS_AS(decodeGroupCommand(text), MessageError);
    }
    GroupLedger ledger;
    CHECK_THROWS_AS(ledger.restore("{"), MessageError);
    CHECK_THROWS_AS(ledger.restore(R"({"casks":{}})"), MessageError);
}
