#include "nutmegtide/failover/homereports.h"

#include <doctest/doctest.h>

using namespace nutmegtide;

namespace {

using Databases = std::set<DatabaseName>;

const VmName Home("a1");
const DatabaseName Casks("casks");
const DatabaseName Jars("jars");

} // namespace

TEST_CASE("a call confirms the groups that earlier calls reported")
{
    HomeReports reports;
    CHECK(reports.take(Home, 1, {Casks, Jars}).empty());
    CHECK(reports.take(Home, 1, {Jars}) == Databases {Casks});
    CHECK(reports.take(Home, 1, {}) == Databases {Casks, Jars});
    CHECK(reports.groupCount(Home) == 2);
    CHECK(reports.take(VmName("b1"), 1, {}).empty());
}

TEST_CASE("reports are dropped when the home restarts and when this VM stops leading")
{
    HomeReports reports;
    reports.take(Home, 1, {Casks, Jars});
    CHECK(reports.take(Home, 2, {}).empty());
    CHECK(reports.groupCount(Home) == 0);
    reports.take(Home, 2, {Casks});
    reports.clear();
    CHECK(reports.take(Home, 2, {}).empty());
    CHECK(reports.groupCount(Home) == 0);
}
