#include "nutmegtide/proxy/routetable.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace std::chrono_literals;

TEST_CASE("a service is balanced if a route of it has a long enough objective")
{
    struct Row
    {
        std::chrono::milliseconds patientObjective;
        std::set<ServiceName> balanced;
    };
    const ServiceName both("both");
    const ServiceName quick("quick");
    RouteTable table;
    table.routes[DatabaseName("orders")] = {DatabaseName("orders"), both, {}, {}, {}, 200ms};
    table.routes[DatabaseName("reports")] = {DatabaseName("reports"), both, {}, {}, {}, 800ms};
    table.routes[DatabaseName("stock")] = {DatabaseName("stock"), quick, {}, {}, {}, 600ms};
    const Row rows[] = {{0ms, {}},
                        {200ms, {both, quick}},
                        {700ms, {both}},
                        {800ms, {both}},
                        {801ms, {}}};
    for (const Row &row : rows) {
        CAPTURE(row.patientObjective.count());
        CHECK(table.balancedServices(row.patientObjective) == row.balanced);
    }
}
