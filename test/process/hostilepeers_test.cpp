// Clients of the ports for other processes (Thrift) of control VMs and proxies that don't keep to
// the protocol's limits, or that hold on to what they were given. None of them may end the process,
// fill its memory or keep ordinary requests and peers from being served.
#include "process/support/hostileclients.h"
#include "process/support/httpclient.h"
#include "process/support/linesite.h"
#include "process/support/loweredlimit.h"
#include "process/support/processfootprint.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"
#include "serve/peerclient.h"

#include <doctest/doctest.h>
#include <thrift/protocol/TBinaryProtocol.h>

using namespace nutmegtide;
using namespace nutmegtide::test;
using namespace std::chrono_literals;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TMemoryBuffer;

namespace {

constexpr std::size_t MebiByte = 1024 * 1024;
constexpr std::size_t LongestFrame = 16 * MebiByte;
constexpr std::size_t MostResident = 192 * MebiByte; // of a VM of 256 MB
constexpr std::size_t MostDescriptors = 250;
// A fault must not fill the machine's memory: an allocation beyond this fails at once.
constexpr rlim_t MostAddressSpace = 8'192 * MebiByte;

std::string frameOf(std::size_t length, const std::string &body)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(length >> shift));
    return bytes + body;
}

// Returns a call with a list that announces `count` records and has `sent` empty ones.
std::string callWithRecords(std::uint32_t count, std::size_t sent)
{
    using namespace apache::thrift::protocol;
    const auto memory = std::make_shared<TMemoryBuffer>();
    TBinaryProtocol protocol(memory);
    protocol.writeMessageBegin("spreadNews", T_CALL, 0);
    protocol.writeFieldBegin("news", T_STRUCT, 2);
    protocol.writeFieldBegin("servers", T_LIST, 1);
    protocol.writeListBegin(T_STRUCT, count);
    const std::string body = memory->getBufferAsString() + std::string(sent + 2, '\0');
    return frameOf(body.size(), body);
}

// Returns an ordinary call of an unknown fleet, which is refused.
std::string ordinaryCall()
{
    const auto memory = std::make_shared<TMemoryBuffer>();
    wire::PeerClient(std::make_shared<TBinaryProtocol>(memory)).send_status({});
    const std::string body = memory->getBufferAsString();
    return frameOf(body.size(), body);
}

// Returns a call of any size that a process doesn't know, which is answered.
std::string unknownCall(std::size_t bytes)
{
    using namespace apache::thrift::protocol;
    const auto memory = std::make_shared<TMemoryBuffer>();
    TBinaryProtocol protocol(memory);
    protocol.writeMessageBegin("unknown", T_CALL, 0);
    protocol.writeFieldBegin("text", T_STRING, 1);
    protocol.writeString(std::string(bytes, 'x'));
    protocol.writeFieldStop();
    const std::string body = memory->getBufferAsString();
    return frameOf(body.size(), body);
}

// Whether the process answers a call, if only with a refusal.
bool isCallAnswered(const Endpoint &peers)
{
    try {
        PeerConnection connection(peers, 2s);
        connection.setTimeout(2s);
        wire::NodeStatusReply reply;
        connection.client().status(reply, {});
        return true;
    } catch (const wire::PeerRefusal &) {
        return true;
    } catch (const apache::thrift::TException &) {
        return false;
    } catch (const PeerError &) {
        return false;
    }
}

// An ordinary request and call are answered while the crowd stays, and the process lives within its
// bounds.
void checkCrowd(pid_t process, const Endpoint &peers, const Endpoint &http, const char *path,
                const Crowd &crowd)
{
    const HostileClients clients(peers, crowd);
    REQUIRE(openDescriptors(process) > 0);
    CHECK_NOTHROW(waitUntil([&] { return statusOf(http, "GET", path, "") == 200; },
                            "an ordinary request to be answered"));
    CHECK_NOTHROW(waitUntil([&] { return isCallAnswered(peers); }, "a call to be answered"));
#ifndef __SANITIZE_ADDRESS__ // a sanitizer's own memory is no part of the bound
    const std::size_t resident = peakResidentBytes(process);
    MESSAGE("peak resident MB: ", resident / 1'000'000, ", descriptors: ", openDescriptors(process));
    CHECK(resident > 0);
    CHECK(resident <= MostResident);
#endif
    CHECK(openDescriptors(process) <= MostDescriptors);
}

template <typename Site>
std::unique_ptr<Site> start(const std::function<std::unique_ptr<Site>()> &make)
{
#ifndef __SANITIZE_ADDRESS__ // a sanitizer reserves more addresses
    const LoweredLimit addressSpace(RLIMIT_AS, MostAddressSpace);
#endif
    const LoweredLimit descriptors(RLIMIT_NOFILE, 256);
    return make();
}

void checkControl(const Crowd &crowd)
{
    const auto site = start<LineSite>([] { return std::make_unique<LineSite>(); });
    site->configure(SiteRoutes);
    checkCrowd(site->control().id(), site->controlPeers(), site->controlPort(), "/config", crowd);
    CHECK(site->control().isRunning());
}

void checkProxy(const Crowd &crowd)
{
    const auto fleet = start<TestFleet>([] {
        return std::make_unique<TestFleet>(std::vector {NodeOptions {"a1", "fd-a"}});
    });
    checkCrowd(fleet->processId("a1"), fleet->peers("a1"), fleet->callers("a1"), "/healthz", crowd);
}

} // namespace

// Guards against incomplete frames that together fill the memory.
TEST_CASE("hostile peers: frames of legal size that stop before their end")
{
    const std::string part = frameOf(LongestFrame, std::string(LongestFrame * 9 / 10, 'x'));
    SUBCASE("at a control VM")
    {
        checkControl({20, part});
    }
    SUBCASE("at a control VM, behind an ordinary call")
    {
        checkControl({20, ordinaryCall() + part});
    }
    SUBCASE("at a control VM, in small pieces")
    {
        checkControl({20, frameOf(LongestFrame, std::string(MebiByte / 8, 'x')), 16});
    }
    SUBCASE("at a proxy")
    {
        checkProxy({20, part});
    }
}

// Guards against frames over the limit that are kept.
TEST_CASE("hostile peers: announced frames far over the limit")
{
    checkControl({20, frameOf(0x7fffffff, std::string(LongestFrame, 'x'))});
}

// Guards against frames that take far more memory than they have bytes.
TEST_CASE("hostile peers: lists of many elements")
{
    SUBCASE("announced at a control VM")
    {
        checkControl({4, callWithRecords(1'000'000, 0)});
    }
    SUBCASE("sent to a control VM")
    {
        checkControl({4, callWithRecords(1'000'000, 1'000'000)});
    }
    SUBCASE("more than memory can hold, announced at a control VM")
    {
        checkControl({4, callWithRecords(0x7fffffff, 0)});
    }
    SUBCASE("announced at a proxy")
    {
        checkProxy({4, callWithRecords(1'000'000, 0)});
    }
}

// Guards against buffers that stay as large as the largest call, and against unread answers.
TEST_CASE("hostile peers: whole calls on connections that stay open")
{
    SUBCASE("large ones")
    {
        checkControl({20, unknownCall(LongestFrame * 9 / 10)});
    }
    SUBCASE("many whose answers aren't read")
    {
        checkControl({20, repeated(ordinaryCall(), 20'000)});
    }
}

// Guards against connections that use up the descriptors.
TEST_CASE("hostile peers: more connections than descriptors")
{
    SUBCASE("that send nothing to a control VM")
    {
        checkControl({400, ""});
    }
    SUBCASE("that stop within a frame at a control VM")
    {
        checkControl({400, frameOf(100, "x")});
    }
    SUBCASE("that send nothing to a proxy")
    {
        checkProxy({400, ""});
    }
}
