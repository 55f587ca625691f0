#include "standin/statements.h"

#include "standin/errors.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::standin;

TEST_CASE("a statement gives its result or is rejected")
{
    struct Row
    {
        const char *statement;
        const char *parameters;
        const char *result; // nullptr where the statement is rejected
        const char *changes;
    };
    const Row rows[] = {
            {"get", R"({"key":"a"})", R"({"value":7})", "{}"},
            {"get", R"({"key":"none"})", R"({"value":null})", "{}"},
            {"get", R"({"key":1})", nullptr, "{}"},
            {"get", R"([])", nullptr, "{}"},
            {"put", R"({"key":"a","value":[1]})", "{}", R"({"a":[1]})"},
            {"put", R"({"key":"a"})", nullptr, "{}"},
            {"add", R"({"key":"a","amount":-9})", R"({"value":-2})", R"({"a":-2})"},
            {"add", R"({"key":"new","amount":2})", R"({"value":2})", R"({"new":2})"},
            {"add", R"({"key":"a","amount":1.5})", nullptr, "{}"},
            {"add", R"({"key":"word","amount":1})", nullptr, "{}"},
            {"add", R"({"key":"a","amount":9223372036854775807})", nullptr, "{}"},
            {"transfer", R"({"from":"a","to":"b","amount":3})", R"({"from":4,"to":3})",
             R"({"a":4,"b":3})"},
            {"transfer", R"({"from":"a","to":"a","amount":3})", R"({"from":4,"to":7})",
             R"({"a":7})"},
            {"transfer", R"({"from":"a","to":"b","amount":-3})", nullptr, "{}"},
            {"list", R"({"prefix":"w"})", R"({"values":{"word":"x"}})", "{}"},
            {"drop", "{}", nullptr, "{}"},
    };
    const Table table = {{"a", 7}, {"word", "x"}};
    for (const Row &row : rows) {
        CAPTURE(row.statement);
        CAPTURE(row.parameters);
        Table changes;
        Table reads;
        TableView view(table, changes, reads);
        const Json parameters = Json::parse(row.parameters);
        if (!row.result) {
            CHECK_THROWS_AS(runStatement(row.statement, parameters, view), RefusalError);
            continue;
        }
        CHECK(runStatement(row.statement, parameters, view) == Json::parse(row.result));
        CHECK(Json(changes) == Json::parse(row.changes));
    }
}
