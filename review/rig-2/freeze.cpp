// An entry VM stands still for some seconds while a server is dark, and goes on after the server is
// back. The process must survive that.
//
//   freeze PROGRAM FOLDER RECORD (0 or 1: whether there is trouble)

#include "clients.h"
#include "databases.h"
#include "site.h"

#include <cstdio>
#include <filesystem>
#include <string_view>

using namespace rig;
using namespace std::chrono_literals;

namespace {

constexpr int HeldRule = 0;
constexpr int BrokenRule = 1;
constexpr int NotRun = 2;

constexpr int Entries = 3;
constexpr int SessionsPerEntry = 70;
constexpr auto SessionPause = 3s; // most sessions are idle most of the time
constexpr auto LongestDark = 6500ms;
constexpr auto DarkAfterStop = 400ms;
constexpr auto FreezeTime = 3500ms;
constexpr auto RestTime = 5s; // between two rounds

const char *const DesiredState = R"({"version":3,
    "routes":[{"name":"r","databaseName":"casks","pathPrefix":"/","type":"read_own_writes",
               "timeoutMs":800,"targetLatencyMs":400,"priority":1,"service":"db",
               "maxAttempts":2,"maxStalenessMs":2500}],
    "services":[{"name":"db","healthPath":"/health","maxConnections":46,"protocol":"h1",
                 "tls":false,"syncReplicas":1}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000,"txIdleMs":3000}})";

// Stops the VM while it has a connection to the dark server under way, which a VM has for about a
// quarter of the time. Returns whether the process still runs.
bool playRound(Site &site, Databases &databases, Record &record, int entry, std::atomic<int> &frozen)
{
    const int server = databases.primary();
    const std::string name = "front-" + std::to_string(entry);
    databases.setDark(server, true);
    const auto until = std::chrono::steady_clock::now() + LongestDark;
    while (!isConnecting(site.entry(entry).id(), databases.address(server))
           && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    site.entry(entry).sendSignal(SIGSTOP);
    record.add(name + " stands still");
    frozen = entry;
    std::this_thread::sleep_for(DarkAfterStop);
    databases.setDark(server, false);
    std::this_thread::sleep_for(FreezeTime - DarkAfterStop);
    site.entry(entry).sendSignal(SIGCONT);
    record.add(name + " goes on");
    std::this_thread::sleep_for(1s);
    frozen = -1;
    std::this_thread::sleep_for(RestTime);
    return site.entry(entry).isRunning();
}

int play(const std::string &program, const std::string &folder, Record &record, bool hasTrouble)
{
    Databases databases("db", 3, 3, record);
    Site site(program, folder, {3, Entries, databases.promotions()});
    if (!site.configure(DesiredState, 15s))
        return NotRun;
    databases.announceTo({site.controlPort(0), site.controlPort(1), site.controlPort(2)});
    if (!site.waitUntilReady(15s))
        return NotRun;
    std::atomic<int> frozen = -1;
    Clients::Settings settings;
    settings.database = "casks";
    settings.sessions = SessionsPerEntry * Entries;
    settings.pause = SessionPause;
    // The balancer takes out the VM that stands still.
    settings.ingress = [&](int session) {
        const int entry = session % Entries;
        return site.callers(entry == frozen ? (entry + 1) % Entries : entry);
    };
    const Clients clients(settings, record);
    std::this_thread::sleep_for(3s);
    if (clients.served() == 0)
        return NotRun;
    for (const int entry : {1, 2, 0}) {
        if (!hasTrouble) {
            std::this_thread::sleep_for(RestTime);
            continue;
        }
        if (!playRound(site, databases, record, entry, frozen)) {
            record.add("front-" + std::to_string(entry)
                       + " has ended by itself: " + site.entry(entry).ending());
            record.add(site.entry(entry).logEnd());
            return BrokenRule;
        }
    }
    record.add("served " + std::to_string(clients.served()) + ", promotions "
               + std::to_string(databases.promotionCount()));
    for (int entry = 0; entry < Entries; ++entry) {
        if (!site.entry(entry).isRunning())
            return BrokenRule;
    }
    return HeldRule;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return NotRun;
    Record record(argv[3]);
    try {
        const int result = play(argv[1], argv[2], record, std::string_view(argv[4]) != "0");
        std::printf("result %d\n", result);
        return result;
    } catch (const std::exception &fault) {
        record.add(std::string("could not run: ") + fault.what());
        return NotRun;
    }
}
