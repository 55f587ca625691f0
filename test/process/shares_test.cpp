#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <list>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int Limit = 6; // connections that the backend server accepts
constexpr int CallersPerVm = 3;
constexpr int Progress = 40; // statements that show that a VM's callers go on
// Longer than homes.share_timeout, so that the share of a VM that stands still runs out.
constexpr std::chrono::milliseconds StandstillTime {4'500};

// Callers of one VM, which write and read one after another until the end of this object.
class Load
{
public:
    explicit Load(const Endpoint &proxy)
    {
        for (int i = 0; i < CallersPerVm; ++i)
            m_threads.emplace_back([this, proxy](const std::stop_token &stop) { run(proxy, stop); });
    }

    void waitForProgress(const std::string &what) const
    {
        const int before = m_answered;
        waitUntil([&] { return m_answered >= before + Progress; }, what);
    }

private:
    void run(const Endpoint &proxy, const std::stop_token &stop)
    {
        CallerSession caller(proxy, "casks");
        while (!stop.stop_requested()) {
            try {
                const bool isWritten = caller.write("add", {{"key", "oak"}, {"amount", 1}}).status
                        == 200;
                const bool isRead = caller.read("sleep", {{"ms", 5}}).status == 200;
                m_answered += int(isWritten) + int(isRead);
                if (isWritten && isRead)
                    continue;
            } catch (const HttpError &) {
                // The VM was ended or stands still.
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::atomic<int> m_answered = 0;
    std::list<std::jthread> m_threads;
};

Json countersOf(const TestFleet &fleet)
{
    return HttpClient(fleet.server("s1")).get("/debug/counters").json();
}

} // namespace

TEST_CASE(
        "open connections stay within a server's limit while VMs are killed, restarted and stopped")
{
    TestFleet fleet({{"a1", "fd-a", true}, {"a2", "fd-a"}, {"b1", "fd-b"}, {"c1", "fd-c"}});
    fleet.addServer({"s1", "casks", "fd-a", {"s1"}, "", {"--connections", std::to_string(Limit)}});
    const Load a1(fleet.callers("a1"));
    std::optional<Load> a2(fleet.callers("a2"));
    const Load b1(fleet.callers("b1"));
    const Load c1(fleet.callers("c1"));
    a1.waitForProgress("statements through a1");
    a2->waitForProgress("statements through a2");
    b1.waitForProgress("statements through b1");
    c1.waitForProgress("statements through c1");

    fleet.kill("a2");
    a1.waitForProgress("statements through a1 after the kill");
    fleet.restart("a2");
    a2.emplace(fleet.callers("a2"));
    a2->waitForProgress("statements through a2 after its restart");

    for (const char *vm : {"b1", "a1"}) {
        fleet.sendSignal(vm, SIGSTOP);
        std::this_thread::sleep_for(StandstillTime);
        c1.waitForProgress(std::string("statements through c1 while stopped: ") + vm);
        fleet.sendSignal(vm, SIGCONT);
        (vm == std::string("b1") ? b1 : a1).waitForProgress(std::string("statements through ") + vm);
    }

    const Json counters = countersOf(fleet);
    CHECK_MESSAGE(counters.value("refused", -1) == 0, counters.dump());
    CHECK_MESSAGE(counters.value("peak", -1) <= Limit, counters.dump());
    CHECK_MESSAGE(counters.value("peak", -1) >= 2, counters.dump());
}

TEST_CASE("a VM that is no longer home says so and closes its connections")
{
    TestFleet fleet({{"a1", "fd-a", true}, {"a2", "fd-a"}});
    fleet.addServer({"s1", "casks", "fd-a", {"s1"}, "", {}});
    const auto homes = [&] {
        const Json status = HttpClient(fleet.operators("a1")).get("/v1/status").json();
        return status.value("/groups/casks/homes"_json_pointer, Json::array());
    };
    waitUntil([&] { return homes().size() == 2; }, "both VMs are home");
    // Standbys come last.
    const std::string standby = homes().back();
    const auto connections = [&] { return countersOf(fleet).value("connections", 0); };
    {
        const Load load(fleet.callers(standby));
        waitUntil([&] { return connections() >= 4; }, "the standby's connections");
    }
    const Json change {{"change_id", "no-standby"},
                       {"base_revision", 0},
                       {"toml", "[homes]\nstandbys = 0\n"}};
    waitUntil(
            [&] {
                return HttpClient(fleet.operators("a1")).post("/v1/config", change).status == 200;
            },
            "acceptance");
    const auto isRecorded = [&] {
        const auto timeline = HttpClient(fleet.operators(standby)).get("/v1/timeline");
        return timeline.body.find(R"("home":"no")") != std::string::npos;
    };
    waitUntil(isRecorded, "home_changed on the time line");
    // What is left is the other home's: one watches positions, one may have run a statement.
    waitUntil([&] { return connections() <= 2; }, "the end of the standby's connections");
    CallerSession caller(fleet.callers(standby), "casks");
    CHECK(caller.write("add", {{"key", "oak"}, {"amount", 1}}).status == 200);
}
