#include "process/support/callersession.h"
#include "process/support/testfleet.h"
#include "process/support/waituntil.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int Callers = 6;
constexpr int RequestsBefore = 100; // answered in all before the stop
constexpr int RequestsAfter = 100; // and after it
constexpr auto HealthInterval = std::chrono::milliseconds(50);

// The balancer before the fleet: it offers the VMs whose health check passes.
class Balancer
{
public:
    explicit Balancer(const std::vector<Endpoint> &proxies)
        : m_proxies(proxies)
        , m_healthy(proxies)
        , m_thread([this](const std::stop_token &stop) { run(stop); })
    { }

    std::vector<Endpoint> healthy() const
    {
        const std::lock_guard lock(m_mutex);
        return m_healthy;
    }

private:
    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            std::vector<Endpoint> healthy;
            for (const Endpoint &proxy : m_proxies) {
                if (isHealthy(proxy))
                    healthy.push_back(proxy);
            }
            {
                const std::lock_guard lock(m_mutex);
                m_healthy = healthy;
            }
            std::this_thread::sleep_for(HealthInterval);
        }
    }

    static bool isHealthy(const Endpoint &proxy)
    {
        try {
            return HttpClient(proxy).get("/healthz").status == 200;
        } catch (const HttpError &) {
            return false;
        }
    }

    const std::vector<Endpoint> m_proxies;
    mutable std::mutex m_mutex;
    std::vector<Endpoint> m_healthy;
    std::jthread m_thread;
};

// What all callers saw.
struct Tally
{
    std::atomic<int> answered = 0;
    std::atomic<int> cut = 0; // no answer, or one other than the result
    std::mutex mutex;
    std::string firstCut;

    void addCut(const std::string &what)
    {
        ++cut;
        const std::lock_guard lock(mutex);
        if (firstCut.empty())
            firstCut = what;
    }
};

// Writes and reads its own write in turn; it moves on where the balancer says so.
void call(const Balancer &balancer, int number, Tally &tally, const std::stop_token &stop)
{
    std::size_t turn = static_cast<std::size_t>(number);
    Endpoint proxy = balancer.healthy()[turn % balancer.healthy().size()];
    CallerSession session(proxy, "casks");
    const std::string key = "k" + std::to_string(number);
    for (int value = 0; !stop.stop_requested(); ++value) {
        const std::vector<Endpoint> healthy = balancer.healthy();
        if (std::find(healthy.begin(), healthy.end(), proxy) == healthy.end()) {
            proxy = healthy.at(++turn % healthy.size());
            session.moveTo(proxy);
        }
        try {
            const CallerAnswer written = session.write("put", {{"key", key}, {"value", value}});
            const CallerAnswer read = session.read("get", {{"key", key}}, std::chrono::seconds(1));
            for (const CallerAnswer &answer : {written, read}) {
                if (answer.status == 200)
                    ++tally.answered;
                else
                    tally.addCut(answer.body.dump());
            }
            if (read.status == 200 && read.result().value("value", -1) != value)
                tally.addCut("read " + read.body.dump() + " after " + std::to_string(value));
        } catch (const HttpError &fault) {
            tally.addCut(fault.what());
        }
    }
}

} // namespace

TEST_CASE("a planned stop of a VM under load cuts no request and no open transaction")
{
    TestFleet fleet({{"a1", "fd-a", true}, {"b1", "fd-b", true}, {"c1", "fd-c", true}});
    const std::vector<std::string> voters {"s1", "s2", "s3"};
    // Enough slots that no refusal for want of one is taken for a cut.
    const std::vector<std::string> slots {"--slots", "32"};
    fleet.addServer({"s1", "casks", "fd-a", voters, "", slots});
    fleet.addServer({"s2", "casks", "fd-b", voters, "s1", slots});
    fleet.addServer({"s3", "casks", "fd-c", voters, "s1", slots});
    for (const char *node : {"a1", "b1", "c1"}) {
        CallerSession first(fleet.callers(node), "casks");
        waitUntil(
                [&] {
                    return first.write("put", {{"key", "first"}, {"value", 0}}).status == 200;
                },
                "a write through " + std::string(node));
    }
    const Balancer balancer({fleet.callers("a1"), fleet.callers("b1"), fleet.callers("c1")});
    Tally tally;
    std::vector<std::jthread> callers;
    for (int number = 0; number < Callers; ++number) {
        callers.emplace_back(
                [&, number](const std::stop_token &stop) { call(balancer, number, tally, stop); });
    }
    waitUntil([&] { return tally.answered >= RequestsBefore; }, "requests before the stop");

    CallerSession open(fleet.callers("b1"), "casks");
    const CallerAnswer begun = open.begin();
    REQUIRE_MESSAGE(begun.status == 200, begun.body.dump());
    const std::string id = begun.body.value("transaction", "");
    REQUIRE_FALSE(id.empty());
    fleet.sendSignal("b1", SIGTERM);
    waitUntil([&] { return balancer.healthy().size() == 2; }, "the balancer sees the drain");
    open.moveTo(fleet.callers("c1"));
    const Json statement {{"statement", "put"},
                          {"parameters", {{"key", "open"}, {"value", "kept"}}},
                          {"access", "write"}};
    const CallerAnswer put = open.inTransaction(id, "statements", statement);
    CHECK_MESSAGE(put.status == 200, put.body.dump());
    const CallerAnswer committed = open.inTransaction(id, "commit");
    CHECK_MESSAGE(committed.status == 200, committed.body.dump());
    CHECK(fleet.stop("b1") == ExitStatus {0, 0});

    const int answeredAtStop = tally.answered;
    waitUntil([&] { return tally.answered >= answeredAtStop + RequestsAfter; },
              "requests after the stop");
    callers.clear();
    const int answered = tally.answered;
    const int cut = tally.cut;
    MESSAGE("answered: " << answered << ", cut: " << cut);
    CHECK_MESSAGE(cut == 0, tally.firstCut);
}
