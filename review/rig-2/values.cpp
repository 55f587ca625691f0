// Clients that nobody controls set values of legal size, one after the other, and read each answer.
// The platform kills a process that uses more memory than its VM has. The VMs must stay within it.
//
//   values PROGRAM FOLDER RECORD (0 or 1: whether there is trouble)

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

constexpr int Entries = 3;
constexpr std::size_t MemoryLimit = 260UL * 1024 * 1024; // `memoryMb` of an entry VM
constexpr std::size_t ValueBytes = 512UL * 1024; // half of the longest message
constexpr int HostileSessions = 3; // at each entry VM
constexpr int KillsThatCount = 3; // of one VM in the day
constexpr int VmsThatCount = 2;
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

// Sets one value after the other until the connection ends, and then connects again.
void setValues(const Address &entry, const std::atomic<bool> &isStopping, Record &record,
               const std::string &name)
{
    const std::string value(ValueBytes, 'x');
    while (!isStopping) {
        const int socket = connectTo(entry, 1s);
        if (socket < 0) {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        LineReader reader(socket);
        std::string line;
        sendAll(socket, "START casks " + name + "\r\n");
        int count = 0;
        bool isOpen = reader.next(line, 2s) == LineReader::Result::Line
                && line.rfind("READY", 0) == 0;
        while (isOpen && !isStopping) {
            ++count;
            isOpen = sendAll(socket,
                             "QUERY h" + std::to_string(count) + " SET v" + std::to_string(count)
                                     + ' ' + value + "\r\n");
            for (int part = 0; isOpen && part < 2; ++part)
                isOpen = reader.next(line, 2s) == LineReader::Result::Line
                        && line.rfind("ERR", 0) != 0;
        }
        record.add(name + " has set " + std::to_string(count) + " values of "
                   + std::to_string(ValueBytes) + " bytes, and its session ended");
        ::close(socket);
        std::this_thread::sleep_for(100ms);
    }
}

// Plays the platform for one VM: kills the process that is over its limit, and starts it again.
bool isKilled(Site &site, int entry, Record &record)
{
    const std::size_t memory = memoryOf(site.entry(entry).id());
    if (memory <= MemoryLimit)
        return false;
    site.entry(entry).sendSignal(SIGKILL);
    site.entry(entry).waitForEnd();
    record.add("front-" + std::to_string(entry) + " uses " + std::to_string(memory)
               + " bytes of memory and is killed");
    std::this_thread::sleep_for(RestartDelay);
    site.restartEntry(entry);
    return true;
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
    Clients::Settings settings;
    settings.database = "casks";
    settings.sessions = 12;
    settings.ingress = [&](int session) { return site.callers(session % Entries); };
    const Clients clients(settings, record);
    std::this_thread::sleep_for(3s);
    if (clients.served() == 0)
        return NotRun;
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> hostile;
    for (int session = 0; hasTrouble && session < HostileSessions * Entries; ++session) {
        hostile.emplace_back([&, session] {
            setValues(site.callers(session % Entries), isStopping, record,
                      "h" + std::to_string(session));
        });
    }
    std::vector<int> kills(Entries);
    std::size_t most = 0;
    const auto until = std::chrono::steady_clock::now() + PlayTime;
    int counted = 0;
    while (counted < VmsThatCount && std::chrono::steady_clock::now() < until) {
        for (int entry = 0; entry < Entries; ++entry) {
            most = std::max(most, memoryOf(site.entry(entry).id()));
            int &killed = kills[static_cast<std::size_t>(entry)];
            if (isKilled(site, entry, record) && ++killed == KillsThatCount)
                ++counted;
        }
        std::this_thread::sleep_for(LookInterval);
    }
    isStopping = true;
    for (std::thread &thread : hostile)
        thread.join();
    record.add("most memory of an entry VM: " + std::to_string(most) + " bytes, limit "
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
