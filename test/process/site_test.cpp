#include "process/support/httpclient.h"
#include "process/support/lineserver.h"
#include "process/support/linesite.h"
#include "process/support/sockets.h"
#include "process/support/waituntil.h"

#include <csignal>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

// A report of a server that doesn't exist.
constexpr const char *GoodReport =
        R"({"service":"db","address":"127.0.0.1:9","zone":"a","version":"v1","slots":3,)"
        R"("phase":"ready","coldRemainingMs":0,"dbRole":"replica","sequence":1,"born":1})";

} // namespace

TEST_CASE("a site: a caller's statements go through an entry VM to a server and back")
{
    LineServer server("db", "i-1");
    LineSite site;
    CHECK_FALSE(site.isReady());
    site.configure(SiteRoutes);
    site.announce(server);
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");

    LineClient caller(site.callers());
    CHECK(caller.ask("START casks me") == "READY I -");
    caller.send("QUERY q1 WRITE x 1");
    CHECK(caller.ask("") == "DONE proof");
    CHECK(caller.ask("") == "READY I 1.1");
    caller.send("QUERY q2 READ x");
    CHECK(caller.ask("") == "ROW row");
    CHECK(caller.ask("") == "DONE proof");
    CHECK(caller.ask("").rfind("READY I", 0) == 0);

    LineClient stranger(site.callers());
    CHECK(stranger.ask("START nowhere me").rfind("ERR NODB", 0) == 0);
    LineClient vandal(site.callers());
    CHECK(vandal.ask("NOISE").rfind("ERR MALFORMED", 0) == 0);
    const std::string metrics = HttpClient(site.operators()).get("/metrics").body;
    CHECK(metrics.find("nutmegtide_site_statements_total") != std::string::npos);

    site.entry().sendSignal(SIGHUP);
    site.control().sendSignal(SIGHUP);
    caller.send("QUERY q3 WRITE x 2");
    CHECK(caller.ask("") == "DONE proof");
    CHECK(caller.ask("") == "READY I 1.2");

    site.entry().sendSignal(SIGTERM);
    waitUntil([&site] { return !site.isReady(); }, "the balancer to be told");
    CHECK(site.entry().waitForExit() == ExitStatus {0, 0});
    site.control().sendSignal(SIGTERM);
    CHECK(site.control().waitForExit() == ExitStatus {0, 0});
}

TEST_CASE("a site: control VMs that are killed before their group has formed form it afterwards")
{
    LineSite site(LineSite::Shape {3, 0, 1, std::nullopt});
    // The group forms with the votes of all three, which never run at the same time here.
    site.control(2).sendSignal(SIGSTOP);
    for (const int number : {0, 1}) {
        waitUntil([&] { return site.hasLogged(number, "node_started"); }, "a control VM to start");
        site.control(number).sendSignal(SIGKILL);
        site.control(number).waitForExit();
    }
    site.control(2).sendSignal(SIGCONT);
    waitUntil([&] { return site.hasLogged(2, "node_started"); }, "the last control VM to start");
    site.control(2).sendSignal(SIGKILL);
    site.control(2).waitForExit();
    for (const int number : {0, 1, 2})
        site.restartControl(number);
    site.configure(SiteRoutes);
}

TEST_CASE("a site: servers that keep their connections to control open don't shut operators out")
{
    LineSite site;
    site.configure(SiteRoutes);
    std::vector<int> sockets;
    for (int count = 0; count < 40; ++count) {
        sockets.push_back(connectTo(site.controlPort()));
        const std::string request = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
        CHECK(::send(sockets.back(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
    }
    CHECK(statusOf(site.controlPort(), "PUT", "/config", SiteRoutes) == 200);
    for (const int socket : sockets)
        ::close(socket);
}

TEST_CASE("a site: bad input is refused and disturbs nothing")
{
    LineServer server("db", "i-1");
    LineSite site;
    site.configure(SiteRoutes);
    site.announce(server);
    struct Row
    {
        const char *method;
        const char *path;
        const char *body;
    };
    const Row rows[] = {
            {"PUT", "/config", "{\"version\":9"},
            {"PUT", "/config", "{\"version\":9,\"routes\":[{}],\"services\":[]}"},
            {"PUT", "/instances/i-2", "{\"service\":5}"},
            {"PUT", "/instances/i-2", "\xff"},
            {"PUT", "/instances/i-%FF", GoodReport},
            {"PUT", "/instances/i%202", GoodReport},
            {"PUT", "/instances/i-2%0D%0ABYE", GoodReport},
            {"PUT", "/instances/i-1%00", GoodReport},
            {"PUT", "/instances/", GoodReport},
            {"DELETE", "/instances/i-%FF", ""},
            {"POST", "/instances/i-1", "{}"},
            {"GET", "/nowhere", ""},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.body));
        const int status = statusOf(site.controlPort(), row.method, row.path, row.body);
        CHECK(status >= 400);
        CHECK(status < 500);
    }
    CHECK(HttpClient(site.controlPort()).get("/config").json().at("version") == 3);
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
    LineClient caller(site.callers());
    CHECK(caller.ask("START casks me") == "READY I -");
}

TEST_CASE("a site: a write that waits at a frozen home is not run once its outcome is unknown")
{
    LineServer server("db", "i-1");
    LineSite site(LineSite::Shape {1, 2, 0, std::nullopt});
    site.configure(SiteRoutes);
    site.announce(server);
    waitUntil([&site] { return site.isReady(0) && site.isReady(1); }, "the entry VMs to be ready");
    // The server and the first entry VM are in one failure domain, so that one is the home.
    waitUntil(
            [&site] {
                return site.logs().find("event=home_reached vm=entry-1") != std::string::npos;
            },
            "the second entry VM to reach the home");
    LineClient caller(site.callers(1));
    CHECK(caller.ask("START casks me") == "READY I -");
    caller.send("QUERY w1 WRITE x 1");
    CHECK(caller.ask("") == "DONE proof");
    CHECK(caller.ask("").rfind("READY I", 0) == 0);

    site.entry(0).sendSignal(SIGSTOP);
    caller.send("QUERY w2 WRITE x 2");
    CHECK(caller.ask("").rfind("ERR INDOUBT", 0) == 0);
    site.entry(0).sendSignal(SIGCONT);
    LineClient other(site.callers(0));
    CHECK(other.ask("START casks me") == "READY I -");
    other.send("QUERY q1 READ x");
    CHECK(other.ask("") == "ROW row");
    CHECK(server.commits() == 1);
}
