#include "process/support/testfleet.h"
#include "process/support/waituntil.h"
#include "serve/httpserver.h"

#include <doctest/doctest.h>

#include <mutex>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// The platform's side of a power order. It carries out the first sending and
// fails to answer it, as when the answer is lost.
class PlatformStandin
{
public:
    PlatformStandin()
        : m_server({"127.0.0.1", 0}, {},
                   [this](const HttpRequest &request) { return answer(request); })
    { }

    Endpoint endpoint() const { return m_server.bound(); }
    std::vector<Json> orders() const
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

private:
    HttpResponse answer(const HttpRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        Json order = Json::parse(request.body);
        order["path"] = request.path;
        m_orders.push_back(order);
        HttpResponse response;
        response.status = m_orders.size() == 1 ? 500 : 200;
        response.body = "{}";
        return response;
    }

    mutable std::mutex m_mutex;
    std::vector<Json> m_orders;
    HttpServer m_server;
};

} // namespace

TEST_CASE("a lost voter's spare is ordered once, also when the answer is lost")
{
    PlatformStandin platform;
    const std::string at = toString(platform.endpoint());
    TestFleet fleet({{"a1", "fd-a", true, 64, at},
                     {"b1", "fd-b", true, 64, at},
                     {"c1", "fd-c", true, 64, at}});
    const std::vector<std::string> voters {"s1", "s2", "s3"};
    fleet.addServer({"s1", "casks", "fd-a", voters, "", {}});
    fleet.addServer({"s2", "casks", "fd-b", voters, "s1", {}});

    const Json change {{"change_id", "power"},
                       {"base_revision", 0},
                       {"toml", "[power]\nmost_vms = 1\nspares = [\"spare-1\", \"spare-2\"]\n"}};
    HttpClient operators(fleet.operators("a1"));
    waitUntil([&] { return operators.post("/v1/config", change).status == 200; }, "acceptance");
    waitUntil([&] { return platform.orders().size() >= 2; }, "the order and its repetition");

    const std::vector<Json> orders = platform.orders();
    for (const Json &order : orders) {
        CHECK(order.at("on") == true);
        CHECK(order.at("order") == orders.front().at("order"));
        CHECK(order.at("path") == "/v1/vms/spare-1/power");
    }
    // The declared capacity is used up, although the voter is still missing.
    HttpClient timeline(fleet.operators("b1"));
    const std::string events = timeline.get("/v1/timeline").body;
    CHECK(events.find("power_ordered") != std::string::npos);
}
