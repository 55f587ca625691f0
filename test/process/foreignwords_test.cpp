// Words about servers that come from other writers, or late, at a real site.
#include "process/support/lineserver.h"
#include "process/support/linesite.h"
#include "process/support/waituntil.h"

#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr std::chrono::milliseconds SpreadTime {700}; // until entry VMs know what control knows

struct Word
{
    const char *service = "db";
    Endpoint address;
    int born = 1;
    int sequence = 1;
};

int announce(const LineSite &site, const Word &word)
{
    const std::string body = R"({"service":")" + std::string(word.service) + R"(","address":")"
            + toString(word.address)
            + R"(","zone":"a","version":"v1","slots":3,"phase":"ready","coldRemainingMs":0,)"
            + R"("dbRole":"primary","sequence":)" + std::to_string(word.sequence) + R"(,"born":)"
            + std::to_string(word.born) + '}';
    return statusOf(site.controlPort(), "PUT", "/instances/i-1", body);
}

bool isServed(const LineSite &site)
{
    LineClient caller(site.callers());
    if (caller.ask("START casks me") != "READY I -")
        return false;
    return caller.ask("QUERY q1 WRITE x 1").rfind("DONE", 0) == 0;
}

} // namespace

// Guards against three reports of another writer that hid all servers of a service (review/9).
TEST_CASE("a report of a service that isn't named hides no server, whichever comes first")
{
    const ReservedPort nobody;
    for (const bool isFirst : {true, false}) {
        CAPTURE(isFirst);
        LineServer server("db", "i-1");
        LineSite site;
        site.configure(SiteRoutes);
        const Word foreign {"elsewhere", nobody.endpoint(), 9, 1};
        if (isFirst)
            CHECK(announce(site, foreign) == 200);
        CHECK(announce(site, {"db", server.endpoint(), 1, 1}) == 200);
        waitUntil([&site] { return site.isReady() && isServed(site); }, "a write to be served");
        CHECK(announce(site, foreign) == 200);
        CHECK(announce(site, {"db", server.endpoint(), 1, 2}) == 200);
        std::this_thread::sleep_for(SpreadTime);
        CHECK(isServed(site));
        CHECK(site.hasLogged(0, "announcement_set_aside"));
    }
}

// Guards against a departure that was held up until its server had started again under its id: the
// server's own reports couldn't bring it back.
TEST_CASE("a departure that arrives after its server has started again doesn't hide it for good")
{
    LineServer server("db", "i-1");
    LineSite site;
    site.configure(SiteRoutes);
    CHECK(announce(site, {"db", server.endpoint(), 1, 8}) == 200);
    CHECK(announce(site, {"db", server.endpoint(), 2, 1}) == 200);
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
    CHECK(statusOf(site.controlPort(), "DELETE", "/instances/i-1", "") == 200);
    std::this_thread::sleep_for(SpreadTime);
    CHECK(announce(site, {"db", server.endpoint(), 2, 2}) == 200);
    waitUntil([&site] { return isServed(site); }, "a write to be served again");
}
