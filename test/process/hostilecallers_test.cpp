// Callers of a site that don't keep to the protocol's limits, or that hold on to what they were
// given. None of them may end the entry VM, fill its memory or keep other callers from being
// served. The crowds are sized so that the entry VM of commit 2504acd fails each test.
#include "process/support/linesite.h"
#include "process/support/processfootprint.h"
#include "process/support/waituntil.h"

#include <doctest/doctest.h>
#include <list>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace nutmegtide;
using namespace nutmegtide::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MebiByte = 1024 * 1024;
constexpr std::size_t MostResident = 96 * MebiByte; // of an entry VM of 160 MB

// A site with one entry VM and one backend server, and callers that send without reading.
struct HostileFixture
{
    HostileFixture()
    {
        site.configure(SiteRoutes);
        site.announce(server);
        waitUntil([this] { return site.isReady(); }, "the entry VM to be ready");
    }
    ~HostileFixture()
    {
        for (const int caller : crowd)
            ::close(caller);
    }
    // Opens a connection and sends as much of the text as the entry VM takes within `patience`.
    void join(const std::string &text, std::chrono::milliseconds patience)
    {
        const int caller = connectTo(site.callers());
        REQUIRE(caller >= 0);
        crowd.push_back(caller);
        const timeval limit {0, static_cast<suseconds_t>(patience.count() * 1'000)};
        setsockopt(caller, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(caller, text.data() + sent, text.size() - sent,
                                         MSG_NOSIGNAL);
            if (count <= 0)
                return;
            sent += static_cast<std::size_t>(count);
        }
    }
    // An ordinary caller is served, and the entry VM lives within its bounds.
    void checkService(std::size_t mostDescriptors)
    {
        REQUIRE(site.entry().isRunning());
        LineClient caller(site.callers());
        CHECK(caller.ask("START casks") == "READY I -");
        // Each one is a turn in which the crowd's bytes are read too.
        for (int turn = 0; turn < 50; ++turn)
            caller.ask("QUERY 1 READ item");
        caller.ask("BYE");
        LineClient last(site.callers());
        CHECK(last.ask("START casks") == "READY I -");
        CHECK(last.ask("QUERY 1 READ item") == "ROW row");
#ifndef __SANITIZE_ADDRESS__ // a sanitizer's own memory is no part of the bound
        CHECK(peakResidentBytes(site.entry().id()) <= MostResident);
#endif
        CHECK(openDescriptors(site.entry().id()) <= mostDescriptors);
        CHECK(site.entry().isRunning());
    }

    LineServer server {"db", "i-1"};
    LineSite site {{1, 1, 0, {}, "[connections]\nmemory = \"160MiB\"\n"}};
    std::list<int> crowd; // sockets
};

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

// Guards against queues of unanswered statements that hold any number of bytes.
TEST_CASE("hostile callers: statements of legal size, sent ahead on a few connections")
{
    HostileFixture fixture;
    fixture.server.setHolding(true);
    const std::string statement = "QUERY 1 WRITE item " + std::string(MebiByte / 2, 'x') + "\r\n";
    for (int caller = 0; caller < 8; ++caller)
        fixture.join("START casks\r\n" + repeated(statement, 40), 300ms);
    fixture.server.setHolding(false);
    fixture.checkService(200);
}

// Guards against incomplete messages that together fill the memory.
TEST_CASE("hostile callers: messages of legal size that stop before their end")
{
    HostileFixture fixture;
    const std::string part = "START casks\r\nQUERY 1 WRITE item "
            + std::string(MebiByte * 9 / 10, 'x');
    for (int caller = 0; caller < 160; ++caller)
        fixture.join(part, 300ms);
    fixture.checkService(300);
}

// Guards against answers that nobody reads and that fill the memory.
TEST_CASE("hostile callers: many questions, and none of the answers is read")
{
    HostileFixture fixture;
    const std::string question = "QUERY 1 READ " + std::string(MebiByte / 4, 'x') + "\r\n";
    for (int caller = 0; caller < 40; ++caller)
        fixture.join("START casks\r\n" + repeated(question, 20), 300ms);
    fixture.checkService(300);
}

// Guards against a message without an end, and against one in pieces of a few bytes.
TEST_CASE("hostile callers: messages far over the limit, whole and in small pieces")
{
    HostileFixture fixture;
    const std::string endless = "START casks\r\nQUERY 1 WRITE item "
            + std::string(8 * MebiByte, 'x');
    for (int caller = 0; caller < 40; ++caller)
        fixture.join(endless, 300ms);
    for (int caller = 0; caller < 10; ++caller) {
        fixture.join("START casks\r\n", 300ms);
        for (int piece = 0; piece < 2'000; ++piece) {
            if (::send(fixture.crowd.back(), "QUERY ", 6, MSG_NOSIGNAL) < 0)
                break;
        }
    }
    fixture.checkService(300);
}

// Guards against connections without a session that use up the descriptors.
TEST_CASE("hostile callers: more connections than descriptors, which send nothing or half a line")
{
    rlimit before {};
    getrlimit(RLIMIT_NOFILE, &before);
    const rlimit lowered {256, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered); // inherited by the site's processes
    HostileFixture fixture;
    setrlimit(RLIMIT_NOFILE, &before);
    for (int caller = 0; caller < 400; ++caller)
        fixture.join(caller % 2 == 0 ? "STA" : "", 300ms);
    fixture.checkService(250);
}
