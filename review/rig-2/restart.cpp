// The primary is cut off from the control VMs and one of three entry VMs. The control VMs order
// another server to take over. Until the order takes effect, the third server crashes and is
// started again. No acknowledged commit may be missing from the log of the server that is promoted.
//
//   restart PROGRAM FOLDER RECORD (0 or 1: whether there is trouble)

#include "clients.h"
#include "databases.h"
#include "site.h"

#include <cstdio>
#include <string_view>

using namespace rig;
using namespace std::chrono_literals;

namespace {

constexpr int HeldRule = 0;
constexpr int BrokenRule = 1;
constexpr int NotRun = 2;

constexpr int Entries = 3;
constexpr int Servers = 3;
constexpr auto PromoteTime = 600ms; // as on the site's sheet
constexpr auto CrashAfter = 150ms; // from the order
constexpr auto DownTime = 50ms;
constexpr auto CutTime = 5s;
constexpr int Rounds = 8;
constexpr auto RestTime = 4s;

const char *const DesiredState = R"({"version":3,
    "routes":[{"name":"r","databaseName":"casks","pathPrefix":"/","type":"read_own_writes",
               "timeoutMs":800,"targetLatencyMs":250,"priority":1,"service":"db",
               "maxAttempts":2,"maxStalenessMs":2500}],
    "services":[{"name":"db","healthPath":"/health","maxConnections":46,"protocol":"h1",
                 "tls":false,"syncReplicas":1}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000,"txIdleMs":3000}})";

// Returns how many acknowledged commits the present primary's log lacks.
int countLost(const Databases &databases, const Clients &clients, Record &record)
{
    int lost = 0;
    for (const std::string &request : clients.acknowledged()) {
        if (databases.count(request) != 0)
            continue;
        record.add("acknowledged, and not in the log of the promoted server: " + request);
        ++lost;
    }
    return lost;
}

void playRound(Databases &databases)
{
    const int primary = databases.primary();
    const int orders = databases.orderCount();
    const auto end = std::chrono::steady_clock::now() + CutTime;
    databases.setCut(primary, true);
    while (databases.orderCount() == orders && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    const int third = Servers - primary - databases.orderedServer();
    if (databases.orderCount() > orders && third >= 0 && third < Servers && third != primary) {
        std::this_thread::sleep_for(CrashAfter);
        databases.crash(third);
        std::this_thread::sleep_for(DownTime);
        databases.restart(third);
    }
    std::this_thread::sleep_until(end);
    databases.setCut(primary, false);
    std::this_thread::sleep_for(RestTime);
}

int play(const std::string &program, const std::string &folder, Record &record, bool hasTrouble)
{
    Databases databases("db", Servers, 3, record);
    databases.setPromoteTime(PromoteTime);
    Site site(program, folder, {3, Entries, databases.promotions()});
    if (!site.configure(DesiredState, 15s))
        return NotRun;
    databases.announceTo({site.controlPort(0), site.controlPort(1), site.controlPort(2)});
    if (!site.waitUntilReady(15s))
        return NotRun;
    Clients::Settings settings;
    settings.database = "casks";
    settings.sessions = 110;
    settings.writePercent = 35;
    settings.ingress = [&](int session) { return site.callers(session % Entries); };
    const Clients clients(settings, record);
    std::this_thread::sleep_for(5s);
    if (clients.served() == 0)
        return NotRun;
    int lost = 0;
    for (int round = 0; round < Rounds && lost == 0; ++round) {
        if (hasTrouble)
            playRound(databases);
        else
            std::this_thread::sleep_for(CutTime);
        lost = countLost(databases, clients, record);
    }
    record.add("acknowledged " + std::to_string(clients.acknowledged().size()) + " commits, lost "
               + std::to_string(lost) + ", promotions "
               + std::to_string(databases.promotionCount()));
    return lost > 0 ? BrokenRule : HeldRule;
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
