// Clients of the HTTP listeners that stop half-way, stay, or send more than is allowed. None of
// them may end the process, fill its memory or keep an ordinary request from being answered.
#include "process/support/hostileclients.h"
#include "process/support/httpclient.h"
#include "process/support/linesite.h"
#include "process/support/processfootprint.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"

#include <doctest/doctest.h>

using namespace nutmegtide;
using namespace nutmegtide::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MebiByte = 1024 * 1024;
constexpr std::size_t MostResident = 96 * MebiByte; // of a proxy; it has about 21 MB at its start
constexpr std::size_t MostResidentControl = 128 * MebiByte; // of a control VM of 256 MB
constexpr std::size_t MostDescriptors = 250;
constexpr auto AnswerTime = 20s; // for an ordinary request, generous on a busy machine

std::string headerOf(const std::string &method, const std::string &path)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: a\r\n";
}

std::string partOfBody(const std::string &method, const std::string &path, std::size_t announced,
                       std::size_t sent)
{
    return headerOf(method, path) + "Content-Length: " + std::to_string(announced) + "\r\n\r\n"
            + std::string(sent, 'x');
}

std::string chunksWithoutEnd(const std::string &method, const std::string &path, std::size_t sent)
{
    constexpr std::size_t ChunkBytes = 0x1000;
    const std::string chunk = "1000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
    return headerOf(method, path) + "Transfer-Encoding: chunked\r\n\r\n"
            + repeated(chunk, static_cast<int>(sent / ChunkBytes));
}

void checkFootprint(pid_t process, [[maybe_unused]] std::size_t mostResident)
{
#ifndef __SANITIZE_ADDRESS__ // a sanitizer's own memory is no part of the bound
    const std::size_t resident = peakResidentBytes(process);
    MESSAGE("peak resident MB: ", resident / 1'000'000);
    CHECK(resident > 0);
    CHECK(resident <= mostResident);
#endif
    CHECK(openDescriptors(process) <= MostDescriptors);
}

const char *const StatementPath = "/v1/databases/none/statements";

// A proxy has 64 threads for callers and 4 for operators.
void checkProxy(bool isAtOperators, const Crowd &crowd)
{
    TestFleet fleet({NodeOptions {"a1", "fd-a"}});
    const pid_t process = fleet.processId("a1");
    const Json body {{"statement", "get"}, {"parameters", {{"key", "oak"}}}};
    const int usual = HttpClient(fleet.callers("a1")).post(StatementPath, body).status;
    const Endpoint target = isAtOperators ? fleet.operators("a1") : fleet.callers("a1");
    const HostileClients clients(target, crowd);
    REQUIRE(openDescriptors(process) > 0);
    CHECK(HttpClient(target, AnswerTime).get("/healthz").status == 200);
    CHECK(HttpClient(fleet.callers("a1"), AnswerTime).post(StatementPath, body).status == usual);
    checkFootprint(process, MostResident);
}

// A control VM has 24 threads for servers and operators.
void checkControl(const Crowd &crowd)
{
    LineSite site;
    site.configure(SiteRoutes);
    const HostileClients clients(site.controlPort(), crowd);
    REQUIRE(site.control().isRunning());
    CHECK(HttpClient(site.controlPort(), AnswerTime).get("/config").status == 200);
    checkFootprint(site.control().id(), MostResidentControl);
    CHECK(site.control().isRunning());
}

constexpr int ProxyClients = 300;
constexpr int ControlClients = 100;
constexpr int OperatorClients = 40;
constexpr std::size_t PartBytes = 200'000;
constexpr std::size_t MostOfBody = 900'000;
constexpr std::size_t FarTooLarge = 1024 * MebiByte;
constexpr const char *HalfHeader = "POST /v1/databases/none/statements HTTP/1.1\r\nHos";

} // namespace

// Guards against bodies that stop and hold all threads. 2504acd: an ordinary request got no answer.
TEST_CASE("hostile clients of a proxy: bodies that stop after a fifth")
{
    checkProxy(false, {ProxyClients, partOfBody("POST", StatementPath, MebiByte, PartBytes)});
}

// Guards against incomplete bodies that together fill the memory.
TEST_CASE("hostile clients of a proxy: bodies that stop shortly before their end")
{
    checkProxy(false, {ProxyClients, partOfBody("POST", StatementPath, MebiByte, MostOfBody)});
}

// Guards against connections that send nothing and hold all threads.
TEST_CASE("hostile clients of a proxy: connections that send nothing")
{
    checkProxy(false, {ProxyClients, ""});
}

// Guards against headers that stop and hold all threads.
TEST_CASE("hostile clients of a proxy: connections that stop within the header")
{
    checkProxy(false, {ProxyClients, HalfHeader});
}

// Guards against keep-alive connections without a request that hold all threads.
TEST_CASE("hostile clients of a proxy: connections that stay open after an answer")
{
    checkProxy(false, {ProxyClients, headerOf("GET", "/healthz") + "\r\n"});
}

// Guards against answers that nobody reads.
TEST_CASE("hostile clients of a proxy: pipelined requests whose answers aren't read")
{
    const std::string request = headerOf("GET", "/healthz") + "\r\n";
    checkProxy(false, {20, repeated(request, 100)});
}

// Guards against bodies over the limit that are kept or read for ever.
TEST_CASE("hostile clients of a proxy: bodies far over the limit")
{
    SUBCASE("announced")
    {
        checkProxy(false, {20, partOfBody("POST", StatementPath, FarTooLarge, 8 * MebiByte)});
    }
    SUBCASE("in chunks")
    {
        checkProxy(false, {20, chunksWithoutEnd("POST", StatementPath, 8 * MebiByte)});
    }
}

// Guards against the operators' few threads being held.
TEST_CASE("hostile clients of a proxy's operators")
{
    SUBCASE("connections that send nothing")
    {
        checkProxy(true, {OperatorClients, ""});
    }
    SUBCASE("connections that stop within the header")
    {
        checkProxy(true, {OperatorClients, HalfHeader});
    }
    SUBCASE("connections that stay open after an answer")
    {
        checkProxy(true, {OperatorClients, headerOf("GET", "/healthz") + "\r\n"});
    }
    SUBCASE("pipelined requests whose answers aren't read")
    {
        const std::string request = headerOf("GET", "/metrics") + "\r\n";
        checkProxy(true, {20, repeated(request, 100)});
    }
}

// Guards against a control VM's threads being held and its memory being filled.
TEST_CASE("hostile clients of a control VM")
{
    SUBCASE("bodies that stop after a fifth")
    {
        checkControl({ControlClients, partOfBody("PUT", "/config", MebiByte, PartBytes)});
    }
    SUBCASE("bodies that stop shortly before their end")
    {
        checkControl({ControlClients, partOfBody("PUT", "/config", 4 * MebiByte, 4 * MostOfBody)});
    }
    SUBCASE("connections that send nothing")
    {
        checkControl({ControlClients, ""});
    }
    SUBCASE("connections that stop within the header")
    {
        checkControl({ControlClients, "PUT /config HTTP/1.1\r\nHos"});
    }
    SUBCASE("connections that stay open after an answer")
    {
        checkControl({ControlClients, headerOf("GET", "/config") + "\r\n"});
    }
    SUBCASE("pipelined requests whose answers aren't read")
    {
        checkControl({20, repeated(headerOf("GET", "/config") + "\r\n", 100)});
    }
    SUBCASE("announced bodies far over the limit")
    {
        checkControl({40, partOfBody("PUT", "/config", FarTooLarge, 8 * MebiByte)});
    }
    SUBCASE("chunks without an end")
    {
        checkControl({40, chunksWithoutEnd("PUT", "/config", 8 * MebiByte)});
    }
}

// Guards against an entry VM that its balancer takes for dead.
TEST_CASE("hostile clients of an entry VM's health listener")
{
    const char *text = "";
    SUBCASE("connections that send nothing")
    {
        text = "";
    }
    SUBCASE("connections that stop within the header")
    {
        text = "GET /ready HT";
    }
    LineSite site;
    site.configure(SiteRoutes);
    const LineServer server("db", "i-1");
    site.announce(server);
    waitUntil([&site] { return site.isReady(); }, "the entry VM to be ready");
    const HostileClients clients(site.health(), {OperatorClients, text});
    REQUIRE(site.entry().isRunning());
    CHECK(HttpClient(site.health(), AnswerTime).get("/ready").status == 200);
    checkFootprint(site.entry().id(), MostResident);
    CHECK(site.entry().isRunning());
}
