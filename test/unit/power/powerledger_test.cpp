#include "nutmegtide/power/powerledger.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

TEST_CASE("spare records are unchanged after a log entry and a snapshot")
{
    const std::vector<SpareRecord> records = {
            {VmName("v1"), "ordering_on", DatabaseName("casks"), OrderId("v1-3-1")},
            {VmName("v2"), "off", {}, {}},
    };
    PowerLedger ledger;
    ledger.apply(7, encodeSpares(records));
    CHECK((ledger.records() == records));
    PowerLedger restored;
    restored.restore(ledger.snapshot());
    CHECK((restored.records() == records));
}

TEST_CASE("a malformed payload throws PowerLedgerError and changes nothing")
{
    PowerLedger ledger;
    ledger.apply(1, encodeSpares({{VmName("v1"), "on", DatabaseName("casks"), OrderId("o")}}));
    for (const std::string payload : {"", "{", "[1]", R"([{"vm":"v1"}])", R"([{"vm":7}])"}) {
        CAPTURE(payload);
        CHECK_THROWS_AS(ledger.apply(2, payload), PowerLedgerError);
        CHECK(ledger.records().size() == 1);
    }
}
