#include "site/explainquery.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

// Guards against values that are taken without decoding them.
TEST_CASE("a query for an explanation is read with its defaults")
{
    const RouteQuestion plain = readExplainQuery("database=casks");
    CHECK(plain.database == DatabaseName("casks"));
    CHECK_FALSE(plain.isWrite);
    CHECK(plain.workspace.isEmpty());
    CHECK_FALSE(plain.largestAge);
    const RouteQuestion whole = readExplainQuery(
            "access=write&workspace=a%26b&age=3600000&database=casks");
    CHECK(whole.isWrite);
    CHECK(whole.workspace == WorkspaceName("a&b"));
    CHECK((whole.largestAge == std::chrono::milliseconds(3'600'000)));
}

// Guards against a mistyped parameter that is ignored, so that another request is explained.
TEST_CASE("a query that can't be taken names its parameter")
{
    struct Row
    {
        const char *query;
        const char *parameter;
    };
    const Row rows[] = {
            {"", "database"},
            {"access=read", "database"},
            {"database=", "database"},
            {"database=a&database=a", "database"},
            {"database=a&access=both", "access"},
            {"database=a&access", "access"},
            {"database=a&age=-1", "age"},
            {"database=a&age=3600001", "age"},
            {"database=a&age=1.5", "age"},
            {"database=a&age=99999999999999999999", "age"},
            {"database=a&colour=red", "colour"},
            {"database=a&&access=read", ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.query);
        try {
            readExplainQuery(row.query);
            FAIL("the query was taken");
        } catch (const QueryParameterError &error) {
            CHECK(error.parameter() == row.parameter);
        }
    }
}
