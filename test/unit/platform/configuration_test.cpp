#include "configuration.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace nutmegtide;
using namespace nutmegtide::platform;

namespace {

using Json = nlohmann::json;

Json goodConfiguration()
{
    return Json::parse(R"({"version":7,
        "routes":[{"name":"r1","databaseName":"lepu270","pathPrefix":"/","type":"primary",
                   "timeoutMs":800,"targetLatencyMs":150,"priority":1,"service":"s"},
                  {"name":"r2","databaseName":"xapu","pathPrefix":"/","type":"bounded_staleness",
                   "timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"s",
                   "maxStalenessMs":1500}],
        "services":[{"name":"s","maxConnections":46,"syncReplicas":1}],
        "limits":{"txIdleMs":3000}})");
}

} // namespace

TEST_CASE("a complete configuration is parsed into routes and services")
{
    const RouteTable table = parseConfiguration(goodConfiguration().dump());
    CHECK(table.revision == 7);
    CHECK(table.idleTransactionTimeout == std::chrono::milliseconds(3000));
    CHECK(table.services.at(ServiceName("s")).maxConnections == 46);
    const Route *route = table.find(DatabaseName("xapu"));
    REQUIRE(route != nullptr);
    CHECK((route->consistency == Consistency::BoundedAge));
    CHECK(route->largestAge == std::chrono::milliseconds(1500));
    CHECK(table.find(DatabaseName("nowhere")) == nullptr);
}

TEST_CASE("an invalid configuration is refused")
{
    struct Row
    {
        const char *what;
        const char *pointer;
        Json value;
    };
    const Row rows[] = {
            {"no version", "/version", Json()},
            {"version 0", "/version", 0},
            {"an unknown service", "/routes/0/service", "other"},
            {"timeout 0", "/routes/0/timeoutMs", 0},
            {"a timeout as text", "/routes/0/timeoutMs", "800"},
            {"a negative timeout", "/routes/0/timeoutMs", -1},
            {"a duplicate route", "/routes/1/databaseName", "lepu270"},
            {"an unknown type", "/routes/0/type", "eventual"},
            {"routes are not a list", "/routes", Json::object()},
            {"services are missing", "/services", Json()},
            {"no maximum staleness", "/routes/1/maxStalenessMs", Json()},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Json json = goodConfiguration();
        json[Json::json_pointer(row.pointer)] = row.value;
        CHECK_THROWS_AS(parseConfiguration(json.dump()), RouteTableError);
    }
    const std::string whole = goodConfiguration().dump();
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_THROWS_AS(parseConfiguration(whole.substr(0, size)), RouteTableError);
}

namespace {

// Returns a configuration with these workspaces, as JSON.
std::string withWorkspaces(const std::string &workspaces)
{
    return R"({"version":3,"routes":[],"services":[],"tenants":)" + workspaces + "}";
}

} // namespace

TEST_CASE("workspaces have a name, keys, a cap and a priority")
{
    const RouteTable table = parseConfiguration(withWorkspaces(
            R"([{"name":"w1","apiKeys":["k1","k2"],"priority":2,"ratePerS":12.5,"burst":30},
                {"name":"w2","apiKeys":[]}])"));
    REQUIRE(table.workspaces);
    const Workspace *workspace = table.workspaces->findByKey(KeyDigest("k2"));
    REQUIRE(workspace != nullptr);
    CHECK(*workspace == Workspace {WorkspaceName("w1"), 2, {12.5, 30}});
    CHECK_FALSE(table.workspaces->find(WorkspaceName("w2"))->cap.isSet());
    CHECK_FALSE(parseConfiguration(R"({"version":3,"routes":[],"services":[]})").workspaces);
}

TEST_CASE("invalid workspaces are refused whole, without naming a key")
{
    for (const char *workspaces :
         {R"([{"name":"w1","apiKeys":["secret"]},{"name":"w2","apiKeys":["secret"]}])",
          R"([{"name":"w1","apiKeys":["secret"]},{"name":"w1","apiKeys":[]}])",
          R"([{"apiKeys":["secret"]}])", R"([{"name":"","apiKeys":["secret"]}])",
          R"([{"name":"w 1","apiKeys":["secret"]}])", R"([{"name":"w1"}])",
          R"([{"name":"w1","apiKeys":["secret",1]}])", R"([{"name":"w1","apiKeys":["secret",""]}])",
          R"([{"name":"w1","apiKeys":["secret"],"ratePerS":-1}])",
          R"([{"name":"w1","apiKeys":["secret"],"burst":"many"}])", R"({"w1":["secret"]})"}) {
        CAPTURE(std::string(workspaces));
        std::string message;
        try {
            parseConfiguration(withWorkspaces(workspaces));
        } catch (const RouteTableError &fault) {
            message = fault.what();
        }
        CHECK_FALSE(message.empty());
        CHECK(message.find("secret") == std::string::npos);
    }
}
