// Another writer reports servers of a service that the desired state doesn't name, under ids that
// servers of the installation have as well. Those must stay in use.
//
//   foreign PROGRAM FOLDER RECORD (0 or 1: whether there is trouble)

#include "clients.h"
#include "databases.h"
#include "site.h"

#include <cstdio>
#include <string_view>
#include <unistd.h>

using namespace rig;
using namespace std::chrono_literals;

namespace {

constexpr int HeldRule = 0;
constexpr int BrokenRule = 1;
constexpr int NotRun = 2;

constexpr int Controls = 3;
constexpr int Entries = 3;
constexpr int Servers = 3;
constexpr auto PlayTime = 40s;

const char *const DesiredState = R"({"version":3,
    "routes":[{"name":"r","databaseName":"casks","pathPrefix":"/","type":"read_own_writes",
               "timeoutMs":800,"targetLatencyMs":400,"priority":1,"service":"db",
               "maxAttempts":2,"maxStalenessMs":2500}],
    "services":[{"name":"db","healthPath":"/health","maxConnections":46,"protocol":"h1",
                 "tls":false,"syncReplicas":1}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000,"txIdleMs":3000}})";

// Sends one report for each of three servers that started a little later than those of the
// installation.
void sendReports(const Site &site, const Address &address, Record &record)
{
    for (int server = 0; server < Servers; ++server) {
        const std::string body = R"({"service":"elsewhere","address":")" + address.text()
                + R"(","zone":"zone-a","version":"v1","slots":3,"phase":"ready",)"
                + R"("coldRemainingMs":0,"dbRole":"replica","sequence":1,"born":1767225601000})";
        const Address control = site.controlPort(server % Controls);
        const std::string path = "/instances/" + Databases::id(server);
        const int status = http(control, "PUT", path, body).status;
        record.add("another writer's report of " + Databases::id(server) + ": "
                   + std::to_string(status));
    }
}

int play(const std::string &program, const std::string &folder, Record &record, bool hasTrouble)
{
    Databases databases("db", 3, 3, record);
    Site site(program, folder, {Controls, Entries, databases.promotions()});
    if (!site.configure(DesiredState, 15s))
        return NotRun;
    databases.announceTo({site.controlPort(0), site.controlPort(1), site.controlPort(2)});
    if (!site.waitUntilReady(15s))
        return NotRun;
    Address elsewhere;
    const int listener = listenAt(elsewhere, 16); // where nobody answers
    if (hasTrouble)
        sendReports(site, elsewhere, record);
    std::this_thread::sleep_for(2s);
    Clients::Settings settings;
    settings.database = "casks";
    settings.sessions = 12;
    settings.ingress = [&](int session) { return site.callers(session % Entries); };
    int served = 0;
    {
        const Clients clients(settings, record);
        std::this_thread::sleep_for(PlayTime);
        served = clients.served();
    }
    ::close(listener);
    record.add("requests served: " + std::to_string(served));
    return served == 0 ? BrokenRule : HeldRule;
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
