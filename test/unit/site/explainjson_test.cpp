#include "site/explainjson.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;
using Json = nlohmann::json;

// Tools read these fields; the rest is read from a real entry VM in explain_test.cpp.
TEST_CASE("the answer depends on what is explained where the fields differ")
{
    SiteExplanation explanation;
    explanation.vm = "entry-0";
    explanation.workspace = WorkspaceName("w");
    RouteExplanation &route = explanation.route;
    ReadCandidate excluded;
    excluded.exclusion = ReadExclusion::NoConnectionLeft;
    ReadCandidate drawn;
    drawn.rating = 0.25;
    drawn.failureShare = {0.5, Duration(30ms)};
    route.readers = {true, {drawn, excluded}, 7, ServerId("i-1")};

    const Json read = toJson(explanation);
    CHECK(read.at("choice") == "draw");
    CHECK(read.at("need") == "proof needed");
    CHECK(read.at("cap").is_null());
    CHECK(read.at("server").is_null());
    CHECK(read.at("candidates_omitted") == 7);
    CHECK(read.at("candidates")[0].at("probability_percent") == 25);
    CHECK(read.at("candidates")[0].at("failure_share") == Json {{"value", 0.5}, {"age_ms", 30}});
    CHECK(read.at("candidates")[0].at("replication_lag_ms").at("age_ms").is_null());
    CHECK(read.at("candidates")[1].at("excluded") == "no connection left");
    CHECK(read.at("candidates")[1].at("readable") == false);

    route.need = ExplainedNeed {{3, 14}, Duration(15ms)};
    route.cap = {10, 20};
    const Json proved = toJson(explanation);
    CHECK(proved.at("need") == Json {{"position", "3.14"}, {"proof_age_ms", 15}});
    CHECK(proved.at("cap")
          == Json {{"workspace", "w"}, {"per_second", 10.0}, {"burst", 20.0}, {"needs_loan", true}});

    route.isWrite = true;
    const Json write = toJson(explanation);
    CHECK(write.at("choice") == "primary");
    CHECK(write.at("need").is_null());
}
