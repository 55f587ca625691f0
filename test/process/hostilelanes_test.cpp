// Clients of an entry VM's port for lanes that don't keep to its limits, or that hold on to what
// they were given. None of them may end the entry VM, fill its memory or keep ordinary callers from
// being served.
#include "process/support/hostileclients.h"
#include "process/support/linesite.h"
#include "process/support/loweredlimit.h"
#include "process/support/processfootprint.h"
#include "process/support/waituntil.h"
#include "site/lanewire.h"

#include <doctest/doctest.h>
#include <zlib.h>

using namespace nutmegtide;
using namespace nutmegtide::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MebiByte = 1024 * 1024;
constexpr std::size_t LongestFrame = 8 * MebiByte;
constexpr std::size_t MostResident = 128 * MebiByte; // of an entry VM of 160 MB
constexpr std::size_t MostDescriptors = 250;
constexpr std::size_t CompressedFlag = 0x80000000;
// A fault must not fill the machine's memory: an allocation beyond this fails at once.
constexpr rlim_t MostAddressSpace = 8'192 * MebiByte;

std::unique_ptr<LineSite> startSite()
{
#ifndef __SANITIZE_ADDRESS__ // a sanitizer reserves more addresses
    const LoweredLimit addressSpace(RLIMIT_AS, MostAddressSpace);
#endif
    const LoweredLimit descriptors(RLIMIT_NOFILE, 256);
    return std::make_unique<LineSite>(
            LineSite::Shape {1, 1, 0, {}, "[connections]\nmemory = \"160MiB\"\n"});
}

// A site with one entry VM, which is home of its one backend server.
struct LanesFixture
{
    LanesFixture()
    {
        site.configure(SiteRoutes);
        site.announce(server);
        waitUntil([this] { return site.isReady(); }, "the entry VM to be ready");
        waitUntil([this] { return isServed(); }, "an ordinary caller to be served at first");
    }
    // Whether an ordinary caller is served.
    bool isServed() const
    {
        try {
            LineClient caller(site.callers());
            return caller.ask("START casks") == "READY I -"
                    && caller.ask("QUERY 1 READ item") == "ROW row";
        } catch (const SocketError &) {
            return false;
        }
    }
    // An ordinary caller is served, and the entry VM lives within its bounds.
    void check()
    {
        REQUIRE(site.entry().isRunning());
        CHECK_NOTHROW(waitUntil([this] { return !site.entry().isRunning() || isServed(); },
                                "an ordinary caller to be served"));
        REQUIRE(site.entry().isRunning());
        const pid_t process = site.entry().id();
#ifndef __SANITIZE_ADDRESS__ // a sanitizer's own memory is no part of the bound
        MESSAGE("peak resident MB: ", peakResidentBytes(process) / 1'000'000,
                ", descriptors: ", openDescriptors(process));
        CHECK(peakResidentBytes(process) <= MostResident);
#endif
        CHECK(openDescriptors(process) <= MostDescriptors);
    }
    void checkCrowd(const Crowd &crowd)
    {
        const HostileClients clients(site.lanes(), crowd);
        check();
    }

    LineServer server {"db", "i-1"};
    const std::unique_ptr<LineSite> running = startSite();
    LineSite &site = *running;
};

// Returns a frame with a body that announces `length` bytes.
std::string frameOf(std::size_t length, const std::string &body)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(length >> shift));
    return bytes + body;
}

std::string compressedFrameOf(const std::string &body)
{
    uLongf size = compressBound(body.size());
    std::string zlib(size, '\0');
    compress2(reinterpret_cast<Bytef *>(zlib.data()), &size,
              reinterpret_cast<const Bytef *>(body.data()), body.size(), Z_BEST_COMPRESSION);
    // Without zlib's head and checksum, as frames are compressed.
    const std::string deflated = zlib.substr(2, size - 6);
    return frameOf(deflated.size() | CompressedFlag, deflated);
}

// Returns the body of a frame with a list of requests that announces `count` empty ones.
std::string emptyRequests(std::size_t count, std::size_t sent)
{
    constexpr char ListField = 0x19; // field 1 of the compact protocol
    constexpr char LongListOfStructs = static_cast<char>(0xfc);
    std::string body {ListField, LongListOfStructs};
    for (; count >= 0x80; count >>= 7)
        body.push_back(static_cast<char>(0x80 | (count & 0x7f)));
    body.push_back(static_cast<char>(count));
    return body + std::string(sent + 1, '\0'); // each ends with a zero, and so does the frame
}

// Returns frames with one command each, for as many lanes.
std::string framesOf(ServerCommandKind kind, int lanes, std::size_t bytes)
{
    FrameWriter writer;
    std::string text;
    for (int lane = 1; lane <= lanes; ++lane) {
        ServerCommand command;
        command.kind = kind;
        command.request = RequestId("q" + std::to_string(lane));
        command.name = kind == ServerCommandKind::SetValue ? "name" : "";
        command.argument = std::string(bytes, 'x');
        wire::LaneFrame frame;
        wire::LaneRequest request;
        request.lane = lane;
        request.server = "i-1";
        request.commands = {toWire(command)};
        request.rank = 1;
        request.patienceMicroseconds = 3'600'000'000;
        frame.requests = {request};
        text += writer.write(frame, FrameWriter::Way::StaysInDomain);
    }
    return text;
}

std::string question()
{
    wire::LaneFrame frame;
    frame.isQuestion = true;
    return FrameWriter().write(frame, FrameWriter::Way::StaysInDomain);
}

} // namespace

// Guards against incomplete frames that together fill the memory.
TEST_CASE("hostile lanes: frames of legal size that stop before their end")
{
    LanesFixture fixture;
    SUBCASE("sent at once")
    {
        fixture.checkCrowd({40, frameOf(LongestFrame, std::string(LongestFrame * 9 / 10, 'x'))});
    }
    SUBCASE("in small pieces")
    {
        fixture.checkCrowd({40, frameOf(LongestFrame, std::string(MebiByte / 8, 'x')), 16});
    }
    SUBCASE("behind a whole frame")
    {
        fixture.checkCrowd(
                {40, question() + frameOf(LongestFrame, std::string(LongestFrame * 9 / 10, 'x'))});
    }
}

// Guards against frames over the limit that are kept.
TEST_CASE("hostile lanes: announced frames far over the limit")
{
    LanesFixture fixture;
    fixture.checkCrowd({20, frameOf(0x7fffffff, std::string(LongestFrame, 'x'))});
}

// Guards against frames of a few bytes that take the memory and time of millions.
TEST_CASE("hostile lanes: frames that expand to far more than they announce")
{
    LanesFixture fixture;
    std::string frame;
    int count = 1;
    SUBCASE("a compressed body over the limit")
    {
        frame = compressedFrameOf(std::string(64 * MebiByte, '\0'));
    }
    SUBCASE("many compressed bodies at the limit")
    {
        frame = compressedFrameOf(std::string(LongestFrame, '\0'));
        count = 20;
    }
    SUBCASE("compressed lists of millions of elements")
    {
        frame = compressedFrameOf(emptyRequests(4'000'000, 4'000'000));
        count = 2;
    }
    SUBCASE("lists of millions of elements")
    {
        frame = frameOf(4'000'020, emptyRequests(4'000'000, 4'000'013));
    }
    SUBCASE("lists that announce millions of elements and have none")
    {
        const std::string body = emptyRequests(4'000'000, 0);
        frame = frameOf(body.size(), body);
    }
    SUBCASE("lists that announce more elements than memory can hold")
    {
        const std::string body = emptyRequests(0x7fffffff, 0);
        frame = frameOf(body.size(), body);
    }
    fixture.checkCrowd({8, repeated(frame, count)});
}

// Guards against statements and lanes that are held for a link in any number.
TEST_CASE("hostile lanes: many frames sent without waiting for the answers")
{
    LanesFixture fixture;
    SUBCASE("statements that wait for the server")
    {
        fixture.server.setHolding(true);
        const HostileClients clients(fixture.site.lanes(),
                                     {8, framesOf(ServerCommandKind::Read, 80, MebiByte / 2)});
        fixture.server.setHolding(false);
        fixture.check();
    }
    SUBCASE("many statements of few bytes")
    {
        fixture.checkCrowd({8, framesOf(ServerCommandKind::Read, 20'000, 1)});
    }
    SUBCASE("lanes with session values")
    {
        fixture.checkCrowd({8, framesOf(ServerCommandKind::SetValue, 80, MebiByte / 2)});
    }
    SUBCASE("lanes with nothing")
    {
        fixture.checkCrowd({8, framesOf(ServerCommandKind::Reset, 40'000, 0)});
    }
}

// Guards against answers that nobody reads and that fill the memory.
TEST_CASE("hostile lanes: many questions, and none of the answers is read")
{
    LanesFixture fixture;
    fixture.checkCrowd({60, framesOf(ServerCommandKind::Read, 20, MebiByte / 4)});
}

// Guards against links that use up the descriptors.
TEST_CASE("hostile lanes: more links than descriptors")
{
    LanesFixture fixture;
    std::string text;
    SUBCASE("that send nothing")
    {
        text = "";
    }
    SUBCASE("that stop within a frame")
    {
        text = frameOf(100, "x");
    }
    SUBCASE("that have sent a whole frame")
    {
        text = question();
    }
    fixture.checkCrowd({400, text});
}
