// Runs the real programs of a site as separate processes, under faults from outside, and checks what
// callers and backend servers see: no acknowledged write is lost, none takes effect twice or after
// a promise that it didn't run, a session reads its own writes, and every answer has its proof.
//
// With an odd seed the service is balanced, and its servers refuse a part of the statements as busy
// and answer a part late.
//
//   site_soak [SEED [SEEDS [SECONDS]]]

#include "process/support/linesite.h"
#include "process/support/waituntil.h"
#include "soak/soakcallers.h"
#include "soak/soakservers.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>

using namespace nutmegtide;
using namespace nutmegtide::test;

namespace {

constexpr int Controls = 3;
constexpr int Entries = 2;
constexpr int Callers = 6;
constexpr std::chrono::seconds DefaultTime {8};
constexpr std::chrono::milliseconds SignalTime {100}; // for a process to handle a signal
// The latency objective of SiteRoutes is longer.
const char *const BalancedSettings = "[balancing]\npatient_objective = \"100ms\"\n";

bool isLoaded(std::uint64_t seed)
{
    return seed % 2 == 1;
}

class Soak
{
public:
    explicit Soak(std::uint64_t seed)
        : m_random(seed)
        , m_seed(seed)
        , m_site({Controls, Entries, 1, m_servers.promotions(),
                  isLoaded(seed) ? BalancedSettings : ""})
    { }

    // Waits for the site and starts the callers. Throws TimeoutError.
    void start()
    {
        if (isLoaded(m_seed))
            m_servers.load();
        m_site.configure(SiteRoutes);
        std::vector<Endpoint> controls;
        for (int number = 0; number < Controls; ++number)
            controls.push_back(m_site.controlPort(number));
        m_servers.announceTo(controls);
        waitForEntries();
        for (int number = 0; number < Callers; ++number) {
            m_callers.push_back(
                    std::make_unique<SoakCaller>(number,
                                                 m_seed * Callers
                                                         + static_cast<std::uint64_t>(number),
                                                 m_servers.group(), [this] {
                                                     return m_site.callers(++m_choice % Entries);
                                                 }));
        }
    }

    // Faults come in series and overlap.
    void run(std::chrono::seconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            fault();
            std::this_thread::sleep_for(std::chrono::milliseconds(50 + m_random() % 600));
        }
        // They still run at the heal, and end after it.
        for (int number = 0; number < Entries; ++number)
            m_site.entry(number).sendSignal(SIGTERM);
        std::this_thread::sleep_for(SignalTime);
        heal();
        const auto areReady = [&] {
            restartEnded();
            return m_site.isReady(0) && m_site.isReady(1);
        };
        waitUntil(areReady, "the entry VMs to be ready after the faults");
        const std::vector<int> before = served();
        const auto areServed = [&] {
            restartEnded();
            const std::vector<int> now = served();
            return std::equal(now.begin(), now.end(), before.begin(), std::greater<>());
        };
        waitUntil(areServed, "each caller to be served after the faults");
        for (const auto &caller : m_callers)
            caller->stop();
        for (const auto &caller : m_callers)
            caller->join();
    }

    // What was broken.
    std::vector<std::string> violations()
    {
        std::vector<std::string> found = m_servers.group().violations();
        for (const auto &caller : m_callers) {
            found.insert(found.end(), caller->violations().begin(), caller->violations().end());
            for (const std::string &request : caller->acknowledged()) {
                if (m_servers.group().count(request) != 1)
                    found.push_back("acknowledged and lost: " + request);
            }
            for (const std::string &request : caller->promisedNotRun()) {
                if (m_servers.group().count(request) != 0)
                    found.push_back("committed after a promise that it isn't: " + request);
            }
        }
        return found;
    }
    void report(std::uint64_t seed)
    {
        int total = 0;
        for (const int count : served())
            total += count;
        std::printf("seed %llu: %d faults, %d served, %d promotions, %d refused as busy\n",
                    static_cast<unsigned long long>(seed), m_faults, total,
                    m_servers.group().promotions(), m_servers.group().refused());
        std::fflush(stdout);
    }
    std::string logs() const
    {
        return m_site.logs() + "== servers and callers, times in us\n" + m_servers.trace();
    }

private:
    std::vector<int> served() const
    {
        std::vector<int> counts;
        for (const auto &caller : m_callers)
            counts.push_back(caller->served());
        return counts;
    }
    void waitForEntries()
    {
        for (int number = 0; number < Entries; ++number)
            waitUntil([&] { return m_site.isReady(number); }, "an entry VM to be ready");
    }
    ChildProcess &anyProcess()
    {
        const int number = static_cast<int>(m_random() % (Controls + Entries));
        return number < Controls ? m_site.control(number) : m_site.entry(number - Controls);
    }
    void fault()
    {
        ++m_faults;
        const int server = static_cast<int>(m_random() % SoakServers::Count);
        const auto kind = m_random() % 8;
        m_servers.group().note("fault " + std::to_string(kind));
        switch (kind) {
        case 0:
            anyProcess().sendSignal(SIGKILL);
            break;
        case 1:
            anyProcess().sendSignal(SIGTERM);
            break;
        case 2:
            anyProcess().sendSignal(SIGSTOP);
            break;
        case 3:
            anyProcess().sendSignal(SIGHUP);
            break;
        case 4:
            // Without a second server that is up nothing could be acknowledged.
            if (m_servers.group().isUp((server + 1) % SoakServers::Count)
                && m_servers.group().isUp((server + 2) % SoakServers::Count))
                m_servers.crash(server);
            break;
        case 5:
            m_servers.cut(server);
            break;
        default:
            heal();
            break;
        }
    }
    void heal()
    {
        for (int server = 0; server < SoakServers::Count; ++server) {
            m_servers.heal(server);
            if (!m_servers.group().isUp(server))
                m_servers.revive(server);
        }
        for (int number = 0; number < Controls; ++number)
            m_site.control(number).sendSignal(SIGCONT);
        for (int number = 0; number < Entries; ++number)
            m_site.entry(number).sendSignal(SIGCONT);
        restartEnded();
    }
    // A process that was told to stop may end long after the signal.
    void restartEnded()
    {
        for (int number = 0; number < Controls; ++number) {
            if (!m_site.control(number).isRunning())
                m_site.restartControl(number);
        }
        for (int number = 0; number < Entries; ++number) {
            if (!m_site.entry(number).isRunning())
                m_site.restartEntry(number);
        }
    }

    std::mt19937_64 m_random;
    const std::uint64_t m_seed;
    SoakServers m_servers;
    LineSite m_site;
    std::atomic<int> m_choice = 0;
    int m_faults = 0;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
};

// Returns whether all promises were kept.
bool soak(std::uint64_t seed, std::chrono::seconds time)
{
    Soak soak(seed);
    std::vector<std::string> found;
    try {
        soak.start();
        soak.run(time);
        found = soak.violations();
    } catch (const TimeoutError &fault) {
        found.push_back(fault.what());
    }
    soak.report(seed);
    for (const std::string &violation : found)
        std::cout << "  broken: " << violation << '\n';
    if (!found.empty())
        std::ofstream("site_soak_seed_" + std::to_string(seed) + ".log") << soak.logs();
    return found.empty();
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t first = argc > 1 ? std::stoull(argv[1]) : 1;
    const std::uint64_t seeds = argc > 2 ? std::stoull(argv[2]) : 1;
    const std::chrono::seconds time = argc > 3 ? std::chrono::seconds(std::stoi(argv[3]))
                                               : DefaultTime;
    bool isKept = true;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        isKept = soak(seed, time) && isKept;
    return isKept ? EXIT_SUCCESS : EXIT_FAILURE;
}
