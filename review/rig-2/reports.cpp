// Another writer sends status reports that can't be read to the control VMs, one at a time. The
// platform kills a process that uses more memory than its VM has. The VMs must stay within it.
//
//   reports PROGRAM FOLDER RECORD (0 or 1: whether there is trouble)

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
constexpr std::size_t MemoryLimit = 256UL * 1024 * 1024; // `memoryMb` of a control VM
constexpr std::size_t ReportBytes = 262'000; // a desired state may have 262,144
constexpr auto ReportInterval = 20ms;
constexpr int KillsThatCount = 3; // of one VM in the day
constexpr int VmsThatCount = 2; // half of the core
constexpr auto PlayTime = 60s;
constexpr auto LookInterval = 20ms;
constexpr auto RestartDelay = 500ms;

const char *const DesiredState = R"({"version":3,
    "routes":[{"name":"r","databaseName":"casks","pathPrefix":"/","type":"read_own_writes",
               "timeoutMs":800,"targetLatencyMs":400,"priority":1,"service":"db",
               "maxAttempts":2,"maxStalenessMs":2500}],
    "services":[{"name":"db","healthPath":"/health","maxConnections":46,"protocol":"h1",
                 "tls":false,"syncReplicas":1}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000,"txIdleMs":3000}})";

// Sends status reports that can't be read to each control VM, one at a time.
void sendReports(const Site &site, const std::atomic<bool> &isStopping, Record &record)
{
    const std::string body(ReportBytes, '[');
    for (int number = 0; !isStopping; ++number) {
        const int control = number % Controls;
        const int status = http(site.controlPort(control), "PUT", "/instances/i-x", body).status;
        record.add("a report of " + std::to_string(ReportBytes) + " bytes to core-"
                   + std::to_string(control) + ": " + std::to_string(status));
        std::this_thread::sleep_for(ReportInterval);
    }
}

// Plays the platform for one VM: kills the process that is over its limit, and starts it again.
bool isKilled(Site &site, int control, Record &record)
{
    const std::size_t memory = memoryOf(site.control(control).id());
    if (memory <= MemoryLimit)
        return false;
    site.control(control).sendSignal(SIGKILL);
    site.control(control).waitForEnd();
    record.add("core-" + std::to_string(control) + " uses " + std::to_string(memory)
               + " bytes of memory and is killed");
    std::this_thread::sleep_for(RestartDelay);
    site.restartControl(control);
    return true;
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
    Clients::Settings settings;
    settings.database = "casks";
    settings.sessions = 12;
    settings.ingress = [&](int session) { return site.callers(session % Entries); };
    const Clients clients(settings, record);
    std::this_thread::sleep_for(3s);
    if (clients.served() == 0)
        return NotRun;
    std::atomic<bool> isStopping = false;
    std::thread writer;
    if (hasTrouble)
        writer = std::thread([&] { sendReports(site, isStopping, record); });
    std::vector<int> kills(Controls);
    std::size_t most = 0;
    const auto until = std::chrono::steady_clock::now() + PlayTime;
    int counted = 0;
    while (counted < VmsThatCount && std::chrono::steady_clock::now() < until) {
        for (int control = 0; control < Controls; ++control) {
            most = std::max(most, memoryOf(site.control(control).id()));
            int &killed = kills[static_cast<std::size_t>(control)];
            if (isKilled(site, control, record) && ++killed == KillsThatCount)
                ++counted;
        }
        std::this_thread::sleep_for(LookInterval);
    }
    isStopping = true;
    if (writer.joinable())
        writer.join();
    record.add("most memory of a control VM: " + std::to_string(most) + " bytes, limit "
               + std::to_string(MemoryLimit) + ", kills " + std::to_string(kills[0]) + ' '
               + std::to_string(kills[1]) + ' ' + std::to_string(kills[2]) + ", served "
               + std::to_string(clients.served()));
    return counted >= VmsThatCount ? BrokenRule : HeldRule;
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
